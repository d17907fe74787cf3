// Package fingerprint identifies requests by their content, so that two attempts of the
// same request are recognized although they have different ids and may enter at different
// nodes.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
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

// shortContent is the size in bytes up to which the hashed content is collected on the stack.
const shortContent = 512

// Of returns the fingerprint of a request with the given content.
func Of(content Content) Fingerprint {
	var buffer [shortContent]byte
	hashed := buffer[:0]
	for _, text := range [...]string{content.Method, content.Host, content.URI} {
		hashed = appendPart(hashed, text)
	}
	if len(hashed)+len(content.Body) <= shortContent {
		sum := sha256.Sum256(append(hashed, content.Body...))
		return Fingerprint(sum[:Size])
	}
	hash := sha256.New()
	_, _ = hash.Write(hashed)
	_, _ = hash.Write(content.Body)
	return Fingerprint(hash.Sum(nil)[:Size])
}

// appendPart appends a part after its length, so that moving bytes between adjacent parts
// changes the fingerprint.
func appendPart(hashed []byte, text string) []byte {
	hashed = binary.BigEndian.AppendUint64(hashed, uint64(len(text)))
	return append(hashed, text...)
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
