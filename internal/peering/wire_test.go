package peering

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// fullCall and fullReply set every field.
func fullCall() *Call {
	return &Call{Service: "prices", RequestID: "cbfed4665665238d.96c6f396bb9a3a42.bbf4b50146973c51.b6524dcef0b56046", Method: "POST", URI: "/list/7?x=%20y", Host: "prices.example",
		Header: http.Header{"Content-Type": {"text/plain"}, "X-Custom": {"a", "b"}}, Body: []byte{0, 1, 2}, Remaining: 2345 * time.Millisecond, Caller: "cards",
		Route: "price-list", Rank: 300, MaxWait: 180 * time.Millisecond, Nested: true, Retried: true, PriorCalls: 3, OfferIndex: 2, AtMostOnce: true, Crashes: 2, Process: 9, Resumed: true, From: "10.1.0.34:8560",
		Target: TargetAnnouncement{Instance: "i-1@7", Rate: targetrate.Announcement{Limited: true, Rate: 6.8}, Leaving: true}, WantCost: true, Alternative: 75 * time.Millisecond, RunLimit: 900 * time.Millisecond,
		Digests: []replica.Digest{{Revision: 1234, Age: 45 * time.Millisecond}, {Revision: 1250, Age: -1}}}
}

func fullReply() *Reply {
	return &Reply{Outcome: Answered, Reason: QueueTimeout, Status: 200, Header: http.Header{"X-Signature": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Content-Type": {"text/plain"}}, Body: []byte("ok"),
		RetryAfter: 150 * time.Millisecond, Crashes: 3, TargetError: true, Digests: fullCall().Digests,
		Shortages: []shortage.Report{{Service: "prices", Home: "10.1.0.35:8560", Threshold: 130, Weight: 61, Age: 40 * time.Millisecond}, {Service: "prices", Home: "10.1.0.36:8560", Threshold: shed.None, Weight: 61}},
		Costs:     []downstream.Cost{{Service: "prices", Calls: 8.25, SlotTime: 240 * time.Millisecond, Share: 0.75}, {Service: "cards", Calls: 1}},
		Load: Load{InFlight: 12, Queued: 3, Limit: 19, Latency: 22340 * time.Microsecond, Threshold: 7, FailurePercent: 4, Stopping: true, ErrorPercent: 5, CallsPerRequest: 10, RetryBudgetLow: true,
			Target: TargetAnnouncement{Instance: "i-1@7", Rate: targetrate.Announcement{Limited: true}}, Room: 150 * time.Millisecond, Pace: pace.Reading{Percent: 250, Age: 30 * time.Millisecond}}}
}

func encodedCall(call *Call) []byte {
	var buffer bytes.Buffer
	testCodec.encodeCall(&buffer, call)
	return buffer.Bytes()
}

// TestDigestsRoundTripAcrossEpochs covers replicas of one epoch of the store and of
// several, and a newest document that the store has lost.
func TestDigestsRoundTripAcrossEpochs(t *testing.T) {
	for _, digests := range [][]replica.Digest{
		{{Revision: store.NewRevision(3, 1234)}, {Revision: store.NewRevision(3, 1250)}},
		{{Revision: store.NewRevision(1, 1234), DocumentVersion: 80}, {Revision: store.NewRevision(2, 1250)}},
		{{Revision: 1234}, {Revision: store.NewRevision(store.MaxEpoch, 1250), DocumentVersion: 7}},
		{{}, {Revision: store.NewRevision(1, 5)}},
	} {
		call := fullCall()
		call.Digests = digests
		decoded, err := testCodec.decodeCall(encodedCall(call))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded.Digests, digests)
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	call, err := testCodec.decodeCall(encodedCall(fullCall()))
	assert.NilError(t, err)
	assert.DeepEqual(t, call, fullCall())
	reply, err := testCodec.decodeReply(testCodec.encodeReply(fullReply()))
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, fullReply())
	for _, message := range []any{fullCall(), fullReply(), &fullReply().Load} {
		value := reflect.ValueOf(message).Elem()
		for i := range value.NumField() {
			name := value.Type().Field(i).Name
			// The reservation belongs to the node.
			assert.Assert(t, !value.Field(i).IsZero() || name == "ResponseMemory", "the test must set %s", name)
		}
	}
}

