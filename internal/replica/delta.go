package replica

import (
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Digest says how far a copy reaches.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Revision is a revision: all changes up to it are in the copy.
	Revision store.Revision
	// Age is how long ago the copy was known to hold everything that the store
	// held; negative if that never was.
	Age time.Duration
	// Verified is how long ago some node began to read the store, with the result
	// that the copy holds what the store held then; negative if that never was.
	Verified time.Duration
	// DocumentVersion is the version of the newest document that the sender holds, which the store
	// may have lost; zero where documents have no versions.
	DocumentVersion uint64
}

// Item is an entry of the store as peers tell it.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision store.Revision
	Lease    store.LeaseID
	Deleted  bool
}

// Delta is what a copy holds beyond a revision.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	Digest
	// Full tells that keys that are not named don't exist.
	Full  bool
	Items []Item
	// Beyond is the newest document where the items don't tell it, nil if there is none.
	Beyond []byte
}

func (c *Copy) digest() Digest {
	return Digest{Revision: c.through, Age: c.since(c.confirmed), Verified: c.since(c.verified), DocumentVersion: c.documents.Version()}
}

// since returns how long ago a moment was, unknownAge for none.
func (c *Copy) since(moment time.Time) time.Duration {
	if moment.IsZero() {
		return unknownAge
	}
	return c.now().Sub(moment)
}

// Since returns what the copy holds beyond the digest of another one.
func (c *Copy) Since(other Digest) Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delta := Delta{Digest: c.digest(), Beyond: c.beyond(other)}
	empty := other.Revision == 0 && other.Age < 0
	if !c.filled || (other.Revision >= c.through && !empty) {
		return delta
	}
	// What the other copy holds of an earlier epoch may never have been in this one.
	earlier := other.Revision.Epoch() < c.through.Epoch()
	delta.Full = empty || earlier || other.Revision < c.horizon
	for _, entry := range c.entries {
		if (delta.Full && !entry.Deleted) || (!delta.Full && entry.Revision > other.Revision) {
			delta.Items = append(delta.Items, Item{Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Lease: entry.Lease, Deleted: entry.Deleted})
		}
	}
	return delta
}

// behind reports whether a copy with the digest holds something that this one
// lacks.
func (c *Copy) behind(other Digest) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return other.Revision > c.through || (!c.filled && other.Age >= 0) || c.lacksDocument(other.DocumentVersion)
}

// takeDelta takes what a peer told that was asked at the given moment.
func (c *Copy) takeDelta(delta Delta, peer string, asked time.Time) {
	c.takeDocument(delta, peer)
	c.apply(peer, func() []store.Entry {
		later := delta.Revision.Epoch() > c.through.Epoch()
		if delta.Age < 0 || delta.Revision < c.through || (later && !delta.Full) {
			return nil
		}
		c.enter(delta.Revision.Epoch())
		entries := make([]store.Entry, 0, len(delta.Items))
		present := make(map[string]bool, len(delta.Items))
		for _, item := range delta.Items {
			present[item.Key] = true
			entries = append(entries, store.Entry{Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: item.Lease, Deleted: item.Deleted})
		}
		changes := c.put(entries)
		if delta.Full {
			changes = append(changes, c.removeAbsent(present, delta.Revision)...)
		}
		if delta.Full || c.filled {
			c.filled = true
			c.through = delta.Revision
			c.cursor = max(c.cursor, c.through)
			c.confirm(c.now().Add(-delta.Age), asked.Add(-delta.Age-confirmSlack))
			c.verifyByPeer(delta.Digest, asked)
		}
		return changes
	})
}

// heard takes the digest that a peer told now, on a reply to a message of the
// given moment; zero if that is not known. Where the peer's copy holds the same
// this one is as current.
func (c *Copy) heard(digest Digest, asked time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.filled || digest.Age < 0 || digest.Revision != c.through {
		return
	}
	proved := time.Time{}
	if !asked.IsZero() {
		proved = asked.Add(-digest.Age - confirmSlack)
	}
	c.confirm(c.now().Add(-digest.Age), proved)
	c.verifyByPeer(digest, asked)
	c.publish()
	c.wake()
}
