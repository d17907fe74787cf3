package forward

import (
	"net/http"
	"strconv"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
)

// writeResponse sends the target's response to the caller.
func (f *Forwarder) writeResponse(w http.ResponseWriter, q *request, reply *peering.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if _, present := header["Content-Type"]; !present {
		header["Content-Type"] = nil
	}
	header.Set(f.config.Headers.RequestID, q.id)
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	writing := f.now()
	err := f.writeBody(w, q, reply.Body)
	if err == nil {
		f.readerPace.Record(len(reply.Body), f.now().Sub(writing), f.now())
	}
	duration := f.now().Sub(q.arrived)
	f.observer.RequestFinished(q.route.Name, reply.Status, "", duration)
	f.log.Record(eventlog.Event{Kind: eventlog.RequestAnswered, Request: q.id, Route: q.route.Name, Service: q.service,
		Peer: q.lastHome, Status: reply.Status, Attempt: q.attempts, Duration: duration})
}

// writeProblem sends a problem document to the caller.
func (f *Forwarder) writeProblem(w http.ResponseWriter, q *request, failure *problem.Problem) {
	failure.RequestID = q.id
	if q.id != "" {
		w.Header().Set(f.config.Headers.RequestID, q.id)
	}
	failure.Write(w)
	duration := f.now().Sub(q.arrived)
	event := eventlog.Event{Kind: eventlog.RequestRefused, Request: q.id, Service: q.service, Peer: q.lastHome, Status: failure.Status, Attempt: q.attempts,
		Reason: string(failure.Reason), Detail: failure.Detail, Wait: failure.RetryDelay, Duration: duration, Version: uint64(f.routes.Version())}
	if q.route != nil {
		event.Route = q.route.Name
	}
	if failure.Executed != problem.ExecutedNo {
		event.Kind = eventlog.RequestFailed
	}
	f.observer.RequestFinished(event.Route, failure.Status, string(failure.Reason), duration)
	f.log.Record(event)
}

// writeAbandoned ends a request whose caller has disconnected. The caller may have closed only its
// side of the connection and still read: without an answer net/http would send it an empty success.
func (f *Forwarder) writeAbandoned(w http.ResponseWriter, q *request, failure *problem.Problem) {
	if failure.Executed != problem.ExecutedNo {
		failure = f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", "the caller closed its side of the connection")
	}
	failure.RequestID = q.id
	w.Header().Set(f.config.Headers.RequestID, q.id)
	failure.Write(w)
	f.recordAbandoned(q)
}

// recordAbandoned logs and counts a request whose caller has disconnected.
func (f *Forwarder) recordAbandoned(q *request) {
	duration := f.now().Sub(q.arrived)
	f.observer.RequestFinished(q.route.Name, 0, string(problem.CallerGone), duration)
	f.log.Record(eventlog.Event{Kind: eventlog.RequestAbandoned, Request: q.id, Route: q.route.Name, Service: q.service,
		Peer: q.lastHome, Attempt: q.attempts, Reason: string(q.lastReason), Duration: duration})
}
