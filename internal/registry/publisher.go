package registry

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// leaseTTL is how long a node's record outlasts its process.
	leaseTTL = 20 * time.Second
	// renewPart is the part of the lease's time after which it is renewed.
	renewPart = 2
	// Bounds of the pause after a failure.
	minPublishPause = 100 * time.Millisecond
	maxPublishPause = 1500 * time.Millisecond
)

// publisher keeps one key at the wanted value, under a lease.
type publisher struct {
	store store.Store
	key   string
	log   *eventlog.Log
	now   func() time.Time
	wake  chan struct{}

	mutex  sync.Mutex
	wanted []byte
	// resumed is what an earlier process wrote, until run takes it.
	resumed *store.Entry
	// removed tells that the record was seen to have disappeared.
	removed bool

	// Owned by run: the lease, when to renew it, and what lies in the store.
	lease     store.LeaseID
	renewAt   time.Time
	revision  store.Revision
	published []byte
	// current tells that revision and published are known to hold.
	current bool
}

func newPublisher(target store.Store, key string, log *eventlog.Log, now func() time.Time) *publisher {
	return &publisher{store: target, key: key, log: log, now: now, wake: make(chan struct{}, 1)}
}

// resume takes over a record that an earlier process wrote, with its lease.
func (p *publisher) resume(entry store.Entry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.resumed = &entry
}

// takeOver goes on with the record of an earlier process. Whether its lease
// still runs the first renewal shows.
func (p *publisher) takeOver() {
	p.mutex.Lock()
	entry := p.resumed
	p.resumed = nil
	p.mutex.Unlock()
	if entry == nil || p.lease != 0 {
		return
	}
	p.revision, p.published = entry.Revision, entry.Value
	p.lease, p.current = entry.Lease, entry.Lease != 0
	p.renewAt = p.now()
}

// noteRemoved has the lease looked at, as the record disappeared from the store.
func (p *publisher) noteRemoved() {
	p.mutex.Lock()
	p.removed = true
	p.mutex.Unlock()
	p.signal()
}

func (p *publisher) takeRemoved() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	removed := p.removed
	p.removed = false
	return removed
}

// publish asks for the record to be written.
func (p *publisher) publish(record Record) {
	p.mutex.Lock()
	p.wanted = encode(record)
	p.mutex.Unlock()
	p.signal()
}

func (p *publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) want() []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.wanted
}

func (p *publisher) run(ctx context.Context) {
	delay := minPublishPause
	for ctx.Err() == nil {
		wait := leaseTTL
		if err := p.step(ctx); err != nil {
			wait = delay/2 + rand.N(delay)
			delay = min(delay*2, maxPublishPause)
		} else {
			delay = minPublishPause
			if p.lease != 0 {
				wait = p.renewAt.Sub(p.now())
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step does what is due next: lease, renewal, record.
func (p *publisher) step(ctx context.Context) error {
	wanted := p.want()
	if wanted == nil {
		return nil
	}
	p.takeOver()
	if p.takeRemoved() {
		p.renewAt = p.now()
	}
	if err := p.holdLease(ctx); err != nil {
		return err
	}
	if p.current && bytes.Equal(wanted, p.published) {
		return nil
	}
	return p.write(ctx, wanted)
}

func (p *publisher) holdLease(ctx context.Context) error {
	if p.lease == 0 {
		lease, err := p.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		p.lease = lease
		p.current = false
		p.renewAt = p.now().Add(leaseTTL / renewPart)
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseGranted, Version: uint64(lease)})
		return nil
	}
	if p.now().Before(p.renewAt) {
		return nil
	}
	left, err := p.store.RenewLease(ctx, p.lease)
	if errors.Is(err, store.ErrLeaseLost) {
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseLost, Version: uint64(p.lease)})
		p.lease = 0
		return p.holdLease(ctx)
	}
	if err != nil {
		return err
	}
	p.renewAt = p.now().Add(left / renewPart)
	return nil
}

// write puts the record, guarded by the revision that was last seen. Where the
// outcome is not known, the next step reads first.
func (p *publisher) write(ctx context.Context, wanted []byte) error {
	if !p.current && p.revision != 0 {
		if err := p.refresh(ctx); err != nil {
			return err
		}
	}
	revision, err := p.store.CompareAndSwap(ctx, p.key, p.revision, wanted, p.lease)
	switch {
	case err == nil:
		p.revision, p.published, p.current = revision, wanted, true
		return nil
	case errors.Is(err, store.ErrLeaseLost):
		p.lease = 0
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknownOutcome):
		p.current = false
		if failure := p.refresh(ctx); failure != nil {
			return failure
		}
		return p.overwrite(ctx, wanted)
	}
	return err
}

func (p *publisher) overwrite(ctx context.Context, wanted []byte) error {
	if p.current && bytes.Equal(p.published, wanted) {
		return nil
	}
	revision, err := p.store.CompareAndSwap(ctx, p.key, p.revision, wanted, p.lease)
	if err == nil {
		p.revision, p.published, p.current = revision, wanted, true
	}
	return err
}

// refresh reads what lies under the key. Only a value written under the present
// lease counts as published: an equal one of an earlier lease would go with it.
func (p *publisher) refresh(ctx context.Context) error {
	entry, err := p.store.Get(ctx, p.key)
	if errors.Is(err, store.ErrNotFound) {
		p.revision, p.published, p.current = 0, nil, false
		return nil
	}
	if err != nil {
		return err
	}
	p.revision, p.published = entry.Revision, entry.Value
	return nil
}
