package transport

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func callWithID(id string) *Call {
	call := getCall()
	call.Attribute = func(header http.Header) Attribution {
		switch header.Get("X-Id") {
		case id:
			return Own
		case "":
			return Unattributed
		}
		return Other
	}
	return call
}

func responseWithID(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestMismatchedResponsesAreSkipped(t *testing.T) {
	target := newRawTarget(t, respondWith(responseWithID("other", "x")+responseWithID("own", "y"), true))
	response, err := target.pool(t, nil).Exchange(context.Background(), callWithID("own"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "y")
}

// TestBodyOfSkippedResponseIsNotResponse sends a response to another call whose body, after as many
// bytes as are buffered, holds a response to the call.
func TestBodyOfSkippedResponseIsNotResponse(t *testing.T) {
	const maxBuffered = 100
	forged := responseWithID("own", "forged")
	body := strings.Repeat("x", maxBuffered) + forged
	for name, c := range map[string]struct{ raw, body string }{
		"length":                    {responseWithID("other", body) + responseWithID("own", "y"), ""},
		"chunks":                    {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), ""},
		"chunk of the largest size": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + body[:maxBuffered] + "\r\n" + forged, ""},
		"length, never sent":        {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 900000000000\r\n\r\n", ""},
		"chunks without end":        {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8\r\nxxxxxxxx\r\n", maxBuffered), ""},
		"length of the largest":     {responseWithID("other", body[:maxBuffered]) + responseWithID("own", "y"), "y"},
		"chunks of the largest":     {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + body[:maxBuffered] + "\r\n0\r\n\r\n" + responseWithID("own", "y"), "y"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newRawTarget(t, respondWith(c.raw, true))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := target.pool(t, func(config *Config) { config.MaxBuffered = maxBuffered }).Exchange(ctx, callWithID("own"))
			if err == nil {
				assert.Equal(t, string(response.Body), c.body)
				return
			}
			assert.Equal(t, c.body, "", "%v", err)
			assert.NilError(t, ctx.Err(), "the exchange failed only at its deadline")
			assert.Assert(t, asFailure(t, err).Sent)
			<-target.disconnected
		})
	}
}

func TestOnlyMismatchedResponsesReportSent(t *testing.T) {
	target := newRawTarget(t, respondWith(strings.Repeat(responseWithID("other", "x"), maxMismatched), true))
	_, err := target.pool(t, nil).Exchange(context.Background(), callWithID("own"))
	assert.ErrorIs(t, err, errMismatched)
	assert.Assert(t, asFailure(t, err).Sent)
}

func TestCloseDelimitedResponses(t *testing.T) {
	target := newRawTarget(t, respondWith("HTTP/1.1 200 OK\r\n\r\nwhole", false))
	_, err := target.pool(t, nil).Exchange(context.Background(), getCall())
	assert.ErrorIs(t, err, errCloseDelimited)
	accepting := target.pool(t, func(config *Config) { config.AcceptCloseDelimited = true })
	response, err := accepting.Exchange(context.Background(), getCall())
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "whole")
}

func TestKeepAliveBoundsIdleTime(t *testing.T) {
	for text, expected := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=10, timeout=7": 7 * time.Second, "": 0, "timeout=x": 0, "timeout=0": 0,
	} {
		assert.Equal(t, keepAliveTimeout(http.Header{"Keep-Alive": {text}}), expected, text)
	}
	c := &connection{peerKeepAlive: 2 * time.Second}
	assert.Equal(t, c.idleLimit(time.Minute), 2*time.Second-keepAliveMargin)
	assert.Equal(t, c.idleLimit(time.Second), time.Second)
	assert.Equal(t, (&connection{}).idleLimit(time.Minute), time.Minute)
}
