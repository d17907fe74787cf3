package transport

import (
	"net/http"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
)

// maxCarried bounds the calls that a pool records as carried.
const maxCarried = 4096

// carriedCalls records which connections have carried calls that may be sent to the target again.
// A faulty target may send a second copy of a response in the place of a later one. The ID tells it
// apart from responses to other calls, but not from the response to the same call sent again.
type carriedCalls struct {
	// connections holds the connections by the ID of the call, and order the entries of
	// connections in the order in which they were added.
	connections map[string][]*connection
	order       []carriedCall
}

// carriedCall is a call that may be sent again until the given time.
type carriedCall struct {
	id    string
	until time.Time
}

// add records that the connection has carried a call. It returns false if too many calls are
// recorded.
func (c *carriedCalls) add(call carriedCall, carrier *connection, now time.Time) bool {
	c.expire(now)
	if len(c.order) >= maxCarried {
		return false
	}
	if c.connections == nil {
		c.connections = make(map[string][]*connection)
	}
	c.connections[call.id] = append(c.connections[call.id], carrier)
	c.order = append(c.order, call)
	return true
}

// expire removes the calls at the front of the order that are not sent again.
func (c *carriedCalls) expire(now time.Time) {
	expired := 0
	for expired < len(c.order) && !now.Before(c.order[expired].until) {
		c.removeFirst(c.order[expired].id)
		expired++
	}
	c.order = slices.Delete(c.order, 0, expired)
}

// removeFirst removes the connection that was added first for the call.
func (c *carriedCalls) removeFirst(id string) {
	if rest := c.connections[id][1:]; len(rest) > 0 {
		c.connections[id] = rest
		return
	}
	delete(c.connections, id)
}

// recordRejection records the connection if the response rejects the call. If too many calls are
// recorded, the connection is not used again.
func (p *Pool) recordRejection(c *connection, call *Call, response *http.Response) {
	if p.config.IsRejection == nil || !p.config.IsRejection(response.StatusCode, response.Header) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.carried.add(carriedCall{id: call.ID, until: call.RepeatableUntil}, c, clock.Now()) {
		c.retired = true
	}
}
