package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

// targetStep is what a scriptedTarget does with one request.
type targetStep struct {
	// reject rejects the request instead of running it.
	reject bool
	// keepCopy keeps a second copy of the response, which is sent on the same connection.
	keepCopy bool
	// sendCopies sends the copies that are kept for the connection before the response.
	sendCopies bool
}

// scriptedTarget follows a script, one step for each request in the order of arrival.
type scriptedTarget struct {
	mutex sync.Mutex
	steps []targetStep
	// copies are the kept copies by connection, and runs the number of runs by request ID.
	copies map[net.Conn][]string
	runs   map[string]int
}

func newScriptedTarget(steps ...targetStep) *scriptedTarget {
	return &scriptedTarget{steps: steps, copies: make(map[net.Conn][]string), runs: make(map[string]int)}
}

func (s *scriptedTarget) respond(connection net.Conn, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var step targetStep
	if len(s.steps) > 0 {
		step, s.steps = s.steps[0], s.steps[1:]
	}
	if step.sendCopies {
		for _, kept := range s.copies[connection] {
			fmt.Fprint(connection, kept)
		}
		delete(s.copies, connection)
	}
	response := s.responseTo(request.Header.Get("X-Id"), step.reject)
	if step.keepCopy {
		s.copies[connection] = append(s.copies[connection], response)
	}
	fmt.Fprint(connection, response)
}

func (s *scriptedTarget) responseTo(id string, reject bool) string {
	if reject {
		return fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	s.runs[id]++
	return fmt.Sprintf(okResponse, id)
}

func (s *scriptedTarget) runCount(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// TestCopyOfRejectionIsNotResponseToNextSend guards against a call that is reported as not executed,
// or executed twice, because a second copy of its rejection passes for the response to the next send.
func TestCopyOfRejectionIsNotResponseToNextSend(t *testing.T) {
	rejectKeepingCopy := targetStep{reject: true, keepCopy: true}
	sendCopiesAndRun := targetStep{sendCopies: true}
	orders := []struct {
		name string
		// sends are the IDs of the calls in the order in which they are sent.
		sends []string
		steps []targetStep
	}{
		{"no copy", []string{"a", "a"}, []targetStep{{reject: true}, {}}},
		{"copy before the next send's response", []string{"a", "a"}, []targetStep{rejectKeepingCopy, sendCopiesAndRun}},
		{"copy before another call's response", []string{"a", "b", "a"}, []targetStep{rejectKeepingCopy, sendCopiesAndRun, {}}},
		{"copy after another call's response", []string{"a", "b", "a"}, []targetStep{rejectKeepingCopy, {}, sendCopiesAndRun}},
		{"two rejections, both copies", []string{"a", "a", "a"}, []targetStep{rejectKeepingCopy, {reject: true, keepCopy: true, sendCopies: true}, sendCopiesAndRun}},
		{"two rejections, copies at the last send", []string{"a", "a", "a"}, []targetStep{rejectKeepingCopy, rejectKeepingCopy, sendCopiesAndRun}},
		{"two calls rejected in turn", []string{"a", "b", "a", "b"}, []targetStep{rejectKeepingCopy, rejectKeepingCopy, sendCopiesAndRun, sendCopiesAndRun}},
	}
	for _, order := range orders {
		t.Run(order.name, func(t *testing.T) {
			target := newScriptedTarget(order.steps...)
			g := newTestGuard(startRawTarget(t, target.respond))
			reported := make(map[string]peering.Outcome)
			for i, id := range order.sends {
				reply := g.Run(context.Background(), newCall(id))
				reported[id] = reply.Outcome
				assert.Equal(t, reply.Outcome == peering.Refused, order.steps[i].reject, "send %d", i)
			}
			for id, outcome := range reported {
				assert.Equal(t, outcome, peering.Answered, id)
				assert.Equal(t, target.runCount(id), 1, id)
			}
		})
	}
}

// TestResponseWithoutIDIsNotResponseToCall guards against a call that is offered to another target,
// or reported as not executed, because bytes that the target sends after a whole response pass for a
// rejection of the next call. Only a call that must not run twice waits for its own response.
func TestResponseWithoutIDIsNotResponseToCall(t *testing.T) {
	strays := []struct{ name, response string }{
		{"not executed", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{"rate limited", "HTTP/1.1 429 Limit\r\nX-Not-Executed: 1\r\nX-Rate-Limit: 1\r\nContent-Length: 0\r\n\r\n"},
		{"another target", "HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{"leaving", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"},
		{"success", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno"},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, stray := range strays {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at most once %v", stray.name, atMostOnce), func(t *testing.T) {
				var requests atomic.Int32
				address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
					response := fmt.Sprintf(okResponse, request.Header.Get("X-Id"))
					if requests.Add(1) == 2 {
						response = stray.response + response
					}
					fmt.Fprint(connection, response)
				})
				g := newTestGuard(address)
				run := func(id string) *peering.Reply {
					call := newCall(id)
					call.AtMostOnce = atMostOnce
					return g.Run(context.Background(), call)
				}
				assert.Equal(t, run("first").Outcome, peering.Answered)
				second := run("second")
				if atMostOnce {
					assert.Equal(t, second.Outcome, peering.Answered)
					assert.Equal(t, string(second.Body), "ok")
				} else {
					assert.Equal(t, second.Outcome, peering.Failed)
					assert.Equal(t, second.Reason, peering.InvalidResponse)
				}
				assert.Equal(t, run("third").Outcome, peering.Answered, "the target must stay in service")
			})
		}
	}
}

// TestRejectionWithoutIDOnNewConnectionIsInvalid guards against a call that is offered again because
// of a response that does not state which call was not executed.
func TestRejectionWithoutIDOnNewConnectionIsInvalid(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		address := startRawTarget(t, func(connection net.Conn, _ *http.Request) {
			fmt.Fprintf(connection, "HTTP/1.1 %d No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status)
		})
		call := newCall("a")
		call.AtMostOnce = true
		reply := newTestGuard(address).Run(context.Background(), call)
		assert.Equal(t, reply.Outcome, peering.Failed, "%d", status)
		assert.Equal(t, reply.Reason, peering.InvalidResponse, "%d", status)
	}
}