// TestMalformedShortagesAndCostsAreDropped guards against values that would be taken for capacity or for
// a lack of it.
func TestMalformedShortagesAndCostsAreDropped(t *testing.T) {
	for _, malformed := range []wireShortage{{Home: "a", Weight: 1}, {Service: "s", Weight: 1}, {Service: "s", Home: "a"}, {Service: "s", Home: "a", Weight: -1},
		{Service: "s", Home: "a", Weight: 1, ShedOffset: shed.None + 1}, {Service: "s", Home: "a", Weight: 1, Age: -1}, {Service: "s", Home: "a", Weight: 1, Age: math.MaxInt64}} {
		valid := wireShortage{Service: "s", Home: "b", Weight: 1}
		assert.Equal(t, len(decodeShortages([]wireShortage{malformed, valid})), 1, "%+v", malformed)
	}
	assert.Equal(t, len(decodeShortages(make([]wireShortage, 1000))), 0)
	for _, malformed := range []wireCost{{Calls: 1}, {Service: "s"}, {Service: "s", Calls: -1}, {Service: "s", Calls: math.MaxInt64}, {Service: "s", Calls: 1, SlotTime: -1}, {Service: "s", Calls: 1, Share: 101}, {Service: "s", Calls: 1, Share: -1}, {Service: "s", Calls: 1, SlotTime: math.MaxInt64}} {
		assert.Equal(t, len(decodeCosts([]wireCost{malformed, {Service: "s", Calls: 1}})), 1, "%+v", malformed)
	}
}

// TestReplyWithInvalidStatusIsFailure guards against a status from a peer that callers cannot
// receive.
func TestReplyWithInvalidStatusIsFailure(t *testing.T) {
	for status, valid := range map[int]bool{-1: false, 0: false, 99: false, 100: false, 199: false, 200: true, 299: true, 599: true, 600: false, 1000: false, math.MaxInt: false} {
		sent := fullReply()
		sent.Status = status
		reply, err := testCodec.decodeReply(testCodec.encodeReply(sent))
		assert.NilError(t, err)
		assert.DeepEqual(t, reply.Load, sent.Load)
		if valid {
			assert.DeepEqual(t, reply, sent)
			continue
		}
		assert.Equal(t, reply.Outcome, Failed, "status %d", status)
		assert.Equal(t, reply.Reason, InvalidResponse)
		assert.Equal(t, len(reply.Header)+len(reply.Body)+reply.Status, 0)
	}
}

// TestReplyWithUnknownOutcomeIsError guards against a call that is sent again although its reply
// does not state that it may be.
func TestReplyWithUnknownOutcomeIsError(t *testing.T) {
	for _, outcome := range []Outcome{0, Failed + 1, math.MaxUint8} {
		_, err := testCodec.decodeReply(testCodec.encodeReply(&Reply{Outcome: outcome, Status: 200}))
		assert.ErrorContains(t, err, "unknown outcome")
	}
}

// TestReplyInheritsNothing guards against pooled encoded forms that keep fields of an earlier
// reply, which a later one omits.
func TestReplyInheritsNothing(t *testing.T) {
	full, bare := testCodec.encodeReply(fullReply()), testCodec.encodeReply(&Reply{Outcome: Failed})
	want, err := testCodec.decodeReply(bare)
	assert.NilError(t, err)
	for range 100 {
		_, err := testCodec.decodeReply(full)
		assert.NilError(t, err)
		reply, err := testCodec.decodeReply(bare)
		assert.NilError(t, err)
		assert.DeepEqual(t, reply, want)
	}
}

// TestDecodedMessagesAreCopies guards against decoded calls and replies that refer to the pooled
// buffer of the message, which is overwritten by the next one.
func TestDecodedMessagesAreCopies(t *testing.T) {
	encodedReply, encodedCall := testCodec.encodeReply(fullReply()), encodedCall(fullCall())
	reply, err := testCodec.decodeReply(encodedReply)
	assert.NilError(t, err)
	call, err := testCodec.decodeCall(encodedCall)
	assert.NilError(t, err)
	for _, message := range [][]byte{encodedReply, encodedCall} {
		for i := range message {
			message[i] = 0xff
		}
	}
	assert.DeepEqual(t, reply, fullReply())
	assert.DeepEqual(t, call, fullCall())
}

