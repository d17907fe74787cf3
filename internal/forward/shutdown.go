package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/routetable"
)

// endsBeforeShutdown reports whether the request, if it ran from now on, would finish before the
// node's shutdown deadline with a margin for slow requests. A nested call does: it has the limit of
// the running request that made it and that would fail without it.
func (f *Forwarder) endsBeforeShutdown(q *request) bool {
	if q.nested || !f.shutdownDeadline.IsSet() {
		return true
	}
	now := f.now()
	return f.shutdownDeadline.Allows(f.safeDuration(q, now), now)
}

// safeDuration returns the duration within which it is safe to assume that the request is finished
// and its response read. The time left is the upper bound, and the estimate if the usual latency is
// unknown.
func (f *Forwarder) safeDuration(q *request, now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	stats := f.homes.statsOf(q.route.Name)
	if stats.latency == 0 {
		return left
	}
	run := ending.SafeDuration(stats.latency)
	if q.route.Kind == routetable.AtMostOnce {
		run = ending.SafeDurationOnce(stats.latency, f.homes.tailDuration(q.route.Name, now))
	}
	return min(run+f.readerPace.TransferDuration(stats.largest.Max(now), now), left)
}

// transferProblem returns the problem for a request whose caller may not read the whole response
// before the node's shutdown deadline, and nil if it does. A caller that may send the request again
// does so with more time left than after a response that is cut.
func (f *Forwarder) transferProblem(q *request, reply *peering.Reply) *problem.Problem {
	if q.route.Kind != routetable.Repeatable {
		return nil
	}
	now := f.now()
	if f.shutdownDeadline.Allows(min(f.readerPace.TransferDuration(len(reply.Body), now), q.deadline.Sub(now)), now) {
		return nil
	}
	return f.problem(problem.IncompleteAnswer, problem.ExecutedUnknown, "respond", "the node is about to end before the response can be read").
		WithRetryDelay(f.shutdownDeadline.ReturnDelay(now))
}

// shutdownProblem returns the problem for a request that is not run, or not once more, because it
// might not end before the node's shutdown deadline.
func (f *Forwarder) shutdownProblem(q *request, step string) *problem.Problem {
	now := f.now()
	detail := "the node is about to end: the request may take " + f.safeDuration(q, now).Round(time.Millisecond).String()
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, step, detail)
	}
	return f.problem(problem.NotReady, problem.ExecutedNo, step, detail).WithRetryDelay(f.shutdownDeadline.ReturnDelay(now))
}

// readBodyInTime reads the request's body. It refuses the request if the body is not complete while
// the request can still end before the node's shutdown deadline.
func (f *Forwarder) readBodyInTime(w http.ResponseWriter, r *http.Request, q *request, maxBytes int64) ([]byte, *problem.Problem) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	timeout := f.startBodyTimeout(w, q)
	body, failure := f.readBody(w, r, q, maxBytes)
	if timeout.release(f.now(), failure == nil) || (failure == nil && !f.endsBeforeShutdown(q)) {
		w.Header().Set("Connection", "close")
		return nil, f.shutdownProblem(q, "receive")
	}
	return body, failure
}

// bodyTimeout ends the reading of a request's body at the request's deadline, so that a stalled body
// does not take memory and its connection for longer, or earlier if the request could no longer end
// before the node's shutdown deadline.
type bodyTimeout struct {
	stop func() bool

	mutex      sync.Mutex
	connection *http.ResponseController
	// done is set once the body has been read.
	done bool
	// at is when the request could no longer end before the shutdown deadline, zero if there is none.
	at time.Time
}

// startBodyTimeout starts the timeout of a request's body. Its release must be called once the body
// has been read.
func (f *Forwarder) startBodyTimeout(w http.ResponseWriter, q *request) *bodyTimeout {
	timeout := &bodyTimeout{connection: http.NewResponseController(w)}
	timeout.limit(f.socketTime(q.deadline))
	timeout.stop = f.shutdownDeadline.AfterSet(func() {
		latest, set := f.shutdownDeadline.LatestStart(f.safeDuration(q, f.now()))
		if set && latest.Before(q.deadline) {
			timeout.endEarly(latest, f.socketTime(latest))
		}
	})
	return timeout
}

// limit sets the time at which reading from the connection fails.
func (t *bodyTimeout) limit(at time.Time) {
	// Only writers of tests have no connection.
	_ = t.connection.SetReadDeadline(at)
}

// endEarly ends the reading at a time before the request's deadline, which is given by both clocks.
func (t *bodyTimeout) endEarly(at, socketTime time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.done {
		return
	}
	t.at = at
	t.limit(socketTime)
}

// release ends the timeout and reports whether the request can no longer end before the shutdown
// deadline. If not, and the body is complete, the connection can be used further.
func (t *bodyTimeout) release(now time.Time, complete bool) (passed bool) {
	t.stop()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.done = true
	if !t.at.IsZero() && !now.Before(t.at) {
		return true
	}
	if complete {
		_ = t.connection.SetReadDeadline(time.Time{})
	}
	return false
}
