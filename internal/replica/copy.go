// Package replica keeps copies of prefixes of the store in every node with few calls to the
// store. Some nodes watch the store; all others synchronize with their peers by anti-entropy:
// every message between nodes carries digests of the sender's copies, and a node that is behind
// fetches the difference. A node whose copy has not been known to be current for a while reads
// from the store itself.
//
// There is no leader election. Each node derives from its own view of the fleet which nodes
// watch; differing views only cost a few more calls.
package replica

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// SourceStore identifies the store as the source of changes. Peers are identified by their
// addresses.
const SourceStore = "store"

// unknownAge is the age of a copy that was never known to be current.
const unknownAge = time.Duration(-1)

// maxTombstones bounds the deleted keys that a copy remembers.
const maxTombstones = 512

// Copy is a copy of the entries under one prefix. It is safe for concurrent use.
type Copy struct {
	now func() time.Time
	// onChange is called with changes in order, by one goroutine at a time.
	onChange func(entries []store.Entry, source string)
	// staleAfter is the age from which the copy is considered stale.
	staleAfter time.Duration

	// onStaleEntry is called with entries of lists that were skipped because the copy holds a
	// higher revision with another value; it may be nil.
	onStaleEntry func(stale, current store.Entry)

	document Document

	// applyMutex is held while changes are applied and onChange is called.
	applyMutex sync.Mutex

	mutex      sync.Mutex
	entries    map[string]store.Entry
	tombstones int
	revision   store.Revision
	// prunedRevision is the highest revision of a pruned tombstone.
	prunedRevision store.Revision
	// cursor is the revision after which a watch of the store misses no change, zero if there
	// is none.
	cursor      store.Revision
	initialized bool
	// confirmed is the latest time at which the copy was probably current.
	confirmed time.Time
	// currentAsOf is a time as of which the copy certainly holds all changes. It is never after
	// confirmed, which may be too late if a process was paused.
	currentAsOf time.Time
	// verified is when the latest read of the store, by any node, began whose result is in the
	// copy. Watches don't count: a blocked watch may miss changes in history that the store
	// compacts.
	verified time.Time
	// rejectedVersion is the highest document version of a peer that was offered and rejected.
	rejectedVersion uint64
	// published is the value of verified after the latest call of onChange.
	published time.Time
	// notifying is set while the copy holds changes that onChange has not been called with yet.
	notifying bool
	waiters   []chan struct{}
}

// NewCopy returns an empty copy. It is stale once it has not been known to be current for
// staleAfter. The function is called with all changes and their source.
func NewCopy(staleAfter time.Duration, onChange func(entries []store.Entry, source string), now func() time.Time) *Copy {
	return &Copy{now: now, onChange: onChange, staleAfter: staleAfter, document: noDocument{}, entries: make(map[string]store.Entry)}
}

// OnStaleEntry sets a function that is called with entries of a list of the store that were
// skipped because the copy holds a higher revision. It must be set before the copy is used and
// must not call the copy.
func (c *Copy) OnStaleEntry(onStaleEntry func(stale, current store.Entry)) {
	c.onStaleEntry = onStaleEntry
}

// Initialized reports whether the copy has ever been complete.
func (c *Copy) Initialized() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.initialized
}

// Age returns the time since the copy was last known to be current, false if it never was.
func (c *Copy) Age() (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.confirmed.IsZero() {
		return 0, false
	}
	return c.now().Sub(c.confirmed), true
}

// Digest returns the digest of the copy.
func (c *Copy) Digest() Digest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.digest()
}

// Entries returns the entries of the copy without deleted keys.
func (c *Copy) Entries() []store.Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entries := make([]store.Entry, 0, len(c.entries)-c.tombstones)
	for _, entry := range c.entries {
		if !entry.Deleted {
			entries = append(entries, entry)
		}
	}
	return entries
}

// applySnapshot applies a list of the store that was requested at sentAt.
func (c *Copy) applySnapshot(snapshot store.Snapshot, sentAt time.Time) {
	c.apply(SourceStore, func() []store.Entry {
		if snapshot.Revision.Epoch() < c.revision.Epoch() {
			return nil
		}
		c.enterEpoch(snapshot.Revision.Epoch())
		revision := c.revision
		present := make(map[string]bool, len(snapshot.Entries))
		for _, entry := range snapshot.Entries {
			present[entry.Key] = true
			c.reportStaleEntry(entry)
			if entry.Revision <= snapshot.Revision {
				revision = max(revision, entry.Revision)
			}
		}
		changes := c.merge(snapshot.Entries)
		changes = append(changes, c.deleteAbsent(present, snapshot.Revision)...)
		for _, change := range changes {
			if change.Deleted {
				revision = max(revision, change.Revision)
			}
		}
		c.revision = revision
		c.cursor = max(c.cursor, snapshot.Revision)
		c.initialized = true
		c.confirm(c.now(), sentAt)
		c.markVerified(sentAt)
		return changes
	})
}

