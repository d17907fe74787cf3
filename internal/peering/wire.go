package peering

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/shed"
)

// What nodes say to each other is mostly small calls, of which the envelope would
// be the greater part. Messages are therefore written in a short form: times in
// whole milliseconds, ids as the bytes that their hexadecimal digits stand for,
// addresses in binary, and the names of common headers as one byte from a table
// that all nodes share.

// Codec writes and reads messages in their short form.
type Codec struct {
	names []string
	codes map[string]byte
}

// commonHeaders are names that callers and targets often use.
var commonHeaders = []string{"Content-Type", "Accept", "Accept-Encoding", "User-Agent", "Date", "Cache-Control", "Retry-After", "Etag"}

// maxCodes bounds the table: codes are bytes that begin no header's name.
const maxCodes = 32

// NewCodec returns a codec whose table begins with the given names of headers,
// in canonical form. All nodes must use the same ones in the same order.
func NewCodec(names ...string) *Codec {
	c := &Codec{codes: make(map[string]byte)}
	for _, name := range append(names, commonHeaders...) {
		if _, known := c.codes[name]; known || len(c.names) == maxCodes {
			continue
		}
		c.codes[name] = byte(len(c.names))
		c.names = append(c.names, name)
	}
	return c
}

// wireCall is a Call as it is sent. Times are in milliseconds.
type wireCall struct {
	Service   string   `cbor:"1,keyasint"`
	RequestID wireID   `cbor:"2,keyasint"`
	Method    string   `cbor:"3,keyasint,omitempty"`
	URI       string   `cbor:"4,keyasint"`
	Host      string   `cbor:"5,keyasint"`
	Header    []string `cbor:"6,keyasint,omitempty"`
	Body      []byte   `cbor:"7,keyasint,omitempty"`
	Remaining int64    `cbor:"8,keyasint"`
	Caller    string   `cbor:"9,keyasint"`
	Route     string   `cbor:"10,keyasint"`
	Rank      uint16   `cbor:"11,keyasint,omitempty"`
	MaxWait   int64    `cbor:"12,keyasint,omitempty"`
	Inner     bool     `cbor:"13,keyasint,omitempty"`
	Repeat    bool     `cbor:"14,keyasint,omitempty"`
	Done      int      `cbor:"17,keyasint,omitempty"`
	Offer     int      `cbor:"18,keyasint,omitempty"`
	Once      bool     `cbor:"20,keyasint,omitempty"`
	Crashes   int      `cbor:"21,keyasint,omitempty"`
	// Resumes is the process that a resumed call was sent to before, zero for others.
	Resumes uint32       `cbor:"19,keyasint,omitempty"`
	From    wireAddress  `cbor:"15,keyasint,omitempty"`
	Digests []wireDigest `cbor:"16,keyasint,omitempty"`
	Epochs  []uint32     `cbor:"23,keyasint,omitempty"`
	Newest  []uint64     `cbor:"22,keyasint,omitempty"`
}

// wireReply is a Reply as it is sent. Times are in milliseconds.
type wireReply struct {
	Outcome    Outcome      `cbor:"1,keyasint"`
	Reason     Reason       `cbor:"2,keyasint,omitempty"`
	Status     int          `cbor:"3,keyasint,omitempty"`
	Header     []string     `cbor:"4,keyasint,omitempty"`
	Body       []byte       `cbor:"5,keyasint,omitempty"`
	RetryAfter int64        `cbor:"6,keyasint,omitempty"`
	OwnFailure bool         `cbor:"8,keyasint,omitempty"`
	Load       wireLoad     `cbor:"7,keyasint"`
	Digests    []wireDigest `cbor:"9,keyasint,omitempty"`
	Epochs     []uint32     `cbor:"12,keyasint,omitempty"`
	Newest     []uint64     `cbor:"11,keyasint,omitempty"`
	Crashes    int          `cbor:"10,keyasint,omitempty"`
}

