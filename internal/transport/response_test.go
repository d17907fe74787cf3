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
