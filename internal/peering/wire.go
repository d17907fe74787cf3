package peering

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// Most messages between nodes are small calls, whose envelope would be larger than their
// content. The encoding is therefore compact: times in whole milliseconds, request IDs
// as the bytes of their hexadecimal digits, addresses in binary, and the names of
// common headers as one-byte codes from a table that all nodes share.

// Codec encodes and decodes messages in the compact form.
type Codec struct {
	headerNames []string
	headerCodes map[string]byte
}

// commonHeaders are header names that callers and targets use often.
var commonHeaders = []string{"Content-Type", "Accept", "Accept-Encoding", "User-Agent", "Date", "Cache-Control", "Retry-After", "Etag"}

// maxHeaderCodes bounds the table: codes are control characters, which cannot begin a
// header name.
const maxHeaderCodes = 32

// NewCodec returns a codec whose table begins with the given header names, in
// canonical form. All nodes must pass the same names in the same order.
func NewCodec(names ...string) *Codec {
	c := &Codec{headerCodes: make(map[string]byte)}
	for _, name := range append(names, commonHeaders...) {
		if _, known := c.headerCodes[name]; known || len(c.headerNames) == maxHeaderCodes {
			continue
		}
		c.headerCodes[name] = byte(len(c.headerNames))
		c.headerNames = append(c.headerNames, name)
	}
	return c
}

// wireCall is the encoded form of a Call. Times are in milliseconds.
type wireCall struct {
	Service    string    `cbor:"1,keyasint"`
	RequestID  wireID    `cbor:"2,keyasint"`
	Method     string    `cbor:"3,keyasint,omitempty"`
	URI        string    `cbor:"4,keyasint"`
	Host       string    `cbor:"5,keyasint"`
	Header     wireTexts `cbor:"6,keyasint,omitempty"`
	Body       wireBody  `cbor:"7,keyasint,omitempty"`
	Remaining  int64     `cbor:"8,keyasint"`
	Caller     string    `cbor:"9,keyasint"`
	Route      string    `cbor:"10,keyasint"`
	Rank       uint16    `cbor:"11,keyasint,omitempty"`
	MaxWait    int64     `cbor:"12,keyasint,omitempty"`
	Nested     bool      `cbor:"13,keyasint,omitempty"`
	Retried    bool      `cbor:"14,keyasint,omitempty"`
	PriorCalls int       `cbor:"17,keyasint,omitempty"`
	Attempt    int       `cbor:"18,keyasint,omitempty"`
	AtMostOnce bool      `cbor:"20,keyasint,omitempty"`
	Crashes    int       `cbor:"21,keyasint,omitempty"`
	// ResumedProcess is the process that a resumed call was first sent to; zero if the
	// call is not resumed.
	ResumedProcess uint32      `cbor:"19,keyasint,omitempty"`
	Target         *wireTarget `cbor:"24,keyasint,omitempty"`
	WantCost       bool        `cbor:"25,keyasint,omitempty"`
	Alternative    int64       `cbor:"26,keyasint,omitempty"`
	// RunLimit is rounded up.
	RunLimit         int64        `cbor:"27,keyasint,omitempty"`
	From             wireAddress  `cbor:"15,keyasint,omitempty"`
	Digests          []wireDigest `cbor:"16,keyasint,omitempty"`
	Epochs           []uint32     `cbor:"23,keyasint,omitempty"`
	DocumentVersions []uint64     `cbor:"22,keyasint,omitempty"`
}

