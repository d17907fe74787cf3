package peering

import (
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
)

// wireDigest is a replica.Digest as it is sent, with ages in milliseconds.
type wireDigest struct {
	_ struct{} `cbor:",toarray"`
	// Through is the number of the revision; its epoch is told for all digests together.
	Through int64
	Age     int64
	// Verified is the age of the latest verification.
	Verified int64
}

// shortDigests rounds ages up, so that no copy is taken to be newer than it is.
func shortDigests(digests []replica.Digest) []wireDigest {
	short := make([]wireDigest, len(digests))
	for i, digest := range digests {
		short[i] = wireDigest{Through: digest.Revision.Number(), Age: shortAge(digest.Age), Verified: shortAge(digest.Verified)}
	}
	return short
}

// newestOf returns the versions of newest documents, nil where none is told, as is the rule.
func newestOf(digests []replica.Digest) []uint64 {
	var newest []uint64
	for i, digest := range digests {
		if digest.DocumentVersion != 0 {
			newest = append(newest, make([]uint64, i+1-len(newest))...)
			newest[i] = digest.DocumentVersion
		}
	}
	return newest
}

// epochsOf returns the epochs of the digests: none where all are of the first, and one where
// all are of the same.
func epochsOf(digests []replica.Digest) []uint32 {
	var epochs []uint32
	for _, digest := range digests {
		epochs = append(epochs, uint32(digest.Revision.Epoch()))
	}
	distinct := slices.Compact(slices.Clone(epochs))
	if len(distinct) > 1 {
		return epochs
	}
	if len(distinct) == 1 && distinct[0] == 0 {
		return nil
	}
	return distinct
}

// throughOf returns the revision that a digest tells with the epochs of a message.
func throughOf(digest wireDigest, epochs []uint32, i int) store.Revision {
	if len(epochs) == 0 {
		return store.NewRevision(0, digest.Through)
	}
	return store.NewRevision(store.Epoch(epochs[min(i, len(epochs)-1)]), digest.Through)
}

func longDigests(short []wireDigest, epochs []uint32, newest []uint64) []replica.Digest {
	digests := make([]replica.Digest, len(short))
	for i, digest := range short {
		digests[i] = replica.Digest{Revision: throughOf(digest, epochs, i), Age: longAge(digest.Age), Verified: longAge(digest.Verified)}
		if i < len(newest) {
			digests[i].DocumentVersion = newest[i]
		}
	}
	return digests
}

func shortAge(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return (age + time.Millisecond - 1).Milliseconds()
}

func longAge(age int64) time.Duration {
	if age < 0 {
		return -1
	}
	return millis(age)
}
