// Package wire defines the messages of the JSON-over-HTTP form of the etcd v3
// API that lugspur uses. Keys and values are base64 strings and 64-bit integers
// are decimal strings; requests may contain JSON numbers as well.
package wire

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Paths of the API. All take POST requests.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathDeleteRange = "/v3/kv/deleterange"
	PathTxn         = "/v3/kv/txn"
	PathCompact     = "/v3/kv/compaction"
	PathWatch       = "/v3/watch"
	PathLeaseGrant  = "/v3/lease/grant"
	PathLeaseRenew  = "/v3/lease/keepalive"
	PathLeaseRevoke = "/v3/lease/revoke"
)

// Int64 is a 64-bit integer that is encoded as a string.
type Int64 int64

// MarshalJSON encodes the number as a decimal string.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON decodes a decimal string or a JSON number.
func (i *Int64) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	text := string(data)
	if len(data) > 0 && data[0] == '"' {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return err
	}
	*i = Int64(value)
	return nil
}

// Header is part of every response.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is a key with its value and the revisions of its writes.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads a key or a span of keys.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
	Revision Int64  `json:"revision,omitempty"`
}

// RangeResponse is the response to RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse is the response to PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest removes a key or a span of keys.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// Results and targets of comparisons.
const (
	CompareEqual  = "EQUAL"
	TargetMod     = "MOD"
	TargetCreate  = "CREATE"
	TargetVersion = "VERSION"
)

// Compare is a condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key"`
	ModRevision    *Int64 `json:"mod_revision,omitempty"`
	CreateRevision *Int64 `json:"create_revision,omitempty"`
	Version        *Int64 `json:"version,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if all comparisons hold and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the response to RequestOp.
type ResponseOp struct {
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnResponse is the response to TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// CompactRequest discards the history up to a revision.
type CompactRequest struct {
	Revision Int64 `json:"revision"`
}

// CompactResponse is the response to CompactRequest.
type CompactResponse struct {
	Header Header `json:"header"`
}

// LeaseGrantRequest creates a lease; TTL is in seconds.
type LeaseGrantRequest struct {
	TTL Int64 `json:"TTL"`
	ID  Int64 `json:"ID,omitempty"`
}

// LeaseGrantResponse is the response to LeaseGrantRequest; TTL is in seconds.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// LeaseRequest renews or revokes a lease, depending on the path.
type LeaseRequest struct {
	ID Int64 `json:"ID"`
}

// LeaseRenewResponse has the remaining TTL in seconds, zero for a lost lease.
type LeaseRenewResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// LeaseRenewMessage is one message of the response stream of a renewal.
type LeaseRenewMessage struct {
	Result LeaseRenewResponse `json:"result"`
	Error  *Error             `json:"error,omitempty"`
}

// LeaseRevokeResponse is the response to a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest has the span to watch and the first revision to report.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is one line of a watch's stream.
type WatchMessage struct {
	Result WatchResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchResponse has events; with neither events nor a flag it is a progress
// notification.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of a removal; the type of a put is empty.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// gRPC status codes of errors.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnimplemented     = 12
	CodeInternal          = 13
	CodeUnavailable       = 14
)

// Error messages that clients distinguish.
const (
	MessageCompacted     = "etcdserver: mvcc: required revision has been compacted"
	MessageFuture        = "etcdserver: mvcc: required revision is a future revision"
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageNoLeader      = "etcdserver: no leader"
	MessageTooMany       = "etcdserver: too many requests"
	MessageTooLarge      = "etcdserver: request is too large"
	MessageNoSpace       = "etcdserver: mvcc: database space exceeded"
)

// Error is the body of an error response. Errors in streams have other field
// names, so Code may be zero there.
type Error struct {
	Code     int    `json:"code,omitempty"`
	GRPCCode int    `json:"grpc_code,omitempty"`
	Message  string `json:"message"`
}
