package peering

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResponseHeaderOnTheWire guards against a change of the header of replies, for example to
// chunks, if net/http adds Content-Length to other sizes than those expected here.
func TestResponseHeaderOnTheWire(t *testing.T) {
	for _, interim := range []bool{false, true} {
		for _, size := range []int{0, 1, implicitLengthBytes - 1, implicitLengthBytes, implicitLengthBytes + 1, 4 << 10, 100 << 10} {
			t.Run(fmt.Sprintf("%d bytes, interim %t", size, interim), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if interim {
						w.WriteHeader(http.StatusProcessing)
					}
					writeResponse(w, make([]byte, size))
				}))
				t.Cleanup(server.Close)
				connection, err := net.Dial("tcp", server.Listener.Addr().String())
				assert.NilError(t, err)
				defer connection.Close()
				_, err = io.WriteString(connection, "POST /x HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n")
				assert.NilError(t, err)
				expected := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
				if interim {
					expected = "HTTP/1.1 102 Processing\r\n\r\n" + expected
				}
				received := make([]byte, len(expected))
				_, err = io.ReadFull(bufio.NewReader(connection), received)
				assert.NilError(t, err)
				assert.Equal(t, string(received), expected)
			})
		}
	}
}

// panickingHome panics in each run.
type panickingHome struct{}

func (panickingHome) Run(context.Context, *Call) *Reply { panic("run") }

// TestPanicInRunDoesNotEndProcess guards against interim responses to a call whose handler has
// panicked, which end the process of the test.
func TestPanicInRunDoesNotEndProcess(t *testing.T) {
	server := httptest.NewUnstartedServer(Handler(ServerConfig{Home: panickingHome{}, AntiEntropy: newFakeAntiEntropy(1), Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	call := &Call{Service: "s", RequestID: "a", Remaining: time.Second, Process: testProcess}
	_, err := http.Post(server.URL+callPath, "", bytes.NewReader(encodedCall(call)))
	assert.Assert(t, err != nil)
	time.Sleep(2 * interimInterval)
	call.Resumed = true
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	reply, err := NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, MaxIdle: 1, Codec: testCodec}).Call(ctx, server.Listener.Addr().String(), call)
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, Failed)
}

// TestInterimWritersAreReusable guards against an interim writer in the pool whose timer may still
// run: after a reuse it would send at the wrong time or to the wrong response.
func TestInterimWritersAreReusable(t *testing.T) {
	first := startInterimWriter(httptest.NewRecorder())
	assert.Assert(t, first.end(), "the timer has not fired")
	assert.Assert(t, !first.end(), "the timer was stopped before")
	fired := startInterimWriter(httptest.NewRecorder())
	fired.mutex.Lock()
	fired.timer.Stop()
	fired.mutex.Unlock()
	assert.Assert(t, !fired.end(), "the timer is not pending, as if send were about to run")
}
