package peering

import (
	"context"
	"errors"
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
	for _, status := range []int{-1, 0, 99, 100, 101, 199, 1000, 1 << 40} {
		home.status = status
		_, err := client.Call(t.Context(), address, &Call{RequestID: "a", Remaining: time.Second})
		failure, found := errors.AsType[*Error](err)
		assert.Assert(t, found && failure.Sent, "status %d: %v", status, err)
	}
	for _, status := range []int{200, 404, 599, 600, 999} {
		home.status = status
		_, err := client.Call(t.Context(), address, &Call{RequestID: "a", Remaining: time.Second})
		assert.NilError(t, err)
	}
}
