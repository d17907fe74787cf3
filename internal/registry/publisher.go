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
	// leaseTTL is how long a node's record remains after its process has ended.
	leaseTTL = 20 * time.Second
	// renewDivisor determines the renewal interval: the TTL of the lease divided by it.
	renewDivisor = 2
	// Bounds of the backoff after a failure.
	minPublishBackoff = 100 * time.Millisecond
	maxPublishBackoff = 1500 * time.Millisecond
)

// publisher keeps one key at the desired value, under a lease.
type publisher struct {
	store store.Store
	// epoch returns the newest known epoch of the store.
	epoch func() store.Epoch
	// prefix is the prefix of all records, and key that of this node.
	prefix, key string
	log         *eventlog.Log
	now         func() time.Time
	wake        chan struct{}

	mutex   sync.Mutex
	desired *Record
	// notBefore delays writes after the store was restored from a backup, so that the nodes do
	// not all write at once.
	notBefore time.Time
	// written is the revision of this process's latest write.
	written store.Revision
	// overwritten means that another process has written the key.
	overwritten bool
	// previous is the entry of an earlier process, until run adopts it.
	previous *store.Entry
	// removed means that the record was seen to disappear.
	removed bool

	// Used only by run: the lease, its renewal time, and the last known entry under the key.
	lease     store.LeaseID
	renewAt   time.Time
	revision  store.Revision
	published []byte
	// synced means that revision and published are known to match the store.
	synced bool
}

func newPublisher(kv store.Store, epoch func() store.Epoch, prefix, address string, log *eventlog.Log, now func() time.Time) *publisher {
	return &publisher{store: kv, epoch: epoch, prefix: prefix, key: prefix + address, log: log, now: now, wake: make(chan struct{}, 1)}
}

// setPrevious sets the record of an earlier process, which is adopted with its lease.
func (p *publisher) setPrevious(entry store.Entry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.previous = &entry
}

// adoptPrevious continues with the record of an earlier process. The first renewal shows
// whether its lease is still valid.
func (p *publisher) adoptPrevious() {
	p.mutex.Lock()
	entry := p.previous
	p.previous = nil
	p.mutex.Unlock()
	if entry == nil || p.lease != store.NoLease {
		return
	}
	p.revision, p.published = entry.Revision, entry.Value
	if record, err := decodeRecord(*entry, p.prefix); err != nil || record.restored(entry.Revision) {
		// The restored store may have granted the lease number again.
		return
	}
	p.lease, p.synced = entry.Lease, entry.Lease != store.NoLease
	p.renewAt = p.now()
}

// markRemoved triggers a check of the lease, because the record disappeared from the store.
func (p *publisher) markRemoved() {
	p.mutex.Lock()
	p.removed = true
	p.mutex.Unlock()
	p.signal()
}

// observe checks the stored entry. A record of an earlier process, or a late write from an
// earlier epoch of the store, is overwritten.
func (p *publisher) observe(entry store.Entry, record *Record, process uint32) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.written == 0 || entry.Revision <= p.written || (record.Process == process && !record.restored(entry.Revision)) {
		return
	}
	p.overwritten = true
	p.signal()
}

// delayWrites suspends writes for the given duration.
func (p *publisher) delayWrites(duration time.Duration) {
	p.mutex.Lock()
	p.notBefore = p.now().Add(duration)
	p.mutex.Unlock()
	p.signal()
}

// takeFlags returns and clears the flags set since the last step.
func (p *publisher) takeFlags() (removed, overwritten bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	removed, overwritten = p.removed, p.overwritten
	p.removed, p.overwritten = false, false
	return removed, overwritten
}

// remainingDelay returns how long writes remain suspended.
func (p *publisher) remainingDelay() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.notBefore.Sub(p.now())
}

// publish sets the record to write.
func (p *publisher) publish(record Record) {
	p.mutex.Lock()
	p.desired = &record
	p.mutex.Unlock()
	p.signal()
}

func (p *publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) desiredRecord() *Record {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.desired
}

