package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
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
