package peering

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/memorybudget"
)

func (m encodedMessage) bytes() []byte { return append(bytes.Clone(m.envelope), m.body...) }

var bodySizes = []int{maxInlineBody, maxInlineBody + 1, 0xffff, 0x10000, 1 << 20}

func TestLargeBodiesRoundTripWithoutCopy(t *testing.T) {
	for _, size := range bodySizes {
		sentCall, sentReply := fullCall(), fullReply()
		sentCall.Body = bytes.Repeat([]byte("b"), size)
		sentReply.Body = sentCall.Body
		encoded := testCodec.encodeCallMessage(new(bytes.Buffer), sentCall)
		call, err := testCodec.decodeCallInPlace(encoded.bytes())
		assert.NilError(t, err)
		assert.DeepEqual(t, call, sentCall)
		content := testCodec.encodeReplyMessage(sentReply).bytes()
		reply, err := testCodec.decodeReplyInPlace(content)
		assert.NilError(t, err)
		assert.DeepEqual(t, reply, sentReply)
		reply.Body[0] = 'c'
		assert.Assert(t, bytes.Contains(content, []byte("cb")), "the body was copied")
	}
}

// TestBodiesArePlainByteStrings guards the exchange with nodes of versions that decode bodies by
// package cbor and encode them in the order of the fields.
func TestBodiesArePlainByteStrings(t *testing.T) {
	for _, size := range bodySizes {
		body := bytes.Repeat([]byte("b"), size)
		var fields map[int]cbor.RawMessage
		encoded := testCodec.encodeCallMessage(new(bytes.Buffer), &Call{RequestID: "x", Body: body})
		assert.NilError(t, cbor.Unmarshal(encoded.bytes(), &fields))
		var decoded []byte
		assert.NilError(t, cbor.Unmarshal(fields[int(callBodyKey)], &decoded))
		assert.Assert(t, bytes.Equal(decoded, body))
		assert.NilError(t, cbor.Unmarshal(testCodec.encodeReplyMessage(&Reply{Outcome: Answered, Body: body}).bytes(), &fields))
		assert.NilError(t, cbor.Unmarshal(fields[int(replyBodyKey)], &decoded))
		assert.Assert(t, bytes.Equal(decoded, body))

		call, err := testCodec.decodeCall(encodedCall(&Call{RequestID: "x", Body: body}))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(call.Body, body))
	}
}

// TestHeadWithManyEntries covers the step from a head of one byte to one of two.
func TestHeadWithManyEntries(t *testing.T) {
	for entries := cborLength8 - 3; entries < cborLength8+3; entries++ {
		sent := make(map[int]int, entries)
		for i := range entries {
			sent[100+i] = i
		}
		content := append(announceBody(encode(sent), callBodyKey, 3), "abc"...)
		var received map[int]any
		assert.NilError(t, cbor.Unmarshal(content, &received))
		assert.Equal(t, len(received), entries+1)
		assert.DeepEqual(t, received[int(callBodyKey)], []byte("abc"))
	}
}

func newMemory(total int64) *memorybudget.Budget {
	return memorybudget.New(memorybudget.Limits{Total: total}, time.Now, nil)
}

// serveHome starts a home with the memory and returns the address.
func serveHome(t *testing.T, home Home, memory *memorybudget.Budget) string {
	t.Helper()
	server := httptest.NewServer(Handler(ServerConfig{Home: home, AntiEntropy: newFakeAntiEntropy(1), Codec: testCodec, MaxMessageBytes: 8 << 20, Process: testProcess, Memory: memory}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newMemoryClient() *Client {
	return NewClient(ClientConfig{MaxMessageBytes: 8 << 20, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
}

// bodyHome answers each call with a body of the size.
type bodyHome struct{ size, runs int }

func (h *bodyHome) Run(context.Context, *Call) *Reply {
	h.runs++
	return &Reply{Outcome: Answered, Status: http.StatusOK, Body: make([]byte, h.size)}
}

func TestCallThatDoesNotFitInMemoryIsRefused(t *testing.T) {
	home, memory := &bodyHome{}, newMemory(4<<20)
	address, client := serveHome(t, home, memory), newMemoryClient()
	call := benchmarkCall()
	call.Body = make([]byte, 6<<20)
	for range 2 {
		reply, err := client.Call(t.Context(), address, call)
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, Refused)
		assert.Equal(t, reply.Reason, OutOfMemory)
		assert.Assert(t, reply.RetryAfter > 0)
	}
	call.Body = make([]byte, 2<<20)
	reply, err := client.Call(t.Context(), address, call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, Answered)
	assert.Equal(t, home.runs, 1)
	assert.Equal(t, memory.Held(memorybudget.PeerCall), int64(0))
}

func TestReplyThatDoesNotFitInMemoryIsReported(t *testing.T) {
	address, client := serveHome(t, &bodyHome{size: 2 << 20}, nil), newMemoryClient()
	memory := newMemory(1 << 20).Reservation(memorybudget.Response)
	call := benchmarkCall()
	call.ResponseMemory = &memory
	_, err := client.Call(t.Context(), address, call)
	assert.ErrorIs(t, err, memorybudget.ErrExceeded)
	var failure *Error
	assert.Assert(t, errors.As(err, &failure) && failure.Sent)
}

func TestCallThatDoesNotArriveReleasesItsMemory(t *testing.T) {
	memory := newMemory(8 << 20)
	server := httptest.NewServer(Handler(ServerConfig{Home: &bodyHome{}, AntiEntropy: newFakeAntiEntropy(1), Codec: testCodec, MaxMessageBytes: 8 << 20, Process: testProcess, Memory: memory, MessageTimeout: 100 * time.Millisecond}))
	t.Cleanup(server.Close)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s", callPath, 4<<20, make([]byte, 1<<20))
	assert.NilError(t, err)
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, _ := io.ReadAll(connection)
	assert.Assert(t, bytes.HasPrefix(answer, []byte("HTTP/1.1 400 ")), "answer %q", answer)
	assert.Equal(t, memory.Held(memorybudget.PeerCall), int64(0))
}
