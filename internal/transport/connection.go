package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
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
	// used reports whether the connection has carried a call before the current one.
	used bool
	// retired excludes the connection from further exchanges.
	retired bool
	// headerRemaining is the number of bytes that may still be read of a header; negative
	// while a body is read.
	headerRemaining int64
	// peerKeepAlive is the idle timeout that the target announced; zero if it announced
	// none.
	peerKeepAlive time.Duration
	// readDeadline is the read deadline, zero for none.
	readDeadline time.Time
	// contextWatch closes the socket when the context of the exchange ends.
	contextWatch clock.Watch
	// closeSocket closes the socket.
	closeSocket func()
	// rawSocket and probe are used by isOpen; probe stores in quiet whether the socket is open
	// and nothing was received. rawSocket is nil if the socket cannot be accessed.
	rawSocket syscall.RawConn
	probe     func(fd uintptr) bool
	quiet     bool
	// request, plain and plainBody are reused for each exchange: request holds the method for
	// http.ReadResponse, plain and plainBody are the result of readPlain.
	request   http.Request
	plain     http.Response
	plainBody plainBody
}

// plainBody reads the body of a plain response.
type plainBody struct{ io.LimitedReader }

// Close does nothing: the connection is released by its pool.
func (*plainBody) Close() error { return nil }

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
	c.contextWatch.Start(ctx, c.closeSocket)
}

const (
	// maxInterim bounds the interim responses (1xx) before a final response.
	maxInterim = 8
	// minInterimInterval is the least mean time between further interim responses of targets that
	// send them periodically.
	minInterimInterval = 20 * time.Millisecond
)

// readHeader reads the status and the header of the response to the call. The response's
// body must be read before the next exchange. If the silence timeout is not zero, it
// bounds the time between interim responses, and their number may grow with the time.
func (c *connection) readHeader(call *Call, maxBytes int64, silenceTimeout time.Duration) (*http.Response, error) {
	c.request.Method = call.Method
	c.headerRemaining = maxBytes
	started := time.Now()
	for interim := 0; interim < interimLimit(started, silenceTimeout); interim++ {
		if silenceTimeout > 0 {
			c.headerRemaining = maxBytes
		}
		if err := c.startSilenceTimeout(silenceTimeout); err != nil {
			return nil, err
		}
		response, err := c.readResponse(call)
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

// interimLimit returns the number of interim responses that may have arrived since the start.
func interimLimit(started time.Time, silenceTimeout time.Duration) int {
	if silenceTimeout <= 0 {
		return maxInterim
	}
	return maxInterim + int(time.Since(started)/minInterimInterval)
}

// readResponse reads the header of one response.
func (c *connection) readResponse(call *Call) (*http.Response, error) {
	if call.PlainResponseBytes > 0 {
		response, err := c.readPlain(call.PlainResponseBytes)
		if response != nil || err != nil {
			return response, err
		}
	}
	if err := checkStatusLine(c.reader); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &c.request)
}

// plainHeaderPrefix is the beginning of a plain response, whose only header field is
// Content-Length.
const plainHeaderPrefix = "HTTP/1.1 200 OK\r\nContent-Length: "

// readPlain reads the header of a plain response with a body of up to maxBody bytes. It returns
// nil and reads nothing if the response is not plain or its header has not arrived completely.
// The response has no Header and is valid until the next exchange.
func (c *connection) readPlain(maxBody int64) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	// Peek cannot fail for bytes that are buffered.
	received, _ := c.reader.Peek(c.reader.Buffered())
	length, headerBytes := parsePlain(received)
	if headerBytes == 0 || length > maxBody {
		return nil, nil
	}
	_, _ = c.reader.Discard(headerBytes)
	c.plainBody = plainBody{io.LimitedReader{R: c.reader, N: length}}
	c.plain = http.Response{StatusCode: http.StatusOK, ContentLength: length, Body: &c.plainBody}
	return &c.plain, nil
}

// maxLengthDigits bounds the digits of a plain response's Content-Length, so that the number
// cannot overflow.
const maxLengthDigits = 18

// parsePlain returns the Content-Length and the size of the header of a plain response. The size
// is zero if the content does not begin with a complete plain header.
func parsePlain(content []byte) (length int64, headerBytes int) {
	rest, ok := bytes.CutPrefix(content, []byte(plainHeaderPrefix))
	if !ok {
		return 0, 0
	}
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		length = length*10 + int64(rest[digits]-'0')
		digits++
		if digits > maxLengthDigits {
			return 0, 0
		}
	}
	end := []byte("\r\n\r\n")
	if digits == 0 || !bytes.HasPrefix(rest[digits:], end) {
		return 0, 0
	}
	return length, len(plainHeaderPrefix) + digits + len(end)
}

// accepts reports whether a response with the header ends the exchange of the call. After an
// unattributed one that may be surplus the connection is not used again, as the target may still
// be running the call.
func (c *connection) accepts(call *Call, header http.Header) bool {
	if call.Attribute == nil {
		return true
	}
	attribution := call.Attribute(header)
	if attribution == Unattributed && c.used {
		c.retired = !call.SkipUnattributed
		return c.retired
	}
	return attribution != Other
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

// encode encodes the call as an HTTP/1.1 request, without a body that is too large to be copied. The method, the URI and the header were
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
	if length := len(call.Body) + len(call.Rest); length > 0 || expectsBody(call.Method) {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(length))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
	if len(call.Body) <= maxBufferedCopy {
		message.Write(call.Body)
	}
	return message
}

// write writes a call of which the message holds all but a large body and the rest.
func (c *connection) write(message []byte, call *Call) (written int, err error) {
	written, err = c.socket.Write(message)
	if err == nil && len(call.Body) > maxBufferedCopy {
		_, err = c.socket.Write(call.Body)
	}
	if err == nil && len(call.Rest) > 0 {
		_, err = c.socket.Write(call.Rest)
	}
	return written, err
}

// expectsBody reports whether the method usually has a body, in which case
// Content-Length is sent even for an empty one.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
