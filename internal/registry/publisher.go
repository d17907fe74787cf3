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
	// epoch returns the newest epoch of the store that is known.
	epoch func() store.Epoch
	key   string
	log   *eventlog.Log
	now   func() time.Time
	wake  chan struct{}

	mutex  sync.Mutex
	wanted *Record
	// notBefore is before when nothing is written, so that the nodes of a store that came
	// back from a copy don't all write together.
	notBefore time.Time
	// written is the revision of the latest write of this process.
	written store.Revision
	// disturbed tells that somebody else wrote under the key.
	disturbed bool
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

func newPublisher(target store.Store, epoch func() store.Epoch, key string, log *eventlog.Log, now func() time.Time) *publisher {
	return &publisher{store: target, epoch: epoch, key: key, log: log, now: now, wake: make(chan struct{}, 1)}
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
	if entry == nil || p.lease != store.NoLease {
		return
	}
	p.revision, p.published = entry.Revision, entry.Value
	if record, err := decodeRecord(*entry); err != nil || record.restored(entry.Revision) {
		// The number of the lease may be that of another one by now.
		return
	}
	p.lease, p.current = entry.Lease, entry.Lease != store.NoLease
	p.renewAt = p.now()
}

// noteRemoved has the lease looked at, as the record disappeared from the store.
func (p *publisher) noteRemoved() {
	p.mutex.Lock()
	p.removed = true
	p.mutex.Unlock()
	p.signal()
}

// noteTold takes what the store holds under the key. A write of an earlier process, or one of
// an earlier epoch of the store that was carried out late, is written over.
func (p *publisher) noteTold(entry store.Entry, record *Record, process uint32) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.written == 0 || entry.Revision <= p.written || (record.Process == process && !record.restored(entry.Revision)) {
		return
	}
	p.disturbed = true
	p.signal()
}

// delay has nothing be written for a while.
func (p *publisher) delay(pause time.Duration) {
	p.mutex.Lock()
	p.notBefore = p.now().Add(pause)
	p.mutex.Unlock()
	p.signal()
}

// takeNotes returns what was noted since the last step.
func (p *publisher) takeNotes() (removed, disturbed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	removed, disturbed = p.removed, p.disturbed
	p.removed, p.disturbed = false, false
	return removed, disturbed
}

// delayed returns for how long nothing may be written yet.
func (p *publisher) delayed() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.notBefore.Sub(p.now())
}

// publish asks for the record to be written.
func (p *publisher) publish(record Record) {
	p.mutex.Lock()
	p.wanted = &record
	p.mutex.Unlock()
	p.signal()
}

func (p *publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) want() *Record {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.wanted
}

func (p *publisher) run(ctx context.Context) {
	delay := minPublishPause
	for ctx.Err() == nil {
		wait := leaseTTL
		if pause := p.delayed(); pause > 0 {
			wait = pause
		} else if err := p.step(ctx); err != nil {
			wait = delay/2 + rand.N(delay)
			delay = min(delay*2, maxPublishPause)
		} else {
			delay = minPublishPause
			if p.lease != store.NoLease {
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
	record := p.want()
	if record == nil {
		return nil
	}
	p.takeOver()
	removed, disturbed := p.takeNotes()
	if removed {
		p.renewAt = p.now()
	}
	if disturbed {
		p.current = false
	}
	if err := p.holdLease(ctx); err != nil {
		return err
	}
	epoched := *record
	epoched.Epoch = p.lease.Epoch
	wanted := encode(epoched)
	if p.current && bytes.Equal(wanted, p.published) {
		return nil
	}
	return p.write(ctx, wanted)
}

func (p *publisher) holdLease(ctx context.Context) error {
	if p.lease != store.NoLease && p.lease.Epoch < p.epoch() {
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseLost, Version: uint64(p.lease.Number), Reason: "the store came back from a copy"})
		p.lease, p.current = store.NoLease, false
	}
	if p.lease == store.NoLease {
		lease, err := p.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		p.lease = lease
		p.current = false
		p.renewAt = p.now().Add(leaseTTL / renewPart)
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseGranted, Version: uint64(lease.Number)})
		return nil
	}
	if p.now().Before(p.renewAt) {
		return nil
	}
	left, err := p.store.RenewLease(ctx, p.lease)
	if errors.Is(err, store.ErrLeaseLost) {
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseLost, Version: uint64(p.lease.Number)})
		p.lease = store.NoLease
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
		p.noteWritten(revision, wanted)
		return nil
	case errors.Is(err, store.ErrLeaseLost):
		p.lease = store.NoLease
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
		p.noteWritten(revision, wanted)
	}
	return err
}

func (p *publisher) noteWritten(revision store.Revision, wanted []byte) {
	p.revision, p.published, p.current = revision, wanted, true
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.written = revision
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