func (p *publisher) run(ctx context.Context) {
	backoff := minPublishBackoff
	for ctx.Err() == nil {
		wait := leaseTTL
		if remaining := p.remainingDelay(); remaining > 0 {
			wait = remaining
		} else if err := p.step(ctx); err != nil {
			wait = backoff/2 + rand.N(backoff)
			backoff = min(backoff*2, maxPublishBackoff)
		} else {
			backoff = minPublishBackoff
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

// step grants or renews the lease if necessary and writes the record if it has changed.
func (p *publisher) step(ctx context.Context) error {
	record := p.desiredRecord()
	if record == nil {
		return nil
	}
	p.adoptPrevious()
	removed, overwritten := p.takeFlags()
	if removed {
		p.renewAt = p.now()
	}
	if overwritten {
		p.synced = false
	}
	if err := p.ensureLease(ctx); err != nil {
		return err
	}
	stamped := *record
	stamped.Epoch = p.lease.Epoch
	desired := encode(stamped)
	if p.synced && bytes.Equal(desired, p.published) {
		return nil
	}
	return p.write(ctx, desired)
}

func (p *publisher) ensureLease(ctx context.Context) error {
	if p.lease != store.NoLease && p.lease.Epoch < p.epoch() {
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseLost, Version: uint64(p.lease.Number), Reason: "the store came back from a copy"})
		p.lease, p.synced = store.NoLease, false
	}
	if p.lease == store.NoLease {
		lease, err := p.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		p.lease = lease
		p.synced = false
		p.renewAt = p.now().Add(leaseTTL / renewDivisor)
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseGranted, Version: uint64(lease.Number)})
		return nil
	}
	if p.now().Before(p.renewAt) {
		return nil
	}
	ttl, err := p.store.RenewLease(ctx, p.lease)
	if errors.Is(err, store.ErrLeaseLost) {
		p.log.Record(eventlog.Event{Kind: eventlog.LeaseLost, Version: uint64(p.lease.Number)})
		p.lease = store.NoLease
		return p.ensureLease(ctx)
	}
	if err != nil {
		return err
	}
	p.renewAt = p.now().Add(ttl / renewDivisor)
	return nil
}

// write stores the record with a compare-and-swap on the last known revision. If the outcome is
// unknown, the next step reads the entry first.
func (p *publisher) write(ctx context.Context, desired []byte) error {
	if !p.synced && p.revision != 0 {
		if err := p.refresh(ctx); err != nil {
			return err
		}
	}
	revision, err := p.store.CompareAndSwap(ctx, p.key, p.revision, desired, p.lease)
	switch {
	case err == nil:
		p.markWritten(revision, desired)
		return nil
	case errors.Is(err, store.ErrLeaseLost):
		p.lease = store.NoLease
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknownOutcome):
		p.synced = false
		if readErr := p.refresh(ctx); readErr != nil {
			return readErr
		}
		return p.overwrite(ctx, desired)
	}
	return err
}

func (p *publisher) overwrite(ctx context.Context, desired []byte) error {
	if p.synced && bytes.Equal(p.published, desired) {
		return nil
	}
	revision, err := p.store.CompareAndSwap(ctx, p.key, p.revision, desired, p.lease)
	if err == nil {
		p.markWritten(revision, desired)
	}
	return err
}

func (p *publisher) markWritten(revision store.Revision, desired []byte) {
	p.revision, p.published, p.synced = revision, desired, true
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.written = revision
}

// writtenRevision returns the revision of this process's latest write, zero if there is none.
func (p *publisher) writtenRevision() store.Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.written
}

// refresh reads the entry under the key. It does not set synced: an equal value under an
// earlier lease would disappear with that lease, so only a write under the current lease
// counts.
func (p *publisher) refresh(ctx context.Context) error {
	entry, err := p.store.Get(ctx, p.key)
	if errors.Is(err, store.ErrNotFound) {
		p.revision, p.published, p.synced = 0, nil, false
		return nil
	}
	if err != nil {
		return err
	}
	p.revision, p.published = entry.Revision, entry.Value
	return nil
}
