// Package content identifies a request by what its caller repeats unchanged when it sends the
// request again. The request's ID is new then.
package content

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key is the part of a request's content that is known before its body is read.
type Key struct {
	Method, Host, URI string
	// ContentLength is the length of the body in bytes, -1 if it is unknown.
	ContentLength int64
	// Tenant is the name of the request's tenant, empty if it has none.
	Tenant string
}

// Hash returns a hash of the key and of a scope, such as a route's name. Hashes with different
// seeds are independent.
func (k *Key) Hash(scope string, seed uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(seed)
	for _, text := range [...]string{scope, k.Method, k.Host, k.URI, k.Tenant} {
		writeNumber(&digest, uint64(len(text)))
		_, _ = digest.WriteString(text)
	}
	writeNumber(&digest, uint64(k.ContentLength))
	return digest.Sum64()
}

// writeNumber writes a number of fixed length. Lengths of texts are written so that moving
// characters between adjacent texts changes the hash.
func writeNumber(digest *xxhash.Digest, number uint64) {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], number)
	_, _ = digest.Write(encoded[:])
}
