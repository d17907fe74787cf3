package replica

import (
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Digest summarizes the state of a copy.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Revision is a revision up to which the copy holds all changes.
	Revision store.Revision
	// Age is the time since the copy was last known to hold everything in the store; negative
	// if it never was.
	Age time.Duration
	// Verified is the time since the start of the latest read of the store, by any node, that
	// found the copy complete; negative if there was none.
	Verified time.Duration
	// DocumentVersion is the newest document version that the sender holds, which the store may
	// have lost; zero for copies without a document.
	DocumentVersion uint64
}

// Item is an entry of the store in a delta.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision store.Revision
	Lease    store.LeaseID
	Deleted  bool
}

// Delta holds the changes after a revision.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	Digest
	// Full reports that the delta holds all entries: keys that are not in it don't exist.
	Full  bool
	Items []Item
	// Document is the newest document if it is not among the items, nil otherwise.
	Document []byte
}

func (c *Copy) digest() Digest {
	now := c.now()
	return Digest{Revision: c.revision, Age: ageOf(c.confirmed, now), Verified: ageOf(c.verified, now), DocumentVersion: c.document.Version()}
}

// ageOf returns the time since the given one, unknownAge for the zero time.
func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}

// DeltaSince returns what the copy holds beyond a copy with the given digest.
func (c *Copy) DeltaSince(other Digest) Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delta := Delta{Digest: c.digest(), Document: c.documentFor(other)}
	empty := other.Revision == 0 && other.Age < 0
	if !c.initialized || (other.Revision >= c.revision && !empty) {
		return delta
	}
	// Entries that the other copy has from an earlier epoch may never have existed in this one.
	earlierEpoch := other.Revision.Epoch() < c.revision.Epoch()
	delta.Full = empty || earlierEpoch || other.Revision < c.prunedRevision
	for _, entry := range c.entries {
		if (delta.Full && !entry.Deleted) || (!delta.Full && entry.Revision > other.Revision) {
			delta.Items = append(delta.Items, Item{Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Lease: entry.Lease, Deleted: entry.Deleted})
		}
	}
	return delta
}

// isBehind reports whether a copy with the digest holds something that this one lacks.
func (c *Copy) isBehind(other Digest) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return other.Revision > c.revision || (!c.initialized && other.Age >= 0) || c.needsDocument(other.DocumentVersion)
}

// applyDelta applies the delta of a peer that was queried at sentAt.
func (c *Copy) applyDelta(delta Delta, peer string, sentAt time.Time) {
	c.applyDocument(delta, peer)
	c.apply(peer, func() []store.Entry {
		newEpoch := delta.Revision.Epoch() > c.revision.Epoch()
		if delta.Age < 0 || delta.Revision < c.revision || (newEpoch && !delta.Full) {
			return nil
		}
		c.enterEpoch(delta.Revision.Epoch())
		entries := make([]store.Entry, 0, len(delta.Items))
		present := make(map[string]bool, len(delta.Items))
		for _, item := range delta.Items {
			present[item.Key] = true
			entries = append(entries, store.Entry{Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: item.Lease, Deleted: item.Deleted})
		}
		changes := c.merge(entries)
		if delta.Full {
			changes = append(changes, c.deleteAbsent(present, delta.Revision)...)
		}
		if delta.Full || c.initialized {
			c.initialized = true
			c.revision = delta.Revision
			c.cursor = max(c.cursor, c.revision)
			c.confirm(c.now().Add(-delta.Age), sentAt.Add(-delta.Age-confirmSlack))
			c.markVerifiedByPeer(delta.Digest, sentAt)
		}
		return changes
	})
}

// confirmByDigest handles a digest that a peer sent just now, in reply to a message sent at
// sentAt, which is zero if unknown. If both copies have the same revision this one is as
// current as the peer's.
func (c *Copy) confirmByDigest(digest Digest, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.initialized || digest.Age < 0 || digest.Revision != c.revision {
		return
	}
	currentAsOf := time.Time{}
	if !sentAt.IsZero() {
		currentAsOf = sentAt.Add(-digest.Age - confirmSlack)
	}
	c.confirm(c.now().Add(-digest.Age), currentAsOf)
	c.markVerifiedByPeer(digest, sentAt)
	c.publish()
	c.wakeWaiters()
}