func TestIDsAndAddressesRoundTrip(t *testing.T) {
	ids := rapid.OneOf(rapid.String(), rapid.StringMatching(`[0-9a-f.]{0,40}`), rapid.StringMatching(`([0-9a-f]{16}\.){0,4}[0-9a-f]{16}`))
	rapid.Check(t, func(r *rapid.T) {
		id := ids.Draw(r, "id")
		content, err := wireID(id).MarshalCBOR()
		assert.NilError(r, err)
		var decoded wireID
		assert.NilError(r, decoded.UnmarshalCBOR(content))
		assert.Equal(r, string(decoded), id)
	})
	for _, address := range []string{"", "10.1.0.34:8560", "[::1]:80", "host:80", "010.1.0.34:8560", "10.1.0.34"} {
		content, err := wireAddress(address).MarshalCBOR()
		assert.NilError(t, err)
		var decoded wireAddress
		assert.NilError(t, decoded.UnmarshalCBOR(content))
		assert.Equal(t, string(decoded), address)
	}
}

func TestMalformedMessagesReturnErrors(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(r, "content")
		// Decoding arbitrary bytes must not panic.
		_, _ = testCodec.decodeCall(content)
		_, _ = testCodec.decodeReply(content)
	})
	for _, malformed := range []*wireCall{{Header: []string{"odd"}}, {Header: []string{"\x1f", "no such code"}}} {
		_, err := testCodec.decodeCall(encode(malformed))
		assert.Assert(t, err != nil)
	}
	_, err := unpackID([]byte{9, 1})
	assert.ErrorContains(t, err, "request ID part of 9 bytes with 1 left")
	var id wireID
	assert.Assert(t, id.UnmarshalCBOR([]byte{0x01}) != nil)
	var address wireAddress
	assert.Assert(t, address.UnmarshalCBOR([]byte{0x41, 0x01}) != nil)
	assert.Assert(t, address.UnmarshalCBOR([]byte{0x01}) != nil)
}

func TestOmittedThresholdShedsNothing(t *testing.T) {
	reply, err := testCodec.decodeReply(testCodec.encodeReply(&Reply{Outcome: Refused, Load: Load{Threshold: shed.None}}))
	assert.NilError(t, err)
	assert.Equal(t, reply.Load.Threshold, shed.None)
}

// TestPaceOfOtherNodes guards against a load derived from a missing or invalid pace: a node of
// the previous build sends none.
func TestPaceOfOtherNodes(t *testing.T) {
	for _, load := range []wireLoad{{}, {PaceAge: 7}, {Pace: -1}, {Pace: pace.MaxPercent + 1}, {Pace: 100, PaceAge: -1}} {
		reply, err := testCodec.decodeReply(encode(&wireReply{Outcome: Answered, Load: load}))
		assert.NilError(t, err)
		assert.Equal(t, reply.Load.Pace, pace.Reading{})
	}
}

// TestEnvelopeSize bounds the encoded size of a typical call and its reply without
// bodies. Without the compact form they took 358 and 232 bytes, excluding HTTP.
func TestEnvelopeSize(t *testing.T) {
	const (
		maxCallBytes  = 150
		maxReplyBytes = 80
	)
	call := fullCall()
	call.Method, call.Body, call.Header, call.Retried = "GET", nil, nil, false
	call.Target, call.WantCost, call.Alternative, call.RunLimit = TargetAnnouncement{}, false, 0, 0
	reply := fullReply()
	reply.Reason, reply.RetryAfter, reply.TargetError, reply.Body = "", 0, false, nil
	reply.Shortages, reply.Costs = nil, nil
	reply.Load = Load{InFlight: 12, Queued: 3, Limit: 19, Latency: 22340 * time.Microsecond, Threshold: shed.None}
	callBytes, replyBytes := len(encodedCall(call)), len(testCodec.encodeReply(reply))
	for i := range shortage.MaxReports {
		reply.Shortages = append(reply.Shortages, shortage.Report{Service: "observations", Home: fmt.Sprintf("10.1.0.%d:8560", 34+i), Threshold: 130, Weight: 61, Age: 340 * time.Millisecond})
	}
	shortageBytes := len(testCodec.encodeReply(reply)) - replyBytes
	assert.Assert(t, shortageBytes <= 100, "%d bytes for a shortage", shortageBytes)
	t.Logf("call %d bytes, reply %d bytes", callBytes, replyBytes)
	assert.Assert(t, callBytes <= maxCallBytes, "%d", callBytes)
	assert.Assert(t, replyBytes <= maxReplyBytes, "%d", replyBytes)
	assert.Assert(t, !strings.Contains(string(testCodec.encodeReply(reply)), "X-Signature"))
}