// wireReply is the encoded form of a Reply. Times are in milliseconds.
type wireReply struct {
	Outcome          Outcome      `cbor:"1,keyasint"`
	Reason           Reason       `cbor:"2,keyasint,omitempty"`
	Status           int          `cbor:"3,keyasint,omitempty"`
	Header           wireTexts    `cbor:"4,keyasint,omitempty"`
	Body             wireBody     `cbor:"5,keyasint,omitempty"`
	RetryAfter       int64        `cbor:"6,keyasint,omitempty"`
	TargetError      bool         `cbor:"8,keyasint,omitempty"`
	Load             wireLoad     `cbor:"7,keyasint"`
	Digests          []wireDigest `cbor:"9,keyasint,omitempty"`
	Epochs           []uint32     `cbor:"12,keyasint,omitempty"`
	DocumentVersions []uint64     `cbor:"11,keyasint,omitempty"`
	Crashes          int          `cbor:"10,keyasint,omitempty"`

	Shortages []wireShortage `cbor:"14,keyasint,omitempty"`
	Costs     []wireCost     `cbor:"15,keyasint,omitempty"`
}

// wireLoad is the encoded form of a Load. The latency is in units of latencyUnit.
type wireLoad struct {
	InFlight int   `cbor:"1,keyasint,omitempty"`
	Queued   int   `cbor:"2,keyasint,omitempty"`
	Limit    int   `cbor:"3,keyasint,omitempty"`
	Latency  int64 `cbor:"4,keyasint,omitempty"`
	// ShedOffset is shed.None minus the threshold, so that it is zero and omitted if
	// nothing is shed.
	ShedOffset      uint16      `cbor:"5,keyasint,omitempty"`
	FailurePercent  int         `cbor:"6,keyasint,omitempty"`
	Stopping        bool        `cbor:"8,keyasint,omitempty"`
	ErrorPercent    int         `cbor:"9,keyasint,omitempty"`
	CallsPerRequest int         `cbor:"10,keyasint,omitempty"`
	RetryBudgetLow  bool        `cbor:"11,keyasint,omitempty"`
	Target          *wireTarget `cbor:"12,keyasint,omitempty"`
	// Room is in milliseconds, rounded up.
	Room int64 `cbor:"13,keyasint,omitempty"`
	// Pace is in percent, and PaceAge in milliseconds.
	Pace    int   `cbor:"14,keyasint,omitempty"`
	PaceAge int64 `cbor:"15,keyasint,omitempty"`
}

// wireTarget is the encoded form of a TargetAnnouncement.
type wireTarget struct {
	Instance string `cbor:"1,keyasint"`
	// Rate is the rate limit in calls per second; nil if there is none.
	Rate    *float64 `cbor:"2,keyasint,omitempty"`
	Leaving bool     `cbor:"3,keyasint,omitempty"`
}

func encodeTarget(target *TargetAnnouncement) *wireTarget {
	if target.Instance == "" {
		return nil
	}
	encoded := &wireTarget{Instance: target.Instance, Leaving: target.Leaving}
	if target.Rate.Limited {
		encoded.Rate = &target.Rate.Rate
	}
	return encoded
}

func decodeTarget(encoded *wireTarget) TargetAnnouncement {
	if encoded == nil {
		return TargetAnnouncement{}
	}
	target := TargetAnnouncement{Instance: encoded.Instance, Leaving: encoded.Leaving}
	if encoded.Rate != nil {
		target.Rate = targetrate.Announcement{Limited: true, Rate: *encoded.Rate}
	}
	return target
}

// latencyUnit is the unit of encoded latencies.
const latencyUnit = 10 * time.Microsecond

// callPool and replyPool hold the encoded forms of messages while these are converted. Messages in
// the pool are zero.
var (
	callPool  = sync.Pool{New: func() any { return new(wireCall) }}
	replyPool = sync.Pool{New: func() any { return new(wireReply) }}
)

func freeCall(w *wireCall) {
	*w = wireCall{}
	callPool.Put(w)
}

func freeReply(w *wireReply) {
	*w = wireReply{}
	replyPool.Put(w)
}

