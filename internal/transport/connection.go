package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
)

// readBufferSize is the size of a connection's read buffer, in bytes.
const readBufferSize = 4 << 10

var (
	errHeaderTooLarge = errors.New("the answer's header is too large")
	errUpgrade        = errors.New("the target switched protocols")
	errTooManyInterim = errors.New("too many interim answers")
)

// connection is one connection to a target. It belongs to one exchange at a
// time.
type connection struct {
	socket    net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// headerLeft is how much more of a header may be read; negative while a
	// body is read.
	headerLeft int64
	// keepAlive is how long the other side said that it keeps the connection when
	// idle; zero means that it did not say.
	keepAlive time.Duration
	// readBy is when reads fail, zero if they are not bounded.
	readBy  time.Time
	unwatch func() bool
}

func newConnection(socket net.Conn) *connection {
	c := &connection{socket: socket}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the socket, within the bound of a header.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.read(buffer)
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(buffer)) > c.headerLeft {
		buffer = buffer[:c.headerLeft]
	}
	n, err := c.read(buffer)
	c.headerLeft -= int64(n)
	return n, err
}

// read reads from the socket. Where the process stood still over the bound of the read, what
// arrived meanwhile is read: the other side was not silent.
func (c *connection) read(buffer []byte) (int, error) {
	n, err := c.socket.Read(buffer)
	if n > 0 || c.readBy.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) || !clock.IsStall(time.Since(c.readBy)) {
		return n, err
	}
	if err := c.bound(time.Now().Add(clock.LateDeadlineGrace)); err != nil {
		return 0, err
	}
	return c.socket.Read(buffer)
}

// watch has the exchange end with the context.
func (c *connection) watch(ctx context.Context) {
	if ctx.Done() == nil {
		c.unwatch = func() bool { return true }
		return
	}
	c.unwatch = context.AfterFunc(ctx, func() { _ = c.socket.Close() })
}

// maxInterim bounds the interim answers (1xx) before an answer.
const maxInterim = 8

// readHeader reads the status and the header of the answer to a call of the
// method. The answer's body must be read before the next exchange. If the silence is
// not zero, it bounds the time between interim answers instead of their number.
func (c *connection) readHeader(call *Call, maxBytes int64, silence time.Duration) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	c.headerLeft = maxBytes
	for interim := 0; interim < maxInterim || silence > 0; interim++ {
		if silence > 0 {
			c.headerLeft = maxBytes
		}
		if err := c.boundRead(silence); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case response.StatusCode >= http.StatusOK:
			c.headerLeft = -1
			return response, c.unboundRead(silence)
		case call.Interim != nil:
			call.Interim()
		}
	}
	return nil, errTooManyInterim
}

// boundRead has reads fail after the silence, if it is not zero.
func (c *connection) boundRead(silence time.Duration) error {
	if silence <= 0 {
		return nil
	}
	return c.bound(time.Now().Add(silence))
}

// unboundRead takes back the bound of boundRead.
func (c *connection) unboundRead(silence time.Duration) error {
	if silence <= 0 {
		return nil
	}
	return c.bound(time.Time{})
}

// bound has reads fail from the moment on, or never if it is zero.
func (c *connection) bound(moment time.Time) error {
	c.readBy = moment
	return c.socket.SetReadDeadline(moment)
}

// alive reports whether an idle connection is still open: nothing may have
// arrived on it, neither an end nor bytes that nobody asked for.
func (c *connection) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}

// encoded is a call as it is written to a connection.
type encoded struct{ bytes.Buffer }

var messages = sync.Pool{New: func() any { return new(encoded) }}

// maxPooledMessage bounds the buffers that are kept for later calls, in bytes.
const maxPooledMessage = 64 << 10

func (e *encoded) free() {
	if e.Cap() <= maxPooledMessage {
		e.Reset()
		messages.Put(e)
	}
}

// framing are the headers that the transport writes itself.
var framing = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// encode writes the call in the form of HTTP/1.1. The method, the URI and the
// header were parsed by net/http or made by this program, so that none holds a
// line break; header values are cleaned of them all the same.
func encode(host string, call *Call) *encoded {
	if call.Host != "" {
		host = call.Host
	}
	message := messages.Get().(*encoded)
	message.WriteString(call.Method)
	message.WriteByte(' ')
	message.WriteString(call.RequestURI)
	message.WriteString(" HTTP/1.1\r\nHost: ")
	message.WriteString(host)
	message.WriteString("\r\n")
	_ = call.Header.WriteSubset(message, framing)
	if len(call.Body) > 0 || hasBody(call.Method) {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(call.Body)))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
	message.Write(call.Body)
	return message
}

// hasBody reports whether calls of the method are expected to have a body, so
// that the length of an empty one is told.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
