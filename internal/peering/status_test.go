package peering

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// statusHome replies with responses of the status.
type statusHome struct{ status int }

func (h *statusHome) Run(context.Context, *Call) *Reply {
	return &Reply{Outcome: Answered, Status: h.status}
}

// TestInvalidStatusOfReplyIsRejected guards against a reply whose status the HTTP server refuses to
// write with a panic, or writes as an interim response.
func TestInvalidStatusOfReplyIsRejected(t *testing.T) {
	home := &statusHome{}
	address := startHome(t, ServerConfig{Home: home})
	client := NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	for _, status := range []int{-1, 0, 99, 100, 101, 199, 600, 999, 1000, 1 << 40} {
		home.status = status
		reply, err := client.Call(t.Context(), address, &Call{RequestID: "a", Remaining: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, Failed, "status %d", status)
		assert.Equal(t, reply.Reason, InvalidResponse)
	}
	for _, status := range []int{200, 404, 599} {
		home.status = status
		reply, err := client.Call(t.Context(), address, &Call{RequestID: "a", Remaining: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, Answered, "status %d", status)
	}
}
