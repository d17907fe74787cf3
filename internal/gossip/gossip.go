// Package gossip defines the application payload of the membership datagrams: the state of a
// node's configuration, the epoch of its roster of claim replicas, and the load shedding levels
// of the targets that have the node as their home. The size of a payload is bounded, regardless
// of the number of nodes and targets.
package gossip

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/configuration"
)

// MaxShedLevels is the maximum number of shed levels in one payload.
const MaxShedLevels = 12

// Payload is the application data that a node attaches to its datagrams.
type Payload struct {
	// Digest summarizes the node's configuration.
	Digest configuration.Digest `cbor:"1,keyasint"`
	// Version is the sender's clock in milliseconds since 1970. It orders the payloads of one
	// node.
	Version uint64 `cbor:"2,keyasint"`
	// Levels holds the strictest shed levels of the targets that have the node as their home, at
	// most MaxShedLevels.
	Levels []ShedLevel `cbor:"3,keyasint,omitempty"`
	// ClaimEpoch is the epoch of the node's roster of claim replicas; zero if it has none.
	ClaimEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// ShedLevel is the load shedding level of one target.
type ShedLevel struct {
	_ struct{} `cbor:",toarray"`
	// Target is the hash of the target's name.
	Target uint32
	// Threshold is the lowest rank key whose calls are refused.
	Threshold uint16
}

// Strictest sorts the levels in place by ascending threshold, so that the strictest come first,
// and returns those that fit in a payload.
func Strictest(levels []ShedLevel) []ShedLevel {
	slices.SortFunc(levels, func(a, b ShedLevel) int {
		return cmp.Or(cmp.Compare(a.Threshold, b.Threshold), cmp.Compare(a.Target, b.Target))
	})
	return levels[:min(len(levels), MaxShedLevels)]
}

// Encode returns the encoded payload.
func (p Payload) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(p)
	return encoded, oops.In("gossip").With("step", "encode").Wrap(err)
}

// Decode decodes a payload. It rejects payloads with more than MaxShedLevels levels, as no node
// sends them.
func Decode(encoded []byte) (Payload, error) {
	var payload Payload
	if err := cbor.Unmarshal(encoded, &payload); err != nil {
		return Payload{}, oops.In("gossip").With("step", "decode").Wrap(err)
	}
	if len(payload.Levels) > MaxShedLevels {
		return Payload{}, oops.In("gossip").With("step", "decode").
			Errorf("payload has %d shed levels, the maximum is %d", len(payload.Levels), MaxShedLevels)
	}
	return payload, nil
}
