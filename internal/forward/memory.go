package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/problem"
)

// stalledReaderTimeout is how long a caller may read nothing of a large response before it is cut
// off.
const stalledReaderTimeout = 5 * time.Second

// abandonedGrace is the time after a caller's own timeout from which on it is known not to read a
// large response any more.
const abandonedGrace = time.Second

// requestBytes is the memory that a request takes besides its messages: its header, and the stacks and
// buffers of its connection.
const requestBytes = 32 << 10

// requestMemory holds the reservations of a request.
type requestMemory struct {
	request, body, response, errorResponse memorybudget.Reservation
	// bodyRefused is set if the body was not read completely because there was no memory for it.
	bodyRefused bool
}

func (m *requestMemory) release() {
	m.request.Release()
	m.body.Release()
	m.response.Release()
	m.errorResponse.Release()
}

// keepErrorResponse keeps the reservation of a response beside that of the next offer.
func (m *requestMemory) keepErrorResponse() {
	m.errorResponse.Release()
	m.errorResponse, m.response = m.response, memorybudget.Reservation{}
}

// reserveRequest reserves the memory that a request takes besides its messages. It refuses the request
// if there is none, unless it is a nested call, which takes part in a request that has run already.
func (f *Forwarder) reserveRequest(q *request) *problem.Problem {
	q.memory.request = f.memory.Reservation(memorybudget.Request)
	if q.memory.request.Grow(requestBytes) || q.nested {
		return nil
	}
	return f.problem(problem.Overloaded, problem.ExecutedNo, "memory", "no memory left for the request").WithRetryDelay(f.memory.RetryDelay())
}

// readBodyInMemory reads the request's body.
func (f *Forwarder) readBodyInMemory(w http.ResponseWriter, r *http.Request, q *request) ([]byte, error) {
	q.memory.body = f.memory.Reservation(memorybudget.Request)
	body, err := memorybudget.Read(r.Body, r.ContentLength, f.memory.Limits().MaxMessage(), &q.memory.body)
	if errors.Is(err, memorybudget.ErrExceeded) || errors.Is(err, memorybudget.ErrTooLarge) {
		q.memory.bodyRefused = true
		answerBeforeBody(w)
	}
	return body, err
}

// answerBeforeBody lets the response be written while the caller still sends the body.
func answerBeforeBody(w http.ResponseWriter) { _ = http.NewResponseController(w).EnableFullDuplex() }

// unreadBodyTimeout is how long the body of a request may take that is answered without reading it.
const unreadBodyTimeout = time.Second

// limitUnreadBody bounds the time for which a connection is kept for the rest of a body that is not
// needed: net/http reads it before it writes the response.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// socketTime returns a time of the forwarder's clock in the time of sockets.
func (f *Forwarder) socketTime(at time.Time) time.Time { return time.Now().Add(at.Sub(f.now())) }

// refuseForMemory returns the problem for a request that was not executed because there was no
// memory for one of its messages.
func (f *Forwarder) refuseForMemory(q *request, detail string) *problem.Problem {
	return f.refusal(q, problem.Overloaded, "memory", detail, f.memory.RetryDelay())
}

// discardBody reads the rest of a body that was refused after the response was written. Many callers
// read no response before they have sent the whole body, and closing the connection would reset it.
func (q *request) discardBody(w http.ResponseWriter, r *http.Request) {
	if !q.memory.bodyRefused {
		return
	}
	q.memory.body.Release()
	_ = http.NewResponseController(w).Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// releaseBody releases the request's body, which is not needed while the caller reads the response.
func (q *request) releaseBody() {
	q.call.Body = nil
	q.memory.body.Release()
}

// reserveResponse reserves room for the usual response of the request's route before it is offered to
// a home. It returns the final problem of the request if there is none.
func (f *Forwarder) reserveResponse(q *request) *problem.Problem {
	q.memory.response.Release()
	q.memory.response = f.memory.Reservation(memorybudget.Response)
	switch {
	case q.memory.response.GrowToUsual(q.route.Name):
		return nil
	case q.attempts > 0:
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "memory", string(q.lastReason)+": no memory left for the response")
	}
	return f.refuseForMemory(q, "no memory left for the response")
}

// readTimeout returns how long the caller of a request may read nothing of a large response. It is
// not positive once the caller has given up.
func (f *Forwarder) readTimeout(q *request) time.Duration {
	if q.callerTimeout == 0 {
		return stalledReaderTimeout
	}
	return min(stalledReaderTimeout, q.callerTimeout+abandonedGrace-f.now().Sub(q.arrived))
}

// writeBody writes the body of a response. A caller that does not read a large one, or no longer
// waits for it, is cut off, as it takes memory from others.
func (f *Forwarder) writeBody(w http.ResponseWriter, q *request, body []byte) error {
	if len(body) <= memorybudget.SmallBytes {
		_, err := w.Write(body)
		return err
	}
	controller := http.NewResponseController(w)
	for len(body) > 0 {
		part := body[:min(len(body), memorybudget.SmallBytes)]
		body = body[len(part):]
		_ = controller.SetWriteDeadline(time.Now().Add(f.readTimeout(q)))
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	_ = controller.SetWriteDeadline(time.Time{})
	return nil
}
