// Package callcontext propagates the context of a request, such as its deadline
// and criticality, to every node of its call chain.
//
// The context is sent in the W3C baggage header, as the member named "lugspur",
// because targets that forward trace headers already forward that header. Its
// value is a version prefix followed by the URL-safe base64 encoding of a CBOR
// array. The edge listener drops an incoming member and creates a new context;
// the mesh listener trusts the incoming one.
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
	// RequestIDHeader carries the request ID to targets and callers.
	RequestIDHeader = "Lugspur-Request-Id"
	// TimeoutHeader carries the milliseconds left until the deadline to targets.
	TimeoutHeader = "Lugspur-Timeout-Ms"
	// CallerHeader names the caller for policies.
	CallerHeader = "Lugspur-Caller"
	// IdempotencyKeyHeader marks a call that must be executed at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// MemberName is the name of the context's member in the baggage header.
const MemberName = "lugspur"

// Limits of a context on the wire.
const (
	// MaxBaggageLength bounds the whole baggage header, in bytes. W3C Baggage
	// requires that at least 8192 bytes are propagated.
	MaxBaggageLength = 8192
	// MaxEncodedLength bounds the member's value, in bytes.
	MaxEncodedLength = 512
	// MaxHops bounds the number of nodes that a request passes through, counting
	// repeated visits.
	MaxHops = 64

	maxCallerLength = 128
	versionPrefix   = "v1."
)

// Errors returned by FromHeader and Decode.
var (
	// ErrAbsent means that the header has no lugspur member.
	ErrAbsent = errors.New("no call context in baggage")
	// ErrMalformed means that the member is present but can't be decoded.
	ErrMalformed = errors.New("malformed call context")
)

// RequestID identifies a request: a call at the edge and all calls made for it
// downstream.
type RequestID [16]byte

// NewRequestID returns a random request ID.
func NewRequestID() RequestID {
	var id RequestID
	_, _ = rand.Read(id[:])
	return id
}

// ParseRequestID parses an ID in the format of String.
func ParseRequestID(text string) (RequestID, error) {
	var id RequestID
	if len(text) != hex.EncodedLen(len(id)) {
		return id, fmt.Errorf("request id has %d characters, not %d", len(text), hex.EncodedLen(len(id)))
	}
	_, err := hex.Decode(id[:], []byte(text))
	return id, err
}

// String returns the ID in hexadecimal.
func (i RequestID) String() string { return hex.EncodeToString(i[:]) }

// SpanID identifies one attempt to send a call to a target. It distinguishes the
// calls that the target makes for this attempt from those for another attempt.
type SpanID [4]byte

// NewSpanID returns a random span ID.
func NewSpanID() SpanID {
	var id SpanID
	_, _ = rand.Read(id[:])
	return id
}

// Context is the request state that the nodes of a call chain share. It is passed
// by value; each node modifies its own copy.
type Context struct {
	// RequestID identifies the request across the chain.
	RequestID RequestID
	// Ingress is the peer address of the node through which the request entered.
	// That node manages the retry budget of the request.
	Ingress netip.AddrPort
	// Deadline is the time after which the caller no longer waits for the answer,
	// as wall-clock time with millisecond precision.
	Deadline time.Time
	// Rank is the request's position in the order of load shedding.
	Rank criticality.Rank
	// Hops is the number of nodes that the request has passed through so far.
	Hops uint8
	// Caller names the caller at the edge.
	Caller string
	// Span identifies the attempt of the parent call whose target makes this
	// call. It is zero at the edge.
	Span SpanID
}

// wireContext is the CBOR encoding of a context. It is an array to keep the header
// short.
type wireContext struct {
	_              struct{} `cbor:",toarray"`
	RequestID      []byte
	IngressAddress []byte
	DeadlineMillis int64
	Rank           uint16
	Hops           uint8
	Caller         string
	Span           []byte
}

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
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

// Encode returns the value of the baggage member.
func (c Context) Encode() (string, error) {
	ingress, err := c.Ingress.MarshalBinary()
	if err != nil {
		return "", fmt.Errorf("encode ingress address: %w", err)
	}
	encoded, err := cbor.Marshal(wireContext{
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
	return versionPrefix + base64.RawURLEncoding.EncodeToString(encoded), nil
}

// Decode decodes the value of the baggage member. Its errors wrap ErrMalformed.
func Decode(value string) (Context, error) {
	if len(value) > MaxEncodedLength {
		return Context{}, fmt.Errorf("%w: %d bytes, allowed are %d", ErrMalformed, len(value), MaxEncodedLength)
	}
	text, ok := strings.CutPrefix(value, versionPrefix)
	if !ok {
		return Context{}, fmt.Errorf("%w: unknown version", ErrMalformed)
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Context{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var w wireContext
	if err := decodeMode.Unmarshal(encoded, &w); err != nil {
		return Context{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return w.context()
}

func (w wireContext) context() (Context, error) {
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

// FromHeader decodes the context in the header of a call. It returns ErrAbsent if
// there is none and an error that wraps ErrMalformed if it can't be decoded.
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
	var others []string
	for _, line := range lines {
		for member := range strings.SplitSeq(line, ",") {
			member = strings.TrimSpace(member)
			name, _, _ := strings.Cut(member, "=")
			if member != "" && strings.TrimSpace(name) != MemberName {
				others = append(others, member)
			}
		}
	}
	if len(others) == 0 {
		header.Del(BaggageHeader)
		return
	}
	header[BaggageHeader] = []string{strings.Join(others, ",")}
}

// SetHeader sets the context in the header of a call and replaces an existing
// one.
func (c Context) SetHeader(header http.Header) error {
	value, err := c.Encode()
	if err != nil {
		return err
	}
	RemoveFromHeader(header)
	member := MemberName + "=" + value
	// The caller's own members are dropped if both do not fit into the header.
	if others := header[BaggageHeader]; len(others) > 0 && len(member)+1+len(others[0]) <= MaxBaggageLength {
		member += "," + others[0]
	}
	header[BaggageHeader] = []string{member}
	return nil
}

// CallerName returns the caller's name in the form that a context can carry: valid
// UTF-8, truncated to the maximum length.
func CallerName(name string) string {
	if len(name) > maxCallerLength {
		name = name[:maxCallerLength]
	}
	return strings.ToValidUTF8(name, "")
}
