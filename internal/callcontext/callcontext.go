// Package callcontext carries what every node of a chain must know about the
// request that a call belongs to.
//
// The context travels in the W3C baggage header, as the member named "lugspur",
// because targets that forward trace headers forward that one already. Its
// value is versioned, URL-safe base64 of a CBOR array. The edge listener drops
// an incoming member and makes a new context; the mesh listener believes it.
package callcontext

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/criticality"
)

// Header names of a call.
const (
	// BaggageHeader carries the context, in the member MemberName.
	BaggageHeader = "Baggage"
	// RequestIDHeader tells targets and callers the id of the request.
	RequestIDHeader = "Lugspur-Request-Id"
	// TimeoutHeader tells targets the milliseconds left until the deadline.
	TimeoutHeader = "Lugspur-Timeout-Ms"
	// CallerHeader names the caller, as policies see it.
	CallerHeader = "Lugspur-Caller"
	// IdempotencyKeyHeader marks a call that must run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// MemberName is the name of the context's member in the baggage header.
const MemberName = "lugspur"

// Limits of a context on the wire.
const (
	// MaxBaggageLength bounds the whole baggage header, in bytes; W3C allows 8192.
	MaxBaggageLength = 8192
	// MaxEncodedLength bounds the member's value, in bytes.
	MaxEncodedLength = 512
	// MaxHops bounds how often a request may pass through a node.
	MaxHops = 64

	maxCallerLength = 128
	version         = "v1."
)

// Errors of decoding.
var (
	// ErrAbsent means that the header has no lugspur member.
	ErrAbsent = errors.New("no call context in baggage")
	// ErrMalformed means that the member is there and can't be understood.
	ErrMalformed = errors.New("malformed call context")
)

// RequestID names a request: one call at the edge with the whole chain below.
type RequestID [16]byte

// NewRequestID returns a random id.
func NewRequestID() RequestID {
	var id RequestID
	_, _ = rand.Read(id[:])
	return id
}

// ParseRequestID reads an id as String writes it.
func ParseRequestID(text string) (RequestID, error) {
	var id RequestID
	if len(text) != hex.EncodedLen(len(id)) {
		return id, fmt.Errorf("request id has %d characters, not %d", len(text), hex.EncodedLen(len(id)))
	}
	_, err := hex.Decode(id[:], []byte(text))
	return id, err
}

// String returns the id in hexadecimal.
func (i RequestID) String() string { return hex.EncodeToString(i[:]) }

// SpanID names one sending of a call to a target, so that the calls which the
// target makes for it can be told from those of another sending.
type SpanID [4]byte

// NewSpanID returns a random id.
func NewSpanID() SpanID {
	var id SpanID
	_, _ = rand.Read(id[:])
	return id
}

// Context is what a chain's nodes know of the request. It is a value; nodes
// change a copy.
type Context struct {
	// RequestID names the request across the chain.
	RequestID RequestID
	// Ingress is the peer address of the node that the request entered by and
	// that holds its retry budget.
	Ingress netip.AddrPort
	// Deadline is the moment after which nobody waits for the answer, to the
	// millisecond, by the clocks of the machines.
	Deadline time.Time
	// Rank is the request's place in the order of shedding.
	Rank criticality.Rank
	// Hops counts the nodes that the request has passed on its way here.
	Hops uint8
	// Caller names the caller at the edge.
	Caller string
	// Span names the sending of the call above, whose target makes this call;
	// it is zero at the edge.
	Span SpanID
}

// wire is the CBOR form of a context: an array, so that it stays short.
type wire struct {
	_              struct{} `cbor:",toarray"`
	RequestID      []byte
	IngressAddress []byte
	DeadlineMillis int64
	Rank           uint16
	Hops           uint8
	Caller         string
	Span           []byte
}

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:   4,
		MaxArrayElements:  16,
		MaxMapPairs:       16,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		TagsMd:            cbor.TagsForbidden,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the member's value.
func (c Context) Encode() (string, error) {
	ingress, err := c.Ingress.MarshalBinary()
	if err != nil {
		return "", fmt.Errorf("encode ingress address: %w", err)
	}
	encoded, err := cbor.Marshal(wire{
		RequestID:      c.RequestID[:],
		IngressAddress: ingress,
		DeadlineMillis: c.Deadline.UnixMilli(),
		Rank:           c.Rank.Key(),
		Hops:           c.Hops,
		Caller:         c.Caller,
		Span:           c.Span[:],
	})
	if err != nil {
		return "", fmt.Errorf("encode call context: %w", err)
	}
	return version + base64.RawURLEncoding.EncodeToString(encoded), nil
}

// Decode reads a member's value. Its errors wrap ErrMalformed.
func Decode(value string) (Context, error) {
	if len(value) > MaxEncodedLength {
		return Context{}, fmt.Errorf("%w: %d bytes, allowed are %d", ErrMalformed, len(value), MaxEncodedLength)
	}
	text, ok := strings.CutPrefix(value, version)
	if !ok {
		return Context{}, fmt.Errorf("%w: unknown version", ErrMalformed)
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Context{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var w wire
	if err := decoding.Unmarshal(encoded, &w); err != nil {
		return Context{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return w.context()
}

func (w wire) context() (Context, error) {
	c := Context{
		Deadline: time.UnixMilli(w.DeadlineMillis),
		Hops:     w.Hops,
		Caller:   w.Caller,
	}
	if len(w.RequestID) != len(c.RequestID) {
		return Context{}, fmt.Errorf("%w: request id of %d bytes", ErrMalformed, len(w.RequestID))
	}
	copy(c.RequestID[:], w.RequestID)
	if len(w.Span) != len(c.Span) {
		return Context{}, fmt.Errorf("%w: span of %d bytes", ErrMalformed, len(w.Span))
	}
	copy(c.Span[:], w.Span)
	if err := c.Ingress.UnmarshalBinary(w.IngressAddress); err != nil {
		return Context{}, fmt.Errorf("%w: ingress address: %w", ErrMalformed, err)
	}
	if w.Rank >= criticality.RankCount {
		return Context{}, fmt.Errorf("%w: rank %d", ErrMalformed, w.Rank)
	}
	c.Rank = criticality.RankOf(w.Rank)
	if c.Hops > MaxHops {
		return Context{}, fmt.Errorf("%w: %d hops, allowed are %d", ErrMalformed, c.Hops, MaxHops)
	}
	if len(c.Caller) > maxCallerLength {
		return Context{}, fmt.Errorf("%w: caller of %d bytes", ErrMalformed, len(c.Caller))
	}
	return c, nil
}

// FromHeader reads the context of a call. It returns ErrAbsent when there is
// none and an error that wraps ErrMalformed when it can't be read.
func FromHeader(header http.Header) (Context, error) {
	length := 0
	for _, line := range header[BaggageHeader] {
		length += len(line)
		if length > MaxBaggageLength {
			return Context{}, fmt.Errorf("%w: baggage longer than %d bytes", ErrMalformed, MaxBaggageLength)
		}
		for member := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
			if strings.TrimSpace(name) != MemberName {
				continue
			}
			value, _, _ = strings.Cut(value, ";")
			return Decode(strings.TrimSpace(value))
		}
	}
	return Context{}, ErrAbsent
}

// RemoveFromHeader removes every lugspur member from the header and keeps the others.
func RemoveFromHeader(header http.Header) {
	lines := header[BaggageHeader]
	if len(lines) == 0 {
		return
	}
	var kept []string
	for _, line := range lines {
		for member := range strings.SplitSeq(line, ",") {
			member = strings.TrimSpace(member)
			name, _, _ := strings.Cut(member, "=")
			if member != "" && strings.TrimSpace(name) != MemberName {
				kept = append(kept, member)
			}
		}
	}
	if len(kept) == 0 {
		header.Del(BaggageHeader)
		return
	}
	header[BaggageHeader] = []string{strings.Join(kept, ",")}
}

// SetHeader writes the context to a call in place of any that is there.
func (c Context) SetHeader(header http.Header) error {
	value, err := c.Encode()
	if err != nil {
		return err
	}
	RemoveFromHeader(header)
	member := MemberName + "=" + value
	// The caller's own members give way when there is no room for both.
	if others := header[BaggageHeader]; len(others) > 0 && len(member)+1+len(others[0]) <= MaxBaggageLength {
		member += "," + others[0]
	}
	header[BaggageHeader] = []string{member}
	return nil
}

// CallerName returns the caller's name as the context carries it: valid UTF-8,
// cut to the length that contexts allow.
func CallerName(name string) string {
	if len(name) > maxCallerLength {
		name = name[:maxCallerLength]
	}
	return strings.ToValidUTF8(name, "")
}
