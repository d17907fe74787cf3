// Package replica keeps copies of prefixes of the store in every node at the cost
// of few calls. Some nodes watch the store; all others learn from their peers: every
// message between nodes tells how far the sender's copies reach, and whoever is
// behind fetches the difference. A node whose copy was not known to be current
// for a while asks the store itself.
//
// Nothing is elected. Which nodes watch follows from what each believes of the
// fleet; two views of it cost a few calls more and nothing else.
package replica

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// SourceStore names the store as the source of changes. Peers are named by their
// addresses.
const SourceStore = "store"

// unknownAge is told by a copy that was never known to be current.
const unknownAge = time.Duration(-1)

// maxDeleted bounds the deleted keys that a copy remembers.
const maxDeleted = 512

// Copy is a copy of the entries under one prefix. It is safe for concurrent use.
type Copy struct {
	now func() time.Time
	// changed is told changes in order, by one goroutine at a time.
	changed func(entries []store.Entry, source string)
	// staleAfter is the age from which the copy is not taken to be current.
	staleAfter time.Duration

	// passedOver is told entries of lists that were not taken because the copy holds a
	// higher revision with another value; it may be nil.
	passedOver func(told, held store.Entry)

	documents Documents

	// applying is held while changes are taken and told.
	applying sync.Mutex

	mutex   sync.Mutex
	entries map[string]store.Entry
	deleted int
	through store.Revision
	// horizon is the highest revision of a deletion that is no longer remembered.
	horizon store.Revision
	// cursor is the revision after which a watch of the store misses nothing, zero
	// if there is none.
	cursor    store.Revision
	filled    bool
	confirmed time.Time
	// proved is a moment before which nothing changed that is not in the copy. It
	// is at or before confirmed, which a pause of a process may have put too late.
	proved time.Time
	// verified is when the latest read of the store began, by any node, whose result
	// is in the copy. It rests on no watch: one that waits may hear nothing of changes
	// in history that the store drops.
	verified time.Time
	// useless is the highest version of a document that a peer told and that could not be
	// taken.
	useless uint64
	// published is verified as of the last change that was told.
	published time.Time
	// telling tells that changes are in the copy that were not told yet.
	telling bool
	waiting []chan struct{}
}

// NewCopy returns an empty copy that counts as current for the given time after it
// was known to be. The function is told every change, with the source.
func NewCopy(staleAfter time.Duration, changed func(entries []store.Entry, source string), now func() time.Time) *Copy {
	return &Copy{now: now, changed: changed, staleAfter: staleAfter, documents: noDocuments{}, entries: make(map[string]store.Entry)}
}

// OnStaleEntry has a function be told entries that a list of the store held and that were
// not taken, as the copy holds a higher revision. It is set before the copy is used and must
// not call the copy.
func (c *Copy) OnStaleEntry(passedOver func(told, held store.Entry)) { c.passedOver = passedOver }

// Initialized reports whether the copy was ever complete.
func (c *Copy) Initialized() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.filled
}

// Age returns how long ago the copy was known to be current, false if it never
// was.
func (c *Copy) Age() (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.confirmed.IsZero() {
		return 0, false
	}
	return c.now().Sub(c.confirmed), true
}

// Digest says how far the copy reaches.
func (c *Copy) Digest() Digest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.digest()
}

// Entries returns what the copy holds, deleted keys left out.
func (c *Copy) Entries() []store.Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entries := make([]store.Entry, 0, len(c.entries)-c.deleted)
	for _, entry := range c.entries {
		if !entry.Deleted {
			entries = append(entries, entry)
		}
	}
	return entries
}

// takeSnapshot takes everything that the store held when it was asked or later.
func (c *Copy) takeSnapshot(snapshot store.Snapshot, asked time.Time) {
	c.apply(SourceStore, func() []store.Entry {
		if snapshot.Revision.Epoch() < c.through.Epoch() {
			return nil
		}
		c.enter(snapshot.Revision.Epoch())
		through := c.through
		present := make(map[string]bool, len(snapshot.Entries))
		for _, entry := range snapshot.Entries {
			present[entry.Key] = true
			c.notePassedOver(entry)
			if entry.Revision <= snapshot.Revision {
				through = max(through, entry.Revision)
			}
		}
		changes := c.put(snapshot.Entries)
		changes = append(changes, c.removeAbsent(present, snapshot.Revision)...)
		for _, change := range changes {
			if change.Deleted {
				through = max(through, change.Revision)
			}
		}
		c.through = through
		c.cursor = max(c.cursor, snapshot.Revision)
		c.filled = true
		c.confirm(c.now(), asked)
		c.verify(asked)
		return changes
	})
}

