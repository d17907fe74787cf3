package transport

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// expiredSocket returns a deadline error until the read deadline is extended, as a socket
// does after a stall of the process, and then returns the data that had arrived.
type expiredSocket struct {
	net.Conn
	extended bool
}

func (s *expiredSocket) SetReadDeadline(time.Time) error {
	s.extended = true
	return nil
}

func (s *expiredSocket) Read(buffer []byte) (int, error) {
	if !s.extended {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(buffer, "ready"), nil
}

// TestReadAfterProcessStall guards against treating a connection as silent after a stall
// of the process although a response is ready to be read: the socket checks the read
// deadline first. The call was then resumed over a new connection, which timed out.
func TestReadAfterProcessStall(t *testing.T) {
	for name, c := range map[string]struct {
		lateness time.Duration
		err      error
	}{
		"process stalled": {time.Second, nil},
		"target silent":   {0, os.ErrDeadlineExceeded},
		"delayed by load": {10 * time.Millisecond, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			connection := newConnection(&expiredSocket{})
			connection.headerRemaining = -1
			connection.readDeadline = time.Now().Add(-c.lateness)
			content, err := io.ReadAll(io.LimitReader(connection, 5))
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(content), "ready")
		})
	}
}
