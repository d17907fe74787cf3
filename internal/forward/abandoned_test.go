package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
)

// TestHalfClosedCallerGetsNoSuccess uses a caller that closes its side of the connection while a
// home runs its request, and reads on.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	for _, line := range []string{"GET /read/x", "POST /once/x"} {
		t.Run(line, func(t *testing.T) {
			started, canceled := make(chan struct{}), make(chan struct{})
			f := newFixture(t, func(ctx context.Context, _ *peering.Call) *peering.Reply {
				close(started)
				<-ctx.Done()
				close(canceled)
				return &peering.Reply{Outcome: peering.Failed, Reason: peering.CallCanceled}
			})
			server := httptest.NewServer(f.forwarder)
			t.Cleanup(server.Close)
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer connection.Close()
			assert.NilError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(connection, "%s HTTP/1.1\r\nHost: a.example\r\nX-Id: a\r\nX-Deadline: 5000\r\nContent-Length: 0\r\n\r\n", line)
			assert.NilError(t, err)
			<-started
			assert.NilError(t, connection.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			assert.Equal(t, response.Header.Get(problem.ExecutedHeader), string(problem.ExecutedUnknown))
			assert.Equal(t, response.Header.Get("X-Id"), "a")
			<-canceled
		})
	}
}
