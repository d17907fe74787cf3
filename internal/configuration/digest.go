package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Digest describes a replica in constant size. Nodes send it with their gossip
// and compare it to find out who misses what.
type Digest struct {
	// Floor is the revision up to which the replica is complete.
	Floor store.Revision `cbor:"1,keyasint"`
	// Count is the number of objects that are not deleted.
	Count uint32 `cbor:"2,keyasint"`
	// Sum is the exclusive or of the hashes of all objects that are not
	// deleted, each with its revision.
	Sum uint64 `cbor:"3,keyasint"`
	// Tombstones is the same sum over the deleted objects still remembered.
	Tombstones uint64 `cbor:"4,keyasint"`
	// Collected is the highest revision whose tombstone may be forgotten: a
	// replica with a lower floor cannot catch up by a delta from this one.
	Collected store.Revision `cbor:"5,keyasint"`
	// Drains is the exclusive or of the hashes of the emergency drains' names.
	Drains uint64 `cbor:"6,keyasint"`
}

// sameObjects reports whether both digests cover the same objects in force at
// the same revisions.
func (d Digest) sameObjects(other Digest) bool {
	return d.Count == other.Count && d.Sum == other.Sum
}

// wants reports whether a replica with digest d may learn something from one
// with the digest other.
func (d Digest) wants(other Digest) bool {
	if other.Floor > d.Floor || other.Drains != d.Drains {
		return true
	}
	return other.Floor == d.Floor && !d.sameObjects(other)
}

// hashVersion hashes an object's identity and revision.
func hashVersion(id resource.ID, revision store.Revision) uint64 {
	key := id.Key()
	encoded := make([]byte, 0, len(key)+8)
	encoded = append(encoded, key...)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(revision))
	return xxhash.Sum64(encoded)
}