// encodeCall appends the encoded call to the buffer.
func (c *Codec) encodeCall(buffer *bytes.Buffer, call *Call) {
	w := callPool.Get().(*wireCall)
	defer freeCall(w)
	*w = wireCall{
		Service: call.Service, RequestID: wireID(call.RequestID), Method: encodeMethod(call.Method), URI: call.URI, Host: call.Host,
		Header: c.encodeHeader(call.Header), Body: call.Body, Remaining: call.Remaining.Milliseconds(), Caller: call.Caller, Route: call.Route,
		Rank: call.Rank, MaxWait: call.MaxWait.Milliseconds(), Nested: call.Nested, Retried: call.Retried, PriorCalls: call.PriorCalls,
		Attempt: call.OfferIndex, AtMostOnce: call.AtMostOnce, Crashes: call.Crashes, ResumedProcess: resumedProcessOf(call), Target: encodeTarget(&call.Target),
		WantCost: call.WantCost, Alternative: call.Alternative.Milliseconds(), RunLimit: (call.RunLimit + time.Millisecond - 1).Milliseconds(), From: wireAddress(call.From), Digests: encodeDigests(call.Digests), Epochs: encodeEpochs(call.Digests), DocumentVersions: encodeDocumentVersions(call.Digests),
	}
	encodeInto(buffer, w)
}

func resumedProcessOf(call *Call) uint32 {
	if !call.Resumed {
		return 0
	}
	return call.Process
}

// decodeCall decodes a call, which does not refer to the content.
func (c *Codec) decodeCall(content []byte) (*Call, error) {
	call, err := c.decodeCallInPlace(content)
	if err != nil {
		return nil, err
	}
	call.Body = bytes.Clone(call.Body)
	return call, nil
}

// decodeCallInPlace decodes a call whose body is part of the content.
func (c *Codec) decodeCallInPlace(content []byte) (*Call, error) {
	w := callPool.Get().(*wireCall)
	defer freeCall(w)
	if err := cbor.Unmarshal(content, w); err != nil {
		return nil, err
	}
	header, err := c.decodeHeader(w.Header)
	if err != nil {
		return nil, err
	}
	return &Call{
		Service: w.Service, RequestID: string(w.RequestID), Method: decodeMethod(w.Method), URI: w.URI, Host: w.Host, Header: header, Body: w.Body,
		Remaining: milliseconds(w.Remaining), Caller: w.Caller, Route: w.Route, Rank: w.Rank, MaxWait: milliseconds(w.MaxWait), Nested: w.Nested,
		Retried: w.Retried, PriorCalls: w.PriorCalls, OfferIndex: w.Attempt, AtMostOnce: w.AtMostOnce, Crashes: w.Crashes, Process: w.ResumedProcess, Resumed: w.ResumedProcess != 0, Target: decodeTarget(w.Target),
		WantCost: w.WantCost, Alternative: max(milliseconds(w.Alternative), 0), RunLimit: max(milliseconds(w.RunLimit), 0), From: string(w.From), Digests: decodeDigests(w.Digests, w.Epochs, w.DocumentVersions),
	}, nil
}

func (c *Codec) encodeReply(reply *Reply) []byte {
	load := &reply.Load
	w := replyPool.Get().(*wireReply)
	defer freeReply(w)
	*w = wireReply{
		Outcome: reply.Outcome, Reason: reply.Reason, Status: reply.Status, Header: c.encodeHeader(reply.Header), Body: reply.Body,
		RetryAfter: reply.RetryAfter.Milliseconds(), Crashes: reply.Crashes, TargetError: reply.TargetError,
		Shortages: encodeShortages(reply.Shortages), Costs: encodeCosts(reply.Costs), Digests: encodeDigests(reply.Digests), Epochs: encodeEpochs(reply.Digests), DocumentVersions: encodeDocumentVersions(reply.Digests),
		Load: wireLoad{
			InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Latency: int64(load.Latency / latencyUnit),
			ShedOffset: shed.None - min(load.Threshold, shed.None), FailurePercent: load.FailurePercent, Stopping: load.Stopping, ErrorPercent: load.ErrorPercent,
			CallsPerRequest: load.CallsPerRequest, RetryBudgetLow: load.RetryBudgetLow,
			Target: encodeTarget(&load.Target), Room: (load.Room + time.Millisecond - 1).Milliseconds(),
			Pace: load.Pace.Percent, PaceAge: load.Pace.Age.Milliseconds(),
		},
	}
	return encode(w)
}

