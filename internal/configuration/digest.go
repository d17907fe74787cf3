package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Digest is a constant-size summary of a replica. Nodes send it with their
// gossip and compare digests to detect missing versions.
type Digest struct {
	// Floor is the revision up to which the replica is complete.
	Floor store.Revision `cbor:"1,keyasint"`
	// Count is the number of objects that are not deleted.
	Count uint32 `cbor:"2,keyasint"`
	// ObjectSum is the XOR of the hashes of all objects that are not deleted; each
	// hash covers the object's identity and revision.
	ObjectSum uint64 `cbor:"3,keyasint"`
	// TombstoneSum is the same sum over the tombstones that are still retained.
	TombstoneSum uint64 `cbor:"4,keyasint"`
	// Collected is the highest revision whose tombstone may have been garbage
	// collected: a replica with a lower floor cannot catch up by a delta from
	// this one.
	Collected store.Revision `cbor:"5,keyasint"`
	// DrainSum is the XOR of the hashes of the names of the emergency drains.
	DrainSum uint64 `cbor:"6,keyasint"`
}

// sameObjects reports whether both digests cover the same objects, not counting
// deleted ones, at the same revisions.
func (d Digest) sameObjects(other Digest) bool {
	return d.Count == other.Count && d.ObjectSum == other.ObjectSum
}

// shouldPull reports whether a pull from a replica with the digest other may
// return versions or drains that the replica with digest d lacks.
func (d Digest) shouldPull(other Digest) bool {
	if other.Floor > d.Floor || other.DrainSum != d.DrainSum {
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
