// Package fingerprint identifies requests by their content, so that two attempts of the
// same request are recognized although they have different ids and may enter at different
// nodes.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
)

// Size is the size of a fingerprint in bytes. Finding two requests with the same
// fingerprint takes 2^64 attempts even for somebody who chooses both, so collisions are
// infeasible.
const Size = 16

// Fingerprint is a hash of a request's content.
type Fingerprint [Size]byte

// Content is the part of a request that identifies it: everything that its caller
// determines and that reaches the target, except headers, which clients vary between
// attempts.
type Content struct {
	Method, Host string
	// URI is the path with the query, as sent by the caller.
	URI  string
	Body []byte
}

// Of returns the fingerprint of a request with the given content.
func Of(content Content) Fingerprint {
	hash := sha256.New()
	for _, text := range []string{content.Method, content.Host, content.URI} {
		writeLength(hash, len(text))
		_, _ = io.WriteString(hash, text)
	}
	_, _ = hash.Write(content.Body)
	return Fingerprint(hash.Sum(nil)[:Size])
}

// writeLength writes the length of a part to the hash, so that moving bytes between
// adjacent parts changes the fingerprint.
func writeLength(hash io.Writer, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = hash.Write(encoded[:])
}

// String returns the fingerprint in hexadecimal digits, the form used in logs and by
// operators.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero reports whether the fingerprint is the zero value, which stands for no request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// Parse parses the form that String returns.
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
