package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

// upload is a request whose body arrives in parts.
type upload struct {
	connection net.Conn
	t          *testing.T
}

// startUpload sends a request without the last part of its body.
func startUpload(t *testing.T, address, path string) *upload {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Id: a\r\nX-Deadline: 5000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", path)
	assert.NilError(t, err)
	return &upload{connection: connection, t: t}
}

// response reads the response, which must arrive before the given time.
func (u *upload) response(by time.Time) *http.Response {
	u.t.Helper()
	assert.NilError(u.t, u.connection.SetReadDeadline(by))
	response, err := http.ReadResponse(bufio.NewReader(u.connection), nil)
	assert.NilError(u.t, err)
	u.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// serve serves requests over connections, and returns the address.
func (f *fixture) serve(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(f.forwarder)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// TestSlowBodyIsNotCutAtShutdown guards against requests that are admitted when their header
// arrives and run when their body is complete, too late to end before the shutdown.
func TestSlowBodyIsNotCutAtShutdown(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, replyOK)
			address := f.serve(t)
			f.forwarder.homes.setLatency("read", time.Millisecond)
			f.forwarder.homes.setLatency("once", time.Millisecond)
			begun := startUpload(t, address, path)
			time.Sleep(100 * time.Millisecond)
			end := time.Now().Add(1200 * time.Millisecond)
			f.forwarder.SetShutdownDeadline(end)
			later := startUpload(t, address, path)
			inTime := startUpload(t, address, path)
			_, err := inTime.connection.Write([]byte("4\r\nrest\r\n0\r\n\r\n"))
			assert.NilError(t, err)
			assert.Equal(t, inTime.response(end).StatusCode, http.StatusOK)
			for _, u := range []*upload{begun, later} {
				response := u.response(end)
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, response.Header.Get("Retry-After") != "")
				assert.Assert(t, response.Close, "the rest of the body must not be read as a request")
			}
			assert.Equal(t, f.calls(), 1)
		})
	}
}

// TestCompletedBodyKeepsConnection checks that the timeout of a body does not end the request or its
// connection once the body is complete.
func TestCompletedBodyKeepsConnection(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		time.Sleep(700 * time.Millisecond)
		return replyOK(ctx, call)
	})
	address := f.serve(t)
	f.forwarder.homes.setLatency("once", time.Millisecond)
	f.forwarder.SetShutdownDeadline(time.Now().Add(1200 * time.Millisecond))
	u := startUpload(t, address, "/once/x")
	_, err := u.connection.Write([]byte("4\r\nrest\r\n0\r\n\r\n"))
	assert.NilError(t, err)
	assert.Equal(t, u.response(time.Now().Add(10*time.Second)).StatusCode, http.StatusOK)
}

// TestRequestIsNotOfferedAgainTooLate guards against requests that are offered to another home after
// the first refused them, too late to end before the shutdown.
func TestRequestIsNotOfferedAgainTooLate(t *testing.T) {
	refuseLate := func(ctx context.Context, call *peering.Call) *peering.Reply {
		time.Sleep(200 * time.Millisecond)
		return replyRefused(peering.QueueFull)(ctx, call)
	}
	f := newFixture(t, refuseLate, refuseLate)
	f.forwarder.homes.setLatency("once", time.Millisecond)
	f.forwarder.SetShutdownDeadline(time.Now().Add(700 * time.Millisecond))
	response := f.do("POST", "/once/x", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.calls(), 1)
}

