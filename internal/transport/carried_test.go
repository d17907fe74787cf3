package transport

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const rejection = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"

// rejectablePool returns a pool whose calls the target rejects with the status 503.
func rejectablePool(t *testing.T, target *rawTarget, maxConnections int) *Pool {
	t.Helper()
	return target.pool(t, func(c *Config) {
		c.MaxConnections = maxConnections
		c.IsRejection = func(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable }
	})
}

// rejectableCall returns a call that may be sent again for the duration if it is rejected.
func rejectableCall(id string, repeatableFor time.Duration) *Call {
	call := getCall()
	call.ID, call.RepeatableUntil = id, time.Now().Add(repeatableFor)
	return call
}

// TestRejectedCallTakesAnotherConnection checks which connection carries the last call after the
// calls before it, which the target rejects.
func TestRejectedCallTakesAnotherConnection(t *testing.T) {
	rejected := rejectableCall("a", time.Minute)
	for _, c := range []struct {
		name           string
		maxConnections int
		idle           int
		earlier        []*Call
		last           *Call
		connection     int
		// opened are the reports on avoided connections.
		opened []bool
	}{
		{"same call, another connection is idle", 0, 2, []*Call{rejected}, rejected, 0, []bool{false}},
		{"same call, no other connection is idle", 0, 1, []*Call{rejected}, rejected, 1, []bool{true}},
		{"same call, rejected on all idle connections", 0, 2, []*Call{rejected, rejected}, rejected, 2, []bool{false, true}},
		{"same call, no room for another connection", 1, 1, []*Call{rejected}, rejected, 1, []bool{true}},
		{"same call, no longer repeatable", 0, 1, []*Call{rejectableCall("a", -time.Minute), rejectableCall("b", time.Minute)}, rejectableCall("a", time.Minute), 0, nil},
		{"another call", 0, 1, []*Call{rejected}, rejectableCall("b", time.Minute), 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(rejection, true))
			pool := rejectablePool(t, target, c.maxConnections)
			var opened []bool
			pool.config.OnAvoided = func(_ string, isNew bool) { opened = append(opened, isNew) }
			openIdle(t, pool, c.idle)
			for _, call := range append(c.earlier, c.last) {
				_, err := pool.Exchange(t.Context(), call)
				assert.NilError(t, err)
			}
			received := target.received()
			assert.Equal(t, received[len(received)-1].connection, c.connection)
			assert.DeepEqual(t, opened, c.opened)
			if c.maxConnections > 0 {
				assert.Assert(t, len(pool.idle) <= c.maxConnections, "%d connections are open", len(pool.idle))
			}
		})
	}
}

// openIdle opens so many connections that are idle afterwards.
func openIdle(t *testing.T, pool *Pool, count int) {
	t.Helper()
	var opened []*connection
	for range count {
		c, _, err := pool.acquire(t.Context(), "", false)
		assert.NilError(t, err)
		opened = append(opened, c)
	}
	for _, c := range opened {
		assert.Assert(t, pool.pushIdle(c))
		pool.releaseSlot()
	}
}

// TestConnectionIsClosedBeyondRecordedRejections guards against an unbounded record, and against the
// use of a connection whose rejections are not recorded.
func TestConnectionIsClosedBeyondRecordedRejections(t *testing.T) {
	target := newRawTarget(t, respondWith(rejection, true))
	pool := rejectablePool(t, target, 0)
	for i := range maxCarried + 2 {
		_, err := pool.Exchange(t.Context(), rejectableCall(fmt.Sprint(i), time.Minute))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(pool.carried.order), maxCarried)
	received := target.received()
	assert.Equal(t, received[maxCarried].connection, 0)
	assert.Equal(t, received[maxCarried+1].connection, 1, "the connection of a rejection that is not recorded was used again")
}
