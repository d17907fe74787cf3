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

// connection is a connection to a target. It carries one exchange at a time.
type connection struct {
	socket    net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// headerRemaining is the number of bytes that may still be read of a header; negative
	// while a body is read.
	headerRemaining int64
	// peerKeepAlive is the idle timeout that the target announced; zero if it announced
	// none.
	peerKeepAlive time.Duration
	// readDeadline is the read deadline, zero for none.
	readDeadline time.Time
	// stopContextWatch unregisters the callback of closeOnDone. It returns false if the
	// callback has already been started.
	stopContextWatch func() bool
	// closeSocket closes the socket.
	closeSocket func()
	// rawSocket and probe are used by isOpen; probe stores in quiet whether the socket is open
	// and nothing was received. rawSocket is nil if the socket cannot be accessed.
	rawSocket syscall.RawConn
	probe     func(fd uintptr) bool
	quiet     bool
}

func newConnection(socket net.Conn) *connection {
	c := &connection{socket: socket}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	c.closeSocket = func() { _ = socket.Close() }
	c.probe = c.peek
	c.rawSocket = rawConnOf(socket)
	return c
}

// rawConnOf returns the raw connection of a socket, nil if it has none.
func rawConnOf(socket net.Conn) syscall.RawConn {
	accessible, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := accessible.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Read reads from the socket and enforces the limit on the header's size.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headerRemaining < 0 {
		return c.read(buffer)
	}
	if c.headerRemaining == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(buffer)) > c.headerRemaining {
		buffer = buffer[:c.headerRemaining]
	}
	n, err := c.read(buffer)
	c.headerRemaining -= int64(n)
	return n, err
}

// read reads from the socket. If the process was stalled when the read deadline passed,
// it reads again: data may have arrived during the stall, so that the target was not silent.
func (c *connection) read(buffer []byte) (int, error) {
	n, err := c.socket.Read(buffer)
	if n > 0 || c.readDeadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) || !clock.IsStall(time.Since(c.readDeadline)) {
		return n, err
	}
	if err := c.setReadDeadline(time.Now().Add(clock.LateDeadlineGrace)); err != nil {
		return 0, err
	}
	return c.socket.Read(buffer)
}

// closeOnDone closes the socket when the context ends.
func (c *connection) closeOnDone(ctx context.Context) {
	if ctx.Done() == nil {
		c.stopContextWatch = func() bool { return true }
		return
	}
	c.stopContextWatch = context.AfterFunc(ctx, c.closeSocket)
}

// maxInterim bounds the interim responses (1xx) before a final response.
const maxInterim = 8

// readHeader reads the status and the header of the response to the call. The response's
// body must be read before the next exchange. If the silence timeout is not zero, it
// bounds the time between interim responses, and their number is not limited.
func (c *connection) readHeader(call *Call, maxBytes int64, silenceTimeout time.Duration) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	c.headerRemaining = maxBytes
	for interim := 0; interim < maxInterim || silenceTimeout > 0; interim++ {
		if silenceTimeout > 0 {
			c.headerRemaining = maxBytes
		}
		if err := c.startSilenceTimeout(silenceTimeout); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case response.StatusCode >= http.StatusOK:
			c.headerRemaining = -1
			return response, c.clearSilenceTimeout(silenceTimeout)
		case call.OnInterim != nil:
			call.OnInterim()
		}
	}
	return nil, errTooManyInterim
}

// startSilenceTimeout sets the read deadline to the end of the timeout if it is not zero.
func (c *connection) startSilenceTimeout(silenceTimeout time.Duration) error {
	if silenceTimeout <= 0 {
		return nil
	}
	return c.setReadDeadline(time.Now().Add(silenceTimeout))
}

// clearSilenceTimeout clears the read deadline set by startSilenceTimeout.
func (c *connection) clearSilenceTimeout(silenceTimeout time.Duration) error {
	if silenceTimeout <= 0 {
		return nil
	}
	return c.setReadDeadline(time.Time{})
}

// setReadDeadline sets the read deadline; zero clears it.
func (c *connection) setReadDeadline(deadline time.Time) error {
	c.readDeadline = deadline
	return c.socket.SetReadDeadline(deadline)
}

// isOpen reports whether an idle connection can be reused: nothing may have been received
// on it, neither an end of file nor unexpected bytes.
func (c *connection) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawSocket == nil {
		return false
	}
	c.quiet = false
	err := c.rawSocket.Read(c.probe)
	return err == nil && c.quiet
}

// peek stores in quiet whether the socket is open and nothing was received on it.
func (c *connection) peek(fd uintptr) bool {
	var first [1]byte
	_, _, errno := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = errors.Is(errno, syscall.EAGAIN)
	return true
}

// encodedCall is a call in the form that is written to a connection.
type encodedCall struct{ bytes.Buffer }

var bufferPool = sync.Pool{New: func() any { return new(encodedCall) }}

// maxPooledBytes is the capacity of the largest buffer that is returned to the pool.
const maxPooledBytes = 64 << 10

// free returns the buffer to the pool unless it has grown too large.
func (e *encodedCall) free() {
	if e.Cap() <= maxPooledBytes {
		e.Reset()
		bufferPool.Put(e)
	}
}

// framingHeaders are the headers that the transport sets itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// encode encodes the call as an HTTP/1.1 request. The method, the URI and the header were
// parsed by net/http or created by this program, so none of them contains a line break;
// WriteSubset replaces line breaks in header values anyway.
func encode(host string, call *Call) *encodedCall {
	if call.Host != "" {
		host = call.Host
	}
	message := bufferPool.Get().(*encodedCall)
	message.WriteString(call.Method)
	message.WriteByte(' ')
	message.WriteString(call.RequestURI)
	message.WriteString(" HTTP/1.1\r\nHost: ")
	message.WriteString(host)
	message.WriteString("\r\n")
	_ = call.Header.WriteSubset(message, framingHeaders)
	if len(call.Body) > 0 || expectsBody(call.Method) {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(call.Body)))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
	message.Write(call.Body)
	return message
}

// expectsBody reports whether the method usually has a body, in which case
// Content-Length is sent even for an empty one.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
