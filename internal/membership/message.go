package membership

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagram is the largest datagram in bytes, below any common path MTU.
const MaxDatagram = 1200

// Limits of the decoder and of the space for updates in a datagram.
const (
	maxUpdates = 64
	// maxQueuedUpdates leaves room for those that a message is about.
	maxQueuedUpdates = maxUpdates - 4
	maxUpdateBytes   = 320
	maxNesting       = 4
	maxPairs         = 16
	updatesOverhead  = 4
)

// kind is the purpose of a datagram.
type kind uint8

const (
	// kindPing asks for an acknowledgement with the same sequence number.
	kindPing kind = iota + 1
	// kindAck answers a ping.
	kindAck
	// kindPingRequest asks the receiver to probe the target.
	kindPingRequest
	// kindReceipt tells the requester that its ping request has arrived.
	kindReceipt
	// kindRelayedAck tells the requester that the target has answered.
	kindRelayedAck
	// kindGossip carries updates and the payload and wants no answer.
	kindGossip
	kindEnd
)

// message is a datagram. Unknown keys are ignored, so that nodes of two
// versions can run side by side.
type message struct {
	Kind     kind   `cbor:"1,keyasint"`
	Cluster  string `cbor:"2,keyasint,omitempty"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	Sender   Member `cbor:"4,keyasint"`
	// Target names the member that a ping request is about.
	Target string `cbor:"5,keyasint,omitempty"`
	// Introduce asks the receiver for its full record.
	Introduce bool     `cbor:"6,keyasint,omitempty"`
	Payload   []byte   `cbor:"7,keyasint,omitempty"`
	Updates   []Member `cbor:"8,keyasint,omitempty"`
	// Digest is that of the sender's list. Zero, as from an earlier version, tells nothing.
	Digest uint64 `cbor:"9,keyasint,omitempty"`
}

// Causes of a rejected datagram.
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

func mustDecoder(maxElements int) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeMessage reads a datagram and checks everything that does not depend on
// the receiver's state.
func decodeMessage(datagram []byte, now time.Time) (message, error) {
	var decoded message
	if len(datagram) > MaxDatagram {
		return message{}, errTooLarge
	}
	if err := decoder.Unmarshal(datagram, &decoded); err != nil {
		return message{}, err
	}
	if err := decoded.check(now); err != nil {
		return message{}, err
	}
	return decoded, nil
}

func (m message) check(now time.Time) error {
	if m.Kind == 0 || m.Kind >= kindEnd {
		return errUnknownKind
	}
	if len(m.Payload) > MaxPayload {
		return errPayloadSize
	}
	if !printable(m.Target, maxNameLength) {
		return errInvalidName
	}
	if err := m.Sender.check(now); err != nil {
		return err
	}
	for _, update := range m.Updates {
		if err := update.check(now); err != nil {
			return err
		}
	}
	return nil
}

// encodedSize returns the bytes that a record takes in a datagram.
func encodedSize(record Member) int {
	encoded, err := encoder.Marshal(record)
	if err != nil {
		return MaxDatagram
	}
	return len(encoded)
}
