package transport

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveMargin is subtracted from the target's idle timeout, so that the target does
// not close a reused connection while a call is being sent.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveProbes is the number of unanswered TCP keep-alive probes that end a
// connection.
const keepAliveProbes = 2

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, zero if there
// is none.
func keepAliveTimeout(header http.Header) time.Duration {
	announced := header.Get("Keep-Alive")
	if announced == "" {
		return 0
	}
	for parameter := range strings.SplitSeq(announced, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// idleLimit returns the idle time after which the connection must not be reused.
func (c *connection) idleLimit(configured time.Duration) time.Duration {
	if c.peerKeepAlive == 0 {
		return configured
	}
	return min(configured, c.peerKeepAlive-keepAliveMargin)
}

// SocketControl returns a net.Dialer control function that sets TCP_USER_TIMEOUT, nil if
// the timeout is not positive.
func SocketControl(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	if userTimeout <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
