// Package fingerprint names requests by their content, so that two tries of the same
// request, which have ids of their own and may begin at different nodes, can be told to
// be the same.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
)

// Size is the size of a fingerprint, in bytes. Two different requests with the same one
// can't be found by trying, also by somebody who picks both: it takes 2^64 tries.
const Size = 16

// Fingerprint names a request by its content.
type Fingerprint [Size]byte

// Content is what a request is told by: all that its caller decides and that reaches the
// target. Headers are left out, as clients vary them from try to try.
type Content struct {
	Method, Host string
	// URI is the path with the query, as the caller wrote it.
	URI  string
	Body []byte
}

// Of returns the fingerprint of a request with the content.
func Of(content Content) Fingerprint {
	hash := sha256.New()
	for _, text := range []string{content.Method, content.Host, content.URI} {
		writeLength(hash, len(text))
		_, _ = io.WriteString(hash, text)
	}
	_, _ = hash.Write(content.Body)
	return Fingerprint(hash.Sum(nil)[:Size])
}

// writeLength keeps the end of one part from being taken for the beginning of the next.
func writeLength(hash io.Writer, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = hash.Write(encoded[:])
}

// String returns the fingerprint in hexadecimal digits, as logs and operators write it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero reports whether the fingerprint is that of no request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// Parse reads the form that String writes.
func Parse(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	if len(decoded) != Size {
		return Fingerprint{}, fmt.Errorf("fingerprint %q has %d bytes, not %d", text, len(decoded), Size)
	}
	return Fingerprint(decoded), nil
}
