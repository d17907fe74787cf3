package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// MaximumMessageBytes bounds a message between nodes.
const MaximumMessageBytes = 256 << 10

// maximumPageClaims bounds the claims of one page of a copy.
const maximumPageClaims = 2048

// KeyHash stands for a key within its scope. Two keys with one hash would be
// taken for one, which refuses the second and is safe.
type KeyHash [16]byte

// HashKey hashes a key with the scope, such as service and caller, in which it
// is unique.
func HashKey(scope, key string) KeyHash {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(scope)))
	h.Write(length[:])
	h.Write([]byte(scope))
	h.Write([]byte(key))
	var k KeyHash
	copy(k[:], h.Sum(nil))
	return k
}

// AttemptID names one sending of a call. It is drawn by the node that the call
// entered, never taken from the caller.
type AttemptID [16]byte

// NewAttemptID draws an attempt id.
func NewAttemptID() AttemptID {
	var id AttemptID
	_, _ = rand.Read(id[:]) // never fails
	return id
}

// String returns the id in hexadecimal.
func (a AttemptID) String() string { return hex.EncodeToString(a[:]) }

// Request asks one replica for a claim.
type Request struct {
	// To is the replica meant; another process at its address abstains.
	To      Identity  `cbor:"1,keyasint"`
	Epoch   uint64    `cbor:"2,keyasint"`
	Key     KeyHash   `cbor:"3,keyasint"`
	Attempt AttemptID `cbor:"4,keyasint"`
	// Roster is sent to a replica that answered AnswerBehind.
	Roster *Roster `cbor:"5,keyasint,omitempty"`
}

// Answer is what a replica says to a request.
type Answer uint8

// The answers. Only AnswerGranted counts towards the majority.
const (
	// AnswerGranted means that the key is the attempt's at this replica.
	AnswerGranted Answer = iota + 1
	// AnswerHeld means that another attempt has the key.
	AnswerHeld
	// AnswerStale means that the replica knows a newer roster, which is attached.
	AnswerStale
	// AnswerBehind means that the replica doesn't know the epoch's roster yet.
	AnswerBehind
	// AnswerNotVoter means that the replica has no vote in the epoch.
	AnswerNotVoter
	// AnswerWaiting means that the replica must let the retention pass first.
	AnswerWaiting
	// AnswerFull means that the replica has no memory left for claims.
	AnswerFull
	// AnswerReleased means that the attempt had been released before.
	AnswerReleased

	answerCount
)

// Response answers a Request.
type Response struct {
	From    Identity  `cbor:"1,keyasint"`
	Epoch   uint64    `cbor:"2,keyasint"`
	Key     KeyHash   `cbor:"3,keyasint"`
	Attempt AttemptID `cbor:"4,keyasint"`
	Answer  Answer    `cbor:"5,keyasint"`
	// Roster is set with AnswerStale.
	Roster *Roster `cbor:"6,keyasint,omitempty"`
	// Wait is set with AnswerWaiting: how long the replica still waits.
	Wait time.Duration `cbor:"7,keyasint,omitempty"`
}

// ReleaseRequest gives up an attempt that will never run.
type ReleaseRequest struct {
	To      Identity  `cbor:"1,keyasint"`
	Key     KeyHash   `cbor:"2,keyasint"`
	Attempt AttemptID `cbor:"3,keyasint"`
}

// PageRequest asks a voter for a page of its claims, for a replica that joins
// in the epoch.
type PageRequest struct {
	To     Identity `cbor:"1,keyasint"`
	Epoch  uint64   `cbor:"2,keyasint"`
	Cursor uint64   `cbor:"3,keyasint"`
	Roster *Roster  `cbor:"4,keyasint,omitempty"`
}

// CopiedClaim is a claim as one replica hands it to another.
type CopiedClaim struct {
	Key     KeyHash   `cbor:"1,keyasint"`
	Attempt AttemptID `cbor:"2,keyasint"`
	// Contested means that more than one attempt may have the key.
	Contested bool `cbor:"3,keyasint,omitempty"`
}

// Page is an answer to a PageRequest.
type Page struct {
	From Identity `cbor:"1,keyasint"`
	// Epoch is the request's; the replica has adopted it or a later one and
	// grants nothing in epochs before it.
	Epoch uint64 `cbor:"2,keyasint"`
	// Refused means that the replica may not hand over claims now.
	Refused bool `cbor:"3,keyasint,omitempty"`
	// Cursor is the request's; Next is that of the following page.
	Cursor uint64        `cbor:"4,keyasint"`
	Next   uint64        `cbor:"5,keyasint"`
	Last   bool          `cbor:"6,keyasint,omitempty"`
	Claims []CopiedClaim `cbor:"7,keyasint,omitempty"`
}

// message lists the types that nodes send.
type message interface {
	Request | Response | ReleaseRequest | PageRequest | Page | Roster
}

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maximumPageClaims,
		MaxNestedLevels:  8,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func encode[M message](m M) ([]byte, error) {
	body, err := cbor.Marshal(m)
	return body, oops.In("claim").With("step", "encode").Wrap(err)
}

func decode[M message](body []byte) (M, error) {
	var m M
	if len(body) > MaximumMessageBytes {
		return m, oops.In("claim").With("step", "decode").Errorf("message of %d bytes is too long", len(body))
	}
	err := decoding.Unmarshal(body, &m)
	return m, oops.In("claim").With("step", "decode").Wrap(err)
}

// EncodeRoster returns the roster as it is kept in the store.
func EncodeRoster(r Roster) ([]byte, error) { return encode(r) }

// DecodeRoster reads and validates a roster as it is kept in the store.
func DecodeRoster(body []byte) (Roster, error) {
	r, err := decode[Roster](body)
	if err != nil {
		return Roster{}, err
	}
	return r, oops.In("claim").With("step", "validate roster").Wrap(r.Validate())
}
