// Package answer is the format of the answers that the lab's targets give, and
// the check that a client got the complete answer to its own call.
//
// An answer repeats the nonce of the call, holds the answers of the downstream
// calls as parts, and ends with a sum over all of it. A cut, mixed or foreign
// answer doesn't verify.
package answer

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// NonceHeader carries the caller's nonce; targets copy it onto their own calls.
const NonceHeader = "Lab-Nonce"

// Answer is the body of a target's answer, encoded as JSON.
type Answer struct {
	Service   string `json:"service"`
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Nonce     string `json:"nonce"`
	// Parts are the answers of the downstream calls.
	Parts []Answer `json:"parts"`
	// Padding makes up the length of a real answer.
	Padding string `json:"padding"`
	// Sum covers all the other fields and the sums of the parts.
	Sum string `json:"sum"`
}

const paddingAlphabet = "abcdefghijklmnopqrstuvwxyz234567"

// Padding returns a text of the given length that depends on the nonce.
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

// Encode sets the sum and returns the answer as JSON.
func (a Answer) Encode() ([]byte, error) {
	if a.Parts == nil {
		a.Parts = []Answer{}
	}
	a.Sum = a.computeSum()
	return json.Marshal(a)
}

// computeSum separates the fields by their lengths, so that no two answers
// hash the same text.
func (a Answer) computeSum() string {
	digest := xxhash.New()
	writeField(digest, a.Service)
	writeField(digest, a.Target)
	writeField(digest, a.RequestID)
	writeField(digest, a.Nonce)
	writeField(digest, strconv.Itoa(len(a.Parts)))
	for _, part := range a.Parts {
		writeField(digest, part.Sum)
	}
	writeField(digest, a.Padding)
	return hex.EncodeToString(digest.Sum(nil))
}

func writeField(digest *xxhash.Digest, value string) {
	_, _ = digest.WriteString(strconv.Itoa(len(value)))
	_, _ = digest.WriteString(":")
	_, _ = digest.WriteString(value)
}
