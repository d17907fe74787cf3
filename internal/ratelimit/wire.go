package ratelimit

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Permit requests and grants are arrays, which a node decodes only if they have exactly as many
// elements as it knows. A request that asks for the demand is therefore the same array as any
// other, within a tag: nodes of the previous build skip tags that they do not know. Only the
// answer to such a request has a fifth element, so that no node gets an array that it cannot
// decode, and a holder of the previous build answers as ever.

const (
	// demandTag is the number of the tag of a request that asks for the demand.
	demandTag = 0x6c757264
	// tagType is the major type of tags, in the upper bits of the first byte of an item.
	tagType      = 6
	majorTypeBit = 5
	// fiveElements is the first byte of an array of five elements.
	fiveElements = 0x85
	// maxDemand is the highest demand in requests a second that is taken as credible.
	maxDemand = 1e6
)

// demandGrant is the encoded form of a grant with a demand.
type demandGrant struct {
	_                    struct{} `cbor:",toarray"`
	Held                 bool
	Issued               int
	Validity, RetryAfter time.Duration
	Demand               float64
}

// Wire returns the value to encode as CBOR: the request itself, or the request within a tag if
// it asks for the demand.
func (r *PermitRequest) Wire() any {
	if !r.WantsDemand {
		return r
	}
	return cbor.Tag{Number: demandTag, Content: r}
}

// Decode decodes either form of a request.
func (r *PermitRequest) Decode(content []byte) error {
	if err := cbor.Unmarshal(content, r); err != nil {
		return err
	}
	if content[0]>>majorTypeBit == tagType {
		var tag cbor.RawTag
		r.WantsDemand = cbor.Unmarshal(content, &tag) == nil && tag.Number == demandTag
	}
	return nil
}

// Wire returns the value to encode as CBOR: an array of four elements, or of five if the demand
// is known.
func (g *Grant) Wire() any {
	if g.Demand == 0 {
		return g
	}
	return &demandGrant{Held: g.Held, Issued: g.Issued, Validity: g.Validity, RetryAfter: g.RetryAfter, Demand: g.Demand}
}

// Decode decodes either form of a grant. A demand that is not credible counts as unknown.
func (g *Grant) Decode(content []byte) error {
	if len(content) == 0 || content[0] != fiveElements {
		return cbor.Unmarshal(content, g)
	}
	var known demandGrant
	if err := cbor.Unmarshal(content, &known); err != nil {
		return err
	}
	*g = Grant{Held: known.Held, Issued: known.Issued, Validity: known.Validity, RetryAfter: known.RetryAfter}
	if known.Demand > 0 && known.Demand <= maxDemand {
		g.Demand = known.Demand
	}
	return nil
}