// decodeReply decodes a reply, which does not refer to the content.
func (c *Codec) decodeReply(content []byte) (*Reply, error) {
	reply, err := c.decodeReplyInPlace(content)
	if err != nil {
		return nil, err
	}
	reply.Body = bytes.Clone(reply.Body)
	return reply, nil
}

// decodeReplyInPlace decodes a reply whose body is part of the content.
func (c *Codec) decodeReplyInPlace(content []byte) (*Reply, error) {
	w := replyPool.Get().(*wireReply)
	defer freeReply(w)
	if err := cbor.Unmarshal(content, w); err != nil {
		return nil, err
	}
	header, err := c.decodeHeader(w.Header)
	if err != nil {
		return nil, err
	}
	load := &w.Load
	return (&Reply{
		Outcome: w.Outcome, Reason: w.Reason, Status: w.Status, Header: header, Body: w.Body, RetryAfter: milliseconds(w.RetryAfter),
		Crashes: w.Crashes, TargetError: w.TargetError,
		Shortages: decodeShortages(w.Shortages), Costs: decodeCosts(w.Costs), Digests: decodeDigests(w.Digests, w.Epochs, w.DocumentVersions),
		Load: Load{
			InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Latency: time.Duration(load.Latency) * latencyUnit,
			Threshold: shed.None - min(load.ShedOffset, shed.None), FailurePercent: load.FailurePercent, Stopping: load.Stopping, ErrorPercent: load.ErrorPercent,
			CallsPerRequest: load.CallsPerRequest, RetryBudgetLow: load.RetryBudgetLow,
			Target: decodeTarget(load.Target), Room: milliseconds(load.Room),
			Pace: pace.Reading{Percent: load.Pace, Age: milliseconds(load.PaceAge)}.Checked(),
		},
	}).checked()
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// encodeMethod omits the most common method, GET.
func encodeMethod(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return method
}

func decodeMethod(code string) string {
	if code == "" {
		return http.MethodGet
	}
	return code
}

// encodeHeader returns alternating names and values. Names in the table are replaced
// by their code.
func (c *Codec) encodeHeader(header http.Header) []string {
	fields := make([]string, 0, 2*len(header))
	for name, values := range header {
		if code, known := c.headerCodes[name]; known {
			name = string([]byte{code})
		}
		for _, value := range values {
			fields = append(fields, name, value)
		}
	}
	return fields
}

// decodeHeader returns the header of the fields, whose strings it uses as the values.
func (c *Codec) decodeHeader(fields []string) (http.Header, error) {
	header := make(http.Header, len(fields)/2)
	if len(fields)%2 != 0 {
		return nil, fmt.Errorf("header of %d strings", len(fields))
	}
	for i := 0; i < len(fields); i += 2 {
		name := fields[i]
		if len(name) == 1 && name[0] < maxHeaderCodes {
			if int(name[0]) >= len(c.headerNames) {
				return nil, fmt.Errorf("unknown header code %d", name[0])
			}
			name = c.headerNames[name[0]]
		}
		// The capacity of one makes later appends to the values copy them.
		values := fields[i+1 : i+2 : i+2]
		if known := header[name]; known != nil {
			values = append(known, values...)
		}
		header[name] = values
	}
	return header, nil
}

// wireID is a request ID. An ID of lower-case hexadecimal parts separated by dots is
// encoded as the parts' bytes, each part preceded by its length.
type wireID string

// MarshalCBOR returns a byte string for an ID of hexadecimal parts and a text string
// for any other ID.
func (id wireID) MarshalCBOR() ([]byte, error) {
	var buffer [packedIDBytes]byte
	packed, ok := packID(buffer[:0], string(id))
	switch {
	case !ok:
		return cbor.Marshal(string(id))
	case len(packed) > math.MaxUint16:
		return cbor.Marshal(slices.Clone(packed))
	}
	return appendBytes(make([]byte, 0, maxHeadBytes+len(packed)), packed), nil
}

// UnmarshalCBOR decodes either form.
func (id *wireID) UnmarshalCBOR(content []byte) error {
	text, packed, err := decodeString(content)
	if err != nil {
		return fmt.Errorf("request ID: %w", err)
	}
	if packed == nil {
		*id = wireID(text)
		return nil
	}
	unpacked, err := unpackID(packed)
	*id = wireID(unpacked)
	return err
}

// packedIDBytes is the size of the buffer in which IDs are packed; longer ones take an allocation.
// It has room for the ID of a request at the end of a chain of seven calls.
const packedIDBytes = 64

const lowerHex = "0123456789abcdef"

// packID appends the packed form of the ID to the buffer.
func packID(packed []byte, id string) ([]byte, bool) {
	for part := range strings.SplitSeq(id, ".") {
		if part == "" || len(part)%2 != 0 || len(part) > 2*0xff || strings.Trim(part, lowerHex) != "" {
			return nil, false
		}
		packed = append(packed, byte(len(part)/2))
		for i := 0; i < len(part); i += 2 {
			packed = append(packed, hexDigit(part[i])<<4|hexDigit(part[i+1]))
		}
	}
	return packed, true
}

// hexDigit returns the value of a lower-case hexadecimal digit.
func hexDigit(digit byte) byte {
	if digit <= '9' {
		return digit - '0'
	}
	return digit - 'a' + 10
}

func unpackID(packed []byte) (string, error) {
	var buffer [2 * packedIDBytes]byte
	id := buffer[:0]
	for len(packed) > 0 {
		length := int(packed[0])
		if length == 0 || length >= len(packed) {
			return "", fmt.Errorf("request ID part of %d bytes with %d left", length, len(packed)-1)
		}
		if len(id) > 0 {
			id = append(id, '.')
		}
		id = hex.AppendEncode(id, packed[1:1+length])
		packed = packed[1+length:]
	}
	return string(id), nil
}

// wireAddress is an IP address with a port; other addresses are encoded as text.
type wireAddress string

// MarshalCBOR returns a byte string for an IP address with a port and a text string
// for any other address.
func (a wireAddress) MarshalCBOR() ([]byte, error) {
	address, err := netip.ParseAddrPort(string(a))
	if err != nil || !isCanonical(address, string(a)) {
		return cbor.Marshal(string(a))
	}
	var buffer [packedAddressBytes]byte
	packed, err := address.AppendBinary(buffer[:0])
	if err != nil {
		return nil, err
	}
	return appendBytes(make([]byte, 0, maxHeadBytes+len(packed)), packed), nil
}

const (
	// packedAddressBytes is the size of a packed IPv6 address with a port.
	packedAddressBytes = 16 + 2
	// addressTextBytes has room for the text of an IPv6 address with a port.
	addressTextBytes = 64
)

// isCanonical reports whether the text is the one that the address is decoded to.
func isCanonical(address netip.AddrPort, text string) bool {
	var buffer [addressTextBytes]byte
	return string(address.AppendTo(buffer[:0])) == text
}

// UnmarshalCBOR decodes either form.
func (a *wireAddress) UnmarshalCBOR(content []byte) error {
	text, packed, err := decodeString(content)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if packed == nil {
		*a = wireAddress(text)
		return nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(packed); err != nil {
		return err
	}
	*a = wireAddress(address.String())
	return nil
}