// wireLoad is a Load as it is sent. The latency is in hundredths of a millisecond.
type wireLoad struct {
	InFlight int   `cbor:"1,keyasint,omitempty"`
	Queued   int   `cbor:"2,keyasint,omitempty"`
	Limit    int   `cbor:"3,keyasint,omitempty"`
	Latency  int64 `cbor:"4,keyasint,omitempty"`
	// Shed is by how much the threshold lies below the one that sheds nothing.
	Shed           uint16 `cbor:"5,keyasint,omitempty"`
	Failures       int    `cbor:"6,keyasint,omitempty"`
	Stopping       bool   `cbor:"8,keyasint,omitempty"`
	Errors         int    `cbor:"9,keyasint,omitempty"`
	Calls          int    `cbor:"10,keyasint,omitempty"`
	RetryBudgetLow bool   `cbor:"11,keyasint,omitempty"`
}

// latencyUnit is the unit of latencies in messages.
const latencyUnit = 10 * time.Microsecond

func (c *Codec) encodeCall(call *Call) []byte {
	return encode(&wireCall{
		Service: call.Service, RequestID: wireID(call.RequestID), Method: methodCode(call.Method), URI: call.URI, Host: call.Host,
		Header: c.shortHeader(call.Header), Body: call.Body, Remaining: call.Remaining.Milliseconds(), Caller: call.Caller, Route: call.Route,
		Rank: call.Rank, MaxWait: call.MaxWait.Milliseconds(), Inner: call.Nested, Repeat: call.Retried, Done: call.PriorCalls,
		Offer: call.OfferIndex, Once: call.AtMostOnce, Crashes: call.Crashes, Resumes: resumedProcess(call), From: wireAddress(call.From), Digests: shortDigests(call.Digests), Epochs: epochsOf(call.Digests), Newest: newestOf(call.Digests),
	})
}

func resumedProcess(call *Call) uint32 {
	if !call.Resumed {
		return 0
	}
	return call.Process
}

func (c *Codec) decodeCall(content []byte) (*Call, error) {
	var w wireCall
	if err := cbor.Unmarshal(content, &w); err != nil {
		return nil, err
	}
	header, err := c.longHeader(w.Header)
	if err != nil {
		return nil, err
	}
	return &Call{
		Service: w.Service, RequestID: string(w.RequestID), Method: methodOf(w.Method), URI: w.URI, Host: w.Host, Header: header, Body: w.Body,
		Remaining: millis(w.Remaining), Caller: w.Caller, Route: w.Route, Rank: w.Rank, MaxWait: millis(w.MaxWait), Nested: w.Inner,
		Retried: w.Repeat, PriorCalls: w.Done, OfferIndex: w.Offer, AtMostOnce: w.Once, Crashes: w.Crashes, Process: w.Resumes, Resumed: w.Resumes != 0, From: string(w.From), Digests: longDigests(w.Digests, w.Epochs, w.Newest),
	}, nil
}

func (c *Codec) encodeReply(reply *Reply) []byte {
	load := &reply.Load
	return encode(&wireReply{
		Outcome: reply.Outcome, Reason: reply.Reason, Status: reply.Status, Header: c.shortHeader(reply.Header), Body: reply.Body,
		RetryAfter: reply.RetryAfter.Milliseconds(), Crashes: reply.Crashes, OwnFailure: reply.TargetError, Digests: shortDigests(reply.Digests), Epochs: epochsOf(reply.Digests), Newest: newestOf(reply.Digests),
		Load: wireLoad{
			InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Latency: int64(load.Latency / latencyUnit),
			Shed: shed.None - min(load.Threshold, shed.None), Failures: load.FailurePercent, Stopping: load.Stopping, Errors: load.ErrorPercent,
			Calls: load.CallsPerRequest, RetryBudgetLow: load.RetryBudgetLow,
		},
	})
}

func (c *Codec) decodeReply(content []byte) (*Reply, error) {
	var w wireReply
	if err := cbor.Unmarshal(content, &w); err != nil {
		return nil, err
	}
	header, err := c.longHeader(w.Header)
	if err != nil {
		return nil, err
	}
	load := &w.Load
	return &Reply{
		Outcome: w.Outcome, Reason: w.Reason, Status: w.Status, Header: header, Body: w.Body, RetryAfter: millis(w.RetryAfter),
		Crashes: w.Crashes, TargetError: w.OwnFailure, Digests: longDigests(w.Digests, w.Epochs, w.Newest),
		Load: Load{
			InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Latency: time.Duration(load.Latency) * latencyUnit,
			Threshold: shed.None - min(load.Shed, shed.None), FailurePercent: load.Failures, Stopping: load.Stopping, ErrorPercent: load.Errors,
			CallsPerRequest: load.Calls, RetryBudgetLow: load.RetryBudgetLow,
		},
	}, nil
}

func millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// methodCode returns a short form of the method: none for the most common one.
func methodCode(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return method
}

func methodOf(code string) string {
	if code == "" {
		return http.MethodGet
	}
	return code
}

// shortHeader returns names and values in turn. Names in the table are written as
// their code.
func (c *Codec) shortHeader(header http.Header) []string {
	fields := make([]string, 0, 2*len(header))
	for name, values := range header {
		if code, known := c.codes[name]; known {
			name = string([]byte{code})
		}
		for _, value := range values {
			fields = append(fields, name, value)
		}
	}
	return fields
}

func (c *Codec) longHeader(fields []string) (http.Header, error) {
	header := make(http.Header, len(fields)/2)
	if len(fields)%2 != 0 {
		return nil, fmt.Errorf("header of %d strings", len(fields))
	}
	for i := 0; i < len(fields); i += 2 {
		name := fields[i]
		if len(name) == 1 && name[0] < maxCodes {
			if int(name[0]) >= len(c.names) {
				return nil, fmt.Errorf("unknown header code %d", name[0])
			}
			name = c.names[name[0]]
		}
		header[name] = append(header[name], fields[i+1])
	}
	return header, nil
}

// wireID is the id of a request. One of lower-case hexadecimal parts with dots
// between them is written as their bytes, each part after its length.
type wireID string

// MarshalCBOR returns a byte string for an id of hexadecimal parts, a text string
// for any other.
func (id wireID) MarshalCBOR() ([]byte, error) {
	if packed, ok := packID(string(id)); ok {
		return cbor.Marshal(packed)
	}
	return cbor.Marshal(string(id))
}

// UnmarshalCBOR reads both forms.
func (id *wireID) UnmarshalCBOR(content []byte) error {
	var form any
	if err := cbor.Unmarshal(content, &form); err != nil {
		return err
	}
	switch value := form.(type) {
	case string:
		*id = wireID(value)
		return nil
	case []byte:
		unpacked, err := unpackID(value)
		*id = wireID(unpacked)
		return err
	}
	return fmt.Errorf("id of type %T", form)
}

const lowerHex = "0123456789abcdef"

func packID(id string) ([]byte, bool) {
	packed := make([]byte, 0, len(id))
	for part := range strings.SplitSeq(id, ".") {
		if part == "" || len(part)%2 != 0 || len(part) > 2*0xff || strings.Trim(part, lowerHex) != "" {
			return nil, false
		}
		packed = append(packed, byte(len(part)/2))
		var err error
		if packed, err = hex.AppendDecode(packed, []byte(part)); err != nil {
			return nil, false
		}
	}
	return packed, true
}

func unpackID(packed []byte) (string, error) {
	var id []byte
	for len(packed) > 0 {
		length := int(packed[0])
		if length == 0 || length >= len(packed) {
			return "", fmt.Errorf("id with a part of %d bytes of %d", length, len(packed)-1)
		}
		if len(id) > 0 {
			id = append(id, '.')
		}
		id = hex.AppendEncode(id, packed[1:1+length])
		packed = packed[1+length:]
	}
	return string(id), nil
}

// wireAddress is an IP address with a port; other addresses are written as text.
type wireAddress string

// MarshalCBOR returns a byte string for an IP address with a port, a text string
// for anything else.
func (a wireAddress) MarshalCBOR() ([]byte, error) {
	address, err := netip.ParseAddrPort(string(a))
	if err != nil || address.String() != string(a) {
		return cbor.Marshal(string(a))
	}
	packed, err := address.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(packed)
}

// UnmarshalCBOR reads both forms.
func (a *wireAddress) UnmarshalCBOR(content []byte) error {
	var form any
	if err := cbor.Unmarshal(content, &form); err != nil {
		return err
	}
	switch value := form.(type) {
	case string:
		*a = wireAddress(value)
		return nil
	case []byte:
		var address netip.AddrPort
		if err := address.UnmarshalBinary(value); err != nil {
			return err
		}
		*a = wireAddress(address.String())
		return nil
	}
	return fmt.Errorf("address of type %T", form)
}
