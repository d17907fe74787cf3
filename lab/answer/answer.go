// Package answer defines the format of the responses of the lab's targets, and
// verifies that a client received the complete response to its own request.
//
// An answer repeats the nonce of the request, contains the answers of the
// downstream calls as parts, and ends with a checksum of all of it. An answer
// that is truncated, mixed with another one or meant for another request fails
// verification.
package answer

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// NonceHeader carries the caller's nonce; targets copy it to their downstream
// calls.
const NonceHeader = "Lab-Nonce"

// Answer is the body of a target's response, encoded as JSON.
type Answer struct {
	Service   string `json:"service"`
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Nonce     string `json:"nonce"`
	// Parts are the answers of the downstream calls.
	Parts []Answer `json:"parts"`
	// Padding extends the body to the length of a real response.
	Padding string `json:"padding"`
	// Checksum covers all other fields and the checksums of the parts.
	Checksum string `json:"sum"`
}

const paddingAlphabet = "abcdefghijklmnopqrstuvwxyz234567"

// Padding returns pseudorandom text of the given length, derived from the nonce.
func Padding(nonce string, length int) string {
	padding := make([]byte, length)
	state := xxhash.Sum64String(nonce) | 1
	for i := range padding {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		padding[i] = paddingAlphabet[state%uint64(len(paddingAlphabet))]
	}
	return string(padding)
}

// Encode sets the checksum and returns the answer as JSON.
func (a Answer) Encode() ([]byte, error) {
	if a.Parts == nil {
		a.Parts = []Answer{}
	}
	a.Checksum = a.computeChecksum()
	return json.Marshal(a)
}

// computeChecksum prefixes each field with its length, so that different answers
// never hash the same text.
func (a Answer) computeChecksum() string {
	digest := xxhash.New()
	writeField(digest, a.Service)
	writeField(digest, a.Target)
	writeField(digest, a.RequestID)
	writeField(digest, a.Nonce)
	writeField(digest, strconv.Itoa(len(a.Parts)))
	for _, part := range a.Parts {
		writeField(digest, part.Checksum)
	}
	writeField(digest, a.Padding)
	return hex.EncodeToString(digest.Sum(nil))
}

func writeField(digest *xxhash.Digest, value string) {
	_, _ = digest.WriteString(strconv.Itoa(len(value)))
	_, _ = digest.WriteString(":")
	_, _ = digest.WriteString(value)
}
