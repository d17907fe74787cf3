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

func owned(id string) *Call {
	call := get()
	call.Matches = func(header http.Header) bool { return header.Get("X-Id") == id }
	return call
}

func answerOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestAnswersToOtherCallsArePassedOver(t *testing.T) {
	target := newRawTarget(t, writing(answerOf("other", "x")+answerOf("own", "y"), true))
	answer, err := target.pool(t, nil).Exchange(context.Background(), owned("own"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "y")
}

func TestOnlyForeignAnswersAreAFailureThatMayHaveRun(t *testing.T) {
	target := newRawTarget(t, writing(strings.Repeat(answerOf("other", "x"), maxForeign), true))
	_, err := target.pool(t, nil).Exchange(context.Background(), owned("own"))
	assert.ErrorIs(t, err, errForeign)
	assert.Assert(t, failureOf(t, err).Sent)
}

func TestAnUndelimitedAnswerIsTakenOnlyWhereAllowed(t *testing.T) {
	target := newRawTarget(t, writing("HTTP/1.1 200 OK\r\n\r\nwhole", false))
	_, err := target.pool(t, nil).Exchange(context.Background(), get())
	assert.ErrorIs(t, err, errNotDelimited)
	accepting := target.pool(t, func(config *Config) { config.AcceptCloseDelimited = true })
	answer, err := accepting.Exchange(context.Background(), get())
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "whole")
}

func TestKeepAliveBoundsTheIdleTime(t *testing.T) {
	for text, expected := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=10, timeout=7": 7 * time.Second, "": 0, "timeout=x": 0, "timeout=0": 0,
	} {
		assert.Equal(t, keepAliveOf(http.Header{"Keep-Alive": {text}}), expected, text)
	}
	c := &connection{keepAlive: 2 * time.Second}
	assert.Equal(t, c.idleLimit(time.Minute), 2*time.Second-keepAliveMargin)
	assert.Equal(t, c.idleLimit(time.Second), time.Second)
	assert.Equal(t, (&connection{}).idleLimit(time.Minute), time.Minute)
}
