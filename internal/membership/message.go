package membership

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagram is the maximum size of a datagram in bytes, below any common path MTU.
const MaxDatagram = 1200

const (
	// maxUpdates is the maximum number of updates in a received datagram.
	maxUpdates = 64
	// maxQueuedUpdates is the maximum number of queued updates added to a message. It leaves
	// room for the updates that the message already contains.
	maxQueuedUpdates = maxUpdates - 4
	// maxUpdateBytes is the maximum total size of the queued updates added to a message.
	maxUpdateBytes = 320
	// maxNestingDepth and maxMapPairs are limits of the CBOR decoder.
	maxNestingDepth = 4
	maxMapPairs     = 16
	// updatesOverhead is the space in bytes reserved for the key and the array header of the
	// Updates field.
	updatesOverhead = 4
)

// messageKind is the type of a datagram.
type messageKind uint8

const (
	// kindPing requests an acknowledgement with the same sequence number.
	kindPing messageKind = iota + 1
	// kindAck acknowledges a ping.
	kindAck
	// kindPingRequest asks the receiver to probe the target.
	kindPingRequest
	// kindPingRequestAck acknowledges the receipt of a ping request.
	kindPingRequestAck
	// kindRelayedAck reports to the sender of a ping request that the target has answered.
	kindRelayedAck
	// kindGossip carries updates and the payload and requires no answer.
	kindGossip
	kindEnd
)

// message is the content of a datagram. Decoders ignore unknown keys, so that nodes of two
// versions can run in one cluster.
type message struct {
	Kind     messageKind `cbor:"1,keyasint"`
	Cluster  string      `cbor:"2,keyasint,omitempty"`
	Sequence uint64      `cbor:"3,keyasint,omitempty"`
	Sender   Member      `cbor:"4,keyasint"`
	// Target is the name of the member to probe for a ping request, or of the member that
	// answered for a relayed acknowledgement.
	Target string `cbor:"5,keyasint,omitempty"`
	// RequestRecord asks the receiver for its full record.
	RequestRecord bool     `cbor:"6,keyasint,omitempty"`
	Payload       []byte   `cbor:"7,keyasint,omitempty"`
	Updates       []Member `cbor:"8,keyasint,omitempty"`
	// Digest is the digest of the sender's list. Earlier versions do not send it; zero means
	// unknown.
	Digest uint64 `cbor:"9,keyasint,omitempty"`
}

// Errors of rejected datagrams and payloads.
var (
	errTooLarge    = errors.New("datagram is too large")
	errUnknownKind = errors.New("unknown kind of datagram")
	errPayloadSize = errors.New("payload is too large")
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder(maxUpdates)
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder(maxArrayElements int) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestingDepth,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeMessage decodes a datagram and validates everything that can be checked without the
// receiver's state.
func decodeMessage(datagram []byte, now time.Time) (message, error) {
	var decoded message
	if len(datagram) > MaxDatagram {
		return message{}, errTooLarge
	}
	if err := decoder.Unmarshal(datagram, &decoded); err != nil {
		return message{}, err
	}
	if err := decoded.validate(now); err != nil {
		return message{}, err
	}
	return decoded, nil
}

func (m message) validate(now time.Time) error {
	if m.Kind == 0 || m.Kind >= kindEnd {
		return errUnknownKind
	}
	if len(m.Payload) > MaxPayload {
		return errPayloadSize
	}
	if !printable(m.Target, maxNameLength) {
		return errInvalidName
	}
	if err := m.Sender.validate(now); err != nil {
		return err
	}
	for _, update := range m.Updates {
		if err := update.validate(now); err != nil {
			return err
		}
	}
	return nil
}

// encodedSize returns the size of an encoded record in bytes.
func encodedSize(record Member) int {
	encoded, err := encoder.Marshal(record)
	if err != nil {
		return MaxDatagram
	}
	return len(encoded)
}
