package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// statusLineForm is the form of the beginning of a status line (RFC 9112, section 4) up to the byte
// after the status code: a '1' stands for a digit, and the '5' for a digit from 1 to 5, as status
// codes are between 100 and 599 (RFC 9110, section 15).
const statusLineForm = "HTTP/1.1 511"

// maxQuotedStatusLine is the size of the part of an invalid status line that its error quotes, in
// bytes.
const maxQuotedStatusLine = 32

// invalidStatusLine is the error for bytes that do not begin a response. It holds their beginning.
type invalidStatusLine string

// Error quotes the bytes.
func (e invalidStatusLine) Error() string {
	return "the answer does not begin with a valid status line: " + strconv.Quote(string(e))
}

// checkStatusLine checks the beginning of a response and reads nothing. It waits for no more bytes
// than it takes to see that the response is invalid. http.ReadResponse accepts any three digits as
// the status code, any version and further forms.
func checkStatusLine(reader *bufio.Reader) error {
	for size := 1; size <= len(statusLineForm)+1; size++ {
		received, err := reader.Peek(size)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !isStatusLineByte(size-1, received[size-1]) {
			return newInvalidStatusLine(reader)
		}
	}
	return nil
}

// isStatusLineByte reports whether a status line may have the byte at the index.
func isStatusLineByte(index int, b byte) bool {
	if index >= len(statusLineForm) {
		return b == ' ' || b == '\r' || b == '\n'
	}
	switch form := statusLineForm[index]; {
	case form == '5':
		return b >= '1' && b <= '5'
	case form == '1' && index > len("HTTP/1"):
		return b >= '0' && b <= '9'
	default:
		return b == form
	}
}

// newInvalidStatusLine returns the error for the bytes that the reader has buffered.
func newInvalidStatusLine(reader *bufio.Reader) invalidStatusLine {
	// Peek cannot fail for bytes that are buffered.
	received, _ := reader.Peek(min(reader.Buffered(), maxQuotedStatusLine))
	line, _, _ := bytes.Cut(received, []byte("\r\n"))
	return invalidStatusLine(line)
}
