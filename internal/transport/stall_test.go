package transport

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overdueSocket tells of a passed read deadline until the deadline is moved, as a socket does
// whose process stood still, and then gives what had arrived.
type overdueSocket struct {
	net.Conn
	moved bool
}

func (s *overdueSocket) SetReadDeadline(time.Time) error {
	s.moved = true
	return nil
}

func (s *overdueSocket) Read(buffer []byte) (int, error) {
	if !s.moved {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(buffer, "ready"), nil
}

// TestWhatArrivedWhileTheProcessStoodStillIsRead: connections on which an answer lay ready
// counted as silent once the process went on, because the bound of the read is looked at
// first. The call went on over a new connection, whose time was over.
func TestWhatArrivedWhileTheProcessStoodStillIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		overdue time.Duration
		err     error
	}{
		"stood still":      {time.Second, nil},
		"was silent":       {0, os.ErrDeadlineExceeded},
		"a moment of load": {10 * time.Millisecond, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			connection := newConnection(&overdueSocket{})
			connection.headerLeft = -1
			connection.readBy = time.Now().Add(-c.overdue)
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
