package transport

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveMargin is how much earlier than the other side an idle connection is
// given up, so that a call does not cross its end.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveProbes is how many unanswered probes end a connection.
const keepAliveProbes = 2

// keepAliveOf returns the idle time that an answer's Keep-Alive header tells,
// zero if it tells none.
func keepAliveOf(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// idleLimit returns how long the connection may be idle and still be used.
func (c *connection) idleLimit(configured time.Duration) time.Duration {
	if c.keepAlive == 0 {
		return configured
	}
	return min(configured, c.keepAlive-keepAliveMargin)
}

// SocketControl returns what sets the bound on unacknowledged bytes before a
// connection is opened, nil for no bound.
func SocketControl(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	if userTimeout <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