func (c *Copy) reportStaleEntry(stale store.Entry) {
	current, found := c.entries[stale.Key]
	if c.onStaleEntry != nil && found && stale.Revision < current.Revision && !bytes.Equal(stale.Value, current.Value) {
		c.onStaleEntry(stale, current)
	}
}

// applyEvents applies the events of a watch. The copy held all earlier changes.
func (c *Copy) applyEvents(events []store.Entry, progress store.Revision) {
	c.apply(SourceStore, func() []store.Entry {
		if progress.Epoch() != c.revision.Epoch() {
			// The watch began before the store was restored from a backup.
			return nil
		}
		for _, event := range events {
			c.revision = max(c.revision, event.Revision)
		}
		if len(events) > 0 {
			c.cursor = max(c.cursor, progress)
		}
		c.confirm(c.now(), time.Time{})
		return c.merge(events)
	})
}

// enterEpoch moves the copy to a later epoch of the store, for which it is not known to be
// current yet. Entries of the earlier epoch have lower revisions than everything that the store
// returns now, so that they are replaced or found to be absent.
func (c *Copy) enterEpoch(epoch store.Epoch) {
	if epoch <= c.revision.Epoch() {
		return
	}
	c.revision = store.NewRevision(epoch, firstRevisionNumber)
	c.cursor = c.revision
	c.confirmed, c.currentAsOf, c.verified = time.Time{}, time.Time{}, time.Time{}
}

// firstRevisionNumber is a revision number below all that a store assigns after it was restored
// from a backup, as a backup holds at least one change.
const firstRevisionNumber = 1

// apply runs update and calls onChange with the changes that it returns.
func (c *Copy) apply(source string, update func() []store.Entry) {
	c.applyMutex.Lock()
	defer c.applyMutex.Unlock()
	c.mutex.Lock()
	changes := update()
	c.pruneTombstones()
	c.notifying = len(changes) > 0
	c.mutex.Unlock()
	if len(changes) > 0 {
		c.onChange(changes, source)
	}
	// Waiters are woken after onChange has returned.
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.notifying = false
	c.publish()
	c.wakeWaiters()
}

func (c *Copy) merge(entries []store.Entry) []store.Entry {
	var changes []store.Entry
	for _, entry := range entries {
		current, found := c.entries[entry.Key]
		if found && entry.Revision <= current.Revision {
			continue
		}
		if found && current.Deleted {
			c.tombstones--
		}
		if entry.Deleted {
			entry.Value = nil
			c.tombstones++
		}
		c.entries[entry.Key] = entry
		changes = append(changes, entry)
	}
	return changes
}

// deleteAbsent deletes the keys that are not in a complete state as of the revision.
func (c *Copy) deleteAbsent(present map[string]bool, revision store.Revision) []store.Entry {
	var deleted []store.Entry
	for key, entry := range c.entries {
		if !present[key] && !entry.Deleted && entry.Revision <= revision {
			deleted = append(deleted, store.Entry{Key: key, Revision: max(revision, entry.Revision+1), Deleted: true})
		}
	}
	return c.merge(deleted)
}

// pruneTombstones drops the older half of the tombstones if there are more than maxTombstones.
func (c *Copy) pruneTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	var revisions []store.Revision
	for _, entry := range c.entries {
		if entry.Deleted {
			revisions = append(revisions, entry.Revision)
		}
	}
	cutoff := median(revisions)
	for key, entry := range c.entries {
		if entry.Deleted && entry.Revision <= cutoff {
			delete(c.entries, key)
			c.tombstones--
		}
	}
	c.prunedRevision = max(c.prunedRevision, cutoff)
}

// confirm records that the copy was probably current at one time, and certainly at an earlier
// one.
func (c *Copy) confirm(at, currentAsOf time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	if currentAsOf.After(c.currentAsOf) {
		c.currentAsOf = currentAsOf
	}
}

func (c *Copy) wakeWaiters() {
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// AwaitCurrent waits until the copy holds everything that the store held at the given time.
func (c *Copy) AwaitCurrent(ctx context.Context, at time.Time) error {
	if err := c.await(ctx, func() bool { return c.initialized && c.currentAsOf.After(at) }); err != nil {
		return err
	}
	// Wait until onChange has returned.
	c.applyMutex.Lock()
	defer c.applyMutex.Unlock()
	return nil
}

// await waits until the condition holds, which is evaluated under the lock.
func (c *Copy) await(ctx context.Context, condition func() bool) error {
	for {
		c.mutex.Lock()
		if condition() {
			c.mutex.Unlock()
			return nil
		}
		changed := make(chan struct{})
		c.waiters = append(c.waiters, changed)
		c.mutex.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
