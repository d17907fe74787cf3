// Package gossip defines what a node tells the others along with its
// heartbeats: how far its configuration and its roster of claim replicas are, and
// the shed levels of the targets it guards. A payload has a bounded size whatever the number of nodes and
// targets.
package gossip

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/configuration"
)

// MaxLevels bounds the shed levels in one payload.
const MaxLevels = 12

// Payload is what a node tells.
type Payload struct {
	// Digest says what configuration the node has.
	Digest configuration.Digest `cbor:"1,keyasint"`
	// Version is the sender's clock in milliseconds since 1970; it orders the
	// payloads of one node.
	Version uint64 `cbor:"2,keyasint"`
	// Levels are the strictest shed levels of the targets that the node guards.
	Levels []Level `cbor:"3,keyasint,omitempty"`
	// ClaimEpoch is the epoch of the roster of claim replicas that the node
	// knows, zero without one.
	ClaimEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// Level is the shed level of one target.
type Level struct {
	_ struct{} `cbor:",toarray"`
	// Target is the hash of the target's name.
	Target uint32
	// Threshold is the rank key from which on calls are refused.
	Threshold uint16
}

// Strictest sorts the levels in place, the strictest first, and returns those
// that fit in a payload.
func Strictest(levels []Level) []Level {
	slices.SortFunc(levels, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Threshold, b.Threshold), cmp.Compare(a.Target, b.Target))
	})
	return levels[:min(len(levels), MaxLevels)]
}

// Encode returns the payload's bytes.
func (p Payload) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(p)
	return encoded, oops.In("gossip").With("step", "encode").Wrap(err)
}

// Decode reads a payload. Levels beyond MaxLevels are an error, as no node
// sends them.
func Decode(encoded []byte) (Payload, error) {
	var payload Payload
	if err := cbor.Unmarshal(encoded, &payload); err != nil {
		return Payload{}, oops.In("gossip").With("step", "decode").Wrap(err)
	}
	if len(payload.Levels) > MaxLevels {
		return Payload{}, oops.In("gossip").With("step", "decode").
			Errorf("%d shed levels: allowed are %d", len(payload.Levels), MaxLevels)
	}
	return payload, nil
}