// TestResponseThatIsReadTooSlowlyIsNotCutAtShutdown guards against responses that are still being
// read when the node exits. A caller that may send the request again is told while it has time left,
// and the next requests of the route are refused before they run.
func TestResponseThatIsReadTooSlowlyIsNotCutAtShutdown(t *testing.T) {
	size := 100
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := replyOK(ctx, call)
		reply.Body = make([]byte, size)
		return reply
	})
	f.forwarder.homes.setLatency("read", time.Millisecond)
	f.forwarder.homes.setLatency("once", time.Millisecond)
	const large = 900 << 10
	size = large
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusOK)
	f.forwarder.SetShutdownDeadline(time.Now().Add(testTimeout - 700*time.Millisecond))
	assert.Equal(t, f.do("GET", "/read/x", "b", "").Code, http.StatusServiceUnavailable, "the route's responses are large")
	assert.Equal(t, f.calls(), 1)
	f.forwarder.homes.routes["read"] = routeStats{latency: time.Millisecond}
	f.forwarder.SetShutdownDeadline(time.Now().Add(700 * time.Millisecond))
	late := f.do("GET", "/read/x", "c", "")
	assert.Equal(t, late.Code, http.StatusBadGateway, "the request has run, and its response is large")
	assert.Assert(t, late.Header().Get("Retry-After") != "")
	assert.Equal(t, f.calls(), 2)
	assert.Equal(t, f.do("POST", "/once/x", "d", "").Code, http.StatusOK, "it must not run again")
	size = 100
	f.forwarder.homes.routes["read"] = routeStats{latency: time.Millisecond}
	assert.Equal(t, f.do("GET", "/read/x", "e", "").Code, http.StatusOK)
}

// replyAfter replies after the delay, or when the call is canceled.
func replyAfter(delay time.Duration) func(context.Context, *peering.Call) *peering.Reply {
	return func(ctx context.Context, call *peering.Call) *peering.Reply {
		select {
		case <-time.After(delay):
			return replyOK(ctx, call)
		case <-ctx.Done():
			return replyFailed(ctx, call)
		}
	}
}

// TestRequestThatOutlastsShutdownIsAnswered guards against requests that take much longer than usual
// and are cut without a response when the node exits. The target is given less time than is left.
func TestRequestThatOutlastsShutdownIsAnswered(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, replyAfter(time.Minute))
			f.forwarder.homes.setLatency("read", time.Millisecond)
			f.forwarder.homes.setLatency("once", time.Millisecond)
			const left = 800 * time.Millisecond
			end := time.Now().Add(left)
			f.forwarder.SetShutdownDeadline(end)
			response := f.do("POST", path, "a", "")
			assert.Equal(t, response.Code, http.StatusGatewayTimeout)
			assert.Assert(t, time.Since(end) < 200*time.Millisecond, "%s after the shutdown", time.Since(end))
			limit := f.homes[0].firstCall().RunLimit
			assert.Assert(t, limit > left/2 && limit < left, "%s", limit)
		})
	}
}

// TestOnceRequestOfRouteWithLongRunsIsNotCutAtShutdown guards against requests that must not run twice
// and are admitted by the usual duration of their route although some of them take much longer.
func TestOnceRequestOfRouteWithLongRunsIsNotCutAtShutdown(t *testing.T) {
	delay := 700 * time.Millisecond
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply { return replyAfter(delay)(ctx, call) })
	f.forwarder.homes.setLatency("read", time.Millisecond)
	f.forwarder.homes.setLatency("once", time.Millisecond)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, http.StatusOK)
	delay = 0
	end := time.Now().Add(700 * time.Millisecond)
	f.forwarder.SetShutdownDeadline(end)
	assert.Equal(t, f.do("POST", "/once/x", "b", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.do("POST", "/read/x", "c", "").Code, http.StatusOK)
	assert.Equal(t, f.calls(), 2)
	for range 1000 {
		f.forwarder.homes.recordDuration("once", time.Millisecond, time.Now())
	}
	assert.Equal(t, f.do("POST", "/once/x", "d", "").Code, http.StatusOK, "one in a thousand takes long")
}

// TestNestedCallRunsUntilShutdown guards against running requests that fail because their node refuses
// their calls while it stops.
func TestNestedCallRunsUntilShutdown(t *testing.T) {
	f := newFixture(t, replyOK)
	f.forwarder.homes.setLatency("once", time.Millisecond)
	f.forwarder.SetShutdownDeadline(time.Now().Add(300 * time.Millisecond))
	assert.Equal(t, f.do("POST", "/once/x", "other", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.do("POST", "/once/x", "running.1", "").Code, http.StatusOK)
	time.Sleep(250 * time.Millisecond)
	assert.Equal(t, f.do("POST", "/once/x", "running.2", "").Code, http.StatusServiceUnavailable, "its response would be late")
	assert.Equal(t, f.calls(), 1)
}
