package transport

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// plainLimit is the size of the largest body that the pools of these tests buffer.
const plainLimit = 100

// exchangeOnce sends a call to a target that responds with the raw text, and returns the body and
// the error. A remainder is part of the body.
func exchangeOnce(t *testing.T, raw string, plainBytes int64) (status int, body string, err error) {
	t.Helper()
	target := newRawTarget(t, respondWith(raw, false))
	pool := target.pool(t, func(c *Config) { c.MaxBuffered = plainLimit })
	call := getCall()
	call.PlainResponseBytes = plainBytes
	response, err := pool.Exchange(t.Context(), call)
	if err != nil {
		return 0, "", err
	}
	if response.Remainder == nil {
		return response.Status, string(response.Body), nil
	}
	defer response.Close()
	rest, err := io.ReadAll(response.Remainder)
	return response.Status, string(response.Body) + string(rest), err
}

// TestPlainResponsesAreReadAsOthers guards against a difference between the two ways to read a
// response: every response must give the same body, or the same kind of failure.
func TestPlainResponsesAreReadAsOthers(t *testing.T) {
	const plainHeader = "HTTP/1.1 200 OK\r\nContent-Length: "
	for name, raw := range map[string]string{
		"plain":                      plainHeader + "5\r\n\r\nhello",
		"empty":                      plainHeader + "0\r\n\r\n",
		"leading zero":               plainHeader + "05\r\n\r\nhello",
		"after an interim response":  "HTTP/1.1 102 Processing\r\n\r\n" + plainHeader + "5\r\n\r\nhello",
		"largest":                    plainHeader + "100\r\n\r\n" + strings.Repeat("x", plainLimit),
		"too large":                  plainHeader + "101\r\n\r\n" + strings.Repeat("x", plainLimit+1),
		"too large, truncated":       plainHeader + "105\r\n\r\n" + strings.Repeat("x", plainLimit+1),
		"truncated":                  plainHeader + "5\r\n\r\nhell",
		"truncated header":           plainHeader + "5\r\n",
		"no digits":                  plainHeader + "\r\n\r\n",
		"negative":                   plainHeader + "-5\r\n\r\nhello",
		"overflow":                   plainHeader + "99999999999999999999\r\n\r\nhello",
		"further header field":       plainHeader + "5\r\nX: y\r\n\r\nhello",
		"connection is to be closed": plainHeader + "5\r\nConnection: close\r\n\r\nhello",
		"other status":               "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nhello",
		"nothing":                    "",
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := exchangeOnce(t, raw, 0)
			plainStatus, plainBody, plainErr := exchangeOnce(t, raw, plainLimit)
			assert.Equal(t, plainStatus, status)
			assert.Equal(t, plainBody, body)
			assert.Equal(t, plainErr == nil, err == nil, "%v and %v", plainErr, err)
			if err != nil && status == 0 {
				assert.Equal(t, asFailure(t, plainErr).Sent, asFailure(t, err).Sent)
				assert.Equal(t, asFailure(t, plainErr).Incomplete, asFailure(t, err).Incomplete)
			}
		})
	}
}

// TestPlainResponseHasNoHeader guards against a plain response that is read like any other, which
// would cost the processor time that reading it apart saves.
func TestPlainResponseHasNoHeader(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	for _, raw := range []string{plain, "HTTP/1.1 102 Processing\r\n\r\n" + plain} {
		call := getCall()
		call.PlainResponseBytes = plainLimit
		response, err := newRawTarget(t, respondWith(raw, false)).pool(t, nil).Exchange(t.Context(), call)
		assert.NilError(t, err)
		assert.Assert(t, response.Header == nil)
	}
}

// TestSurplusBytesAfterPlainResponseCloseConnection guards against the reuse of a connection on
// which more than the response was received.
func TestSurplusBytesAfterPlainResponseCloseConnection(t *testing.T) {
	target := newRawTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhellosurplus", true))
	pool := target.pool(t, nil)
	call := getCall()
	call.PlainResponseBytes = plainLimit
	for range 2 {
		response, err := pool.Exchange(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "hello")
	}
	assert.Equal(t, target.received()[1].connection, 1)
}
