package peering

import (
	"time"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
)

// wireDigest is the encoded form of a replica.Digest, with ages in milliseconds.
type wireDigest struct {
	_ struct{} `cbor:",toarray"`
	// Through is the revision's number within its epoch; the epochs of all digests are
	// encoded together by encodeEpochs.
	Through int64
	Age     int64
	// Verified is the time since the latest verification.
	Verified int64
}

// encodeDigests rounds ages up, so that no replica appears newer than it is.
func encodeDigests(digests []replica.Digest) []wireDigest {
	encoded := make([]wireDigest, len(digests))
	for i, digest := range digests {
		encoded[i] = wireDigest{Through: digest.Revision.Number(), Age: encodeAge(digest.Age), Verified: encodeAge(digest.Verified)}
	}
	return encoded
}

// encodeDocumentVersions returns the versions of the newest documents in the order of the
// digests. It returns nil, the usual case, if no digest has one.
func encodeDocumentVersions(digests []replica.Digest) []uint64 {
	var versions []uint64
	for i, digest := range digests {
		if digest.DocumentVersion != 0 {
			versions = append(versions, make([]uint64, i+1-len(versions))...)
			versions[i] = digest.DocumentVersion
		}
	}
	return versions
}

// encodeEpochs returns the epochs of the digests: nil if all are epoch zero, a single
// element if all are equal.
func encodeEpochs(digests []replica.Digest) []uint32 {
	if len(digests) == 0 {
		return nil
	}
	first := uint32(digests[0].Revision.Epoch())
	for _, digest := range digests[1:] {
		if uint32(digest.Revision.Epoch()) != first {
			return allEpochs(digests)
		}
	}
	if first == 0 {
		return nil
	}
	return []uint32{first}
}

func allEpochs(digests []replica.Digest) []uint32 {
	epochs := make([]uint32, len(digests))
	for i, digest := range digests {
		epochs[i] = uint32(digest.Revision.Epoch())
	}
	return epochs
}

// digestRevision returns the revision of the digest at the index, given the epochs of the
// message.
func digestRevision(digest wireDigest, epochs []uint32, i int) store.Revision {
	if len(epochs) == 0 {
		return store.NewRevision(0, digest.Through)
	}
	return store.NewRevision(store.Epoch(epochs[min(i, len(epochs)-1)]), digest.Through)
}

func decodeDigests(encoded []wireDigest, epochs []uint32, versions []uint64) []replica.Digest {
	digests := make([]replica.Digest, len(encoded))
	for i, digest := range encoded {
		digests[i] = replica.Digest{Revision: digestRevision(digest, epochs, i), Age: decodeAge(digest.Age), Verified: decodeAge(digest.Verified)}
		if i < len(versions) {
			digests[i].DocumentVersion = versions[i]
		}
	}
	return digests
}

func encodeAge(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return (age + time.Millisecond - 1).Milliseconds()
}

func decodeAge(age int64) time.Duration {
	if age < 0 {
		return -1
	}
	return milliseconds(age)
}