func (c *Copy) notePassedOver(told store.Entry) {
	held, found := c.entries[told.Key]
	if c.passedOver != nil && found && told.Revision < held.Revision && !bytes.Equal(told.Value, held.Value) {
		c.passedOver(told, held)
	}
}

// takeEvents takes changes that a watch told. The copy held all earlier ones.
func (c *Copy) takeEvents(events []store.Entry, progress store.Revision) {
	c.apply(SourceStore, func() []store.Entry {
		if progress.Epoch() != c.through.Epoch() {
			// A watch that began before the store came back from a copy.
			return nil
		}
		for _, event := range events {
			c.through = max(c.through, event.Revision)
		}
		if len(events) > 0 {
			c.cursor = max(c.cursor, progress)
		}
		c.confirm(c.now(), time.Time{})
		return c.put(events)
	})
}

// enter goes on in a later epoch of the store, of which nothing is known to be current
// yet. What the copy holds of the epoch before has lower revisions than all that the store
// tells now, so that it is replaced or found to be absent.
func (c *Copy) enter(epoch store.Epoch) {
	if epoch <= c.through.Epoch() {
		return
	}
	c.through = store.NewRevision(epoch, epochBegin)
	c.cursor = c.through
	c.confirmed, c.proved, c.verified = time.Time{}, time.Time{}, time.Time{}
}

// epochBegin is the number of a change before all that a store makes after it came back from
// a copy, as a copy has at least one change.
const epochBegin = 1

// apply takes changes and tells them.
func (c *Copy) apply(source string, take func() []store.Entry) {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.mutex.Lock()
	changes := take()
	c.forget()
	c.telling = len(changes) > 0
	c.mutex.Unlock()
	if len(changes) > 0 {
		c.changed(changes, source)
	}
	// Whoever waits for the copy finds the changes told.
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.telling = false
	c.publish()
	c.wake()
}

func (c *Copy) put(entries []store.Entry) []store.Entry {
	var changes []store.Entry
	for _, entry := range entries {
		known, found := c.entries[entry.Key]
		if found && entry.Revision <= known.Revision {
			continue
		}
		if found && known.Deleted {
			c.deleted--
		}
		if entry.Deleted {
			entry.Value = nil
			c.deleted++
		}
		c.entries[entry.Key] = entry
		changes = append(changes, entry)
	}
	return changes
}

// removeAbsent deletes the keys that something complete up to the revision does
// not hold.
func (c *Copy) removeAbsent(present map[string]bool, through store.Revision) []store.Entry {
	var gone []store.Entry
	for key, entry := range c.entries {
		if !present[key] && !entry.Deleted && entry.Revision <= through {
			gone = append(gone, store.Entry{Key: key, Revision: max(through, entry.Revision+1), Deleted: true})
		}
	}
	return c.put(gone)
}

// forget drops the oldest half of the deleted keys when there are too many.
func (c *Copy) forget() {
	if c.deleted <= maxDeleted {
		return
	}
	var revisions []store.Revision
	for _, entry := range c.entries {
		if entry.Deleted {
			revisions = append(revisions, entry.Revision)
		}
	}
	bound := median(revisions)
	for key, entry := range c.entries {
		if entry.Deleted && entry.Revision <= bound {
			delete(c.entries, key)
			c.deleted--
		}
	}
	c.horizon = max(c.horizon, bound)
}

// confirm notes that the copy held everything at one moment, and for certain at
// an earlier one.
func (c *Copy) confirm(at, proved time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	if proved.After(c.proved) {
		c.proved = proved
	}
}

func (c *Copy) wake() {
	for _, waiting := range c.waiting {
		close(waiting)
	}
	c.waiting = nil
}

// AwaitCurrent waits until the copy holds everything that the store held at the
// given moment.
func (c *Copy) AwaitCurrent(ctx context.Context, moment time.Time) error {
	if err := c.await(ctx, func() bool { return c.filled && c.proved.After(moment) }); err != nil {
		return err
	}
	// Changes are told before this returns.
	c.applying.Lock()
	defer c.applying.Unlock()
	return nil
}

// await waits until the condition, which is looked at under the lock, holds.
func (c *Copy) await(ctx context.Context, holds func() bool) error {
	for {
		c.mutex.Lock()
		if holds() {
			c.mutex.Unlock()
			return nil
		}
		changed := make(chan struct{})
		c.waiting = append(c.waiting, changed)
		c.mutex.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
