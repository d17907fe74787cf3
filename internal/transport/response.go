package transport

import (
	"bytes"
	"io"
	"net/http"
	"strings"
)

// parsedResponse is the header of a response as parseResponse reads it.
type parsedResponse struct {
	status int
	header http.Header
	// length is the Content-Length, and headerBytes the size of the header in bytes.
	length      int64
	headerBytes int
}

const (
	statusPrefix = "HTTP/1.1 "
	lineEnd      = "\r\n"
	headerEnd    = lineEnd + lineEnd
)

// readBuffered reads the header of a response of the usual form whose body is not larger than
// maxBody, if all of it is buffered. It returns nil and reads nothing otherwise. The response is
// valid until the next exchange; its header may be kept.
func (c *connection) readBuffered(method string, maxBody int64) *http.Response {
	if method == http.MethodHead {
		return nil
	}
	// Peek cannot fail for bytes that are buffered.
	received, _ := c.reader.Peek(c.reader.Buffered())
	parsed, ok := parseResponse(received)
	// The body of a larger response is returned as a Remainder, which relies on net/http to
	// report a truncated body.
	if !ok || parsed.length > maxBody {
		return nil
	}
	_, _ = c.reader.Discard(parsed.headerBytes)
	c.plainBody = plainBody{io.LimitedReader{R: c.reader, N: parsed.length}}
	c.plain = http.Response{StatusCode: parsed.status, Header: parsed.header, ContentLength: parsed.length, Body: &c.plainBody}
	return &c.plain
}

// parseResponse parses the header of a response of the usual form: it is complete, the status
// permits a body, the only field that concerns the framing is one Content-Length, the names are
// in canonical form, and the values are printable ASCII. The result is that of http.ReadResponse,
// which reads all other responses; parseResponse returns false for them.
func parseResponse(content []byte) (parsedResponse, bool) {
	end := bytes.Index(content, []byte(headerEnd))
	if end < 0 {
		return parsedResponse{}, false
	}
	// The names and the values are parts of one string.
	statusLine, fields, found := strings.Cut(string(content[:end+len(lineEnd)]), lineEnd)
	status, ok := parseStatusLine(statusLine)
	if !found || !ok {
		return parsedResponse{}, false
	}
	header, ok := parseFields(fields)
	if !ok {
		return parsedResponse{}, false
	}
	length, ok := lengthOf(header)
	return parsedResponse{status: status, header: header, length: length, headerBytes: end + len(headerEnd)}, ok
}

// parseStatusLine returns the status of a status line. It returns false for one that is malformed
// or whose response has no body.
func parseStatusLine(line string) (status int, ok bool) {
	rest, ok := strings.CutPrefix(line, statusPrefix)
	if !ok || len(rest) < 4 || rest[3] != ' ' || !isPrintable(rest) {
		return 0, false
	}
	for _, digit := range []byte(rest[:3]) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		status = status*10 + int(digit-'0')
	}
	return status, status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// parseFields returns the header of fields that all end with a line end.
func parseFields(fields string) (http.Header, bool) {
	count := strings.Count(fields, lineEnd)
	header := make(http.Header, count)
	values := make([]string, 0, count)
	for fields != "" {
		line, following, _ := strings.Cut(fields, lineEnd)
		name, value, found := strings.Cut(line, ":")
		if !found || !isCanonical(name) || !isPrintable(value) || concernsFraming(name) {
			return nil, false
		}
		values = append(values, strings.Trim(value, " \t"))
		// The capacity of one makes later appends to the values copy them.
		own := values[len(values)-1 : len(values) : len(values)]
		if known := header[name]; known != nil {
			own = append(known, own...)
		}
		header[name] = own
		fields = following
	}
	return header, true
}

// concernsFraming reports whether a field, other than Content-Length, determines how http.ReadResponse
// reads the body or changes the header.
func concernsFraming(name string) bool {
	switch name {
	case "Connection", "Pragma", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// lengthOf returns the Content-Length of a header that has one.
func lengthOf(header http.Header) (length int64, ok bool) {
	values := header["Content-Length"]
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxLengthDigits {
		return 0, false
	}
	for _, digit := range []byte(values[0]) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		length = length*10 + int64(digit-'0')
	}
	return length, true
}

// isCanonical reports whether a field name consists of letters, digits and hyphens, with the
// letters in the case that http.CanonicalHeaderKey gives them.
func isCanonical(name string) bool {
	first := true
	for _, char := range []byte(name) {
		isUpper, isLower := 'A' <= char && char <= 'Z', 'a' <= char && char <= 'z'
		isOther := char == '-' || '0' <= char && char <= '9'
		if !isOther && !(first && isUpper) && !(!first && isLower) {
			return false
		}
		first = char == '-'
	}
	return name != ""
}

// isPrintable reports whether a text consists of printable ASCII characters and tabs.
func isPrintable(text string) bool {
	for _, char := range []byte(text) {
		if (char < ' ' && char != '\t') || char > '~' {
			return false
		}
	}
	return true
}
