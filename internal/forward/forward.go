// Package forward takes requests where they begin: it finds the route, chooses
// the home that is to run the request, sends it elsewhere while nothing has run
// or the route allows a repetition, and answers with the target's whole answer
// or a typed refusal.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/routetable"
)

// Config describes the node.
type Config struct {
	// Node, Zone and Service name the node, its zone and the service of the
	// target beside it.
	Node, Zone, Service string
	// Address is the node's own, as the directory lists it.
	Address string
	Headers callheader.Names
	// DefaultTimeout bounds a request whose caller and route say nothing.
	DefaultTimeout time.Duration
	// RetryShare is the part of a service's requests that may be repeated.
	RetryShare float64
	// RetryReserve is the number of repetitions allowed without requests, and
	// RetryReservePerSecond how fast it comes back.
	RetryReserve, RetryReservePerSecond float64
	// RepeatCeiling is the part of the arrivals at a service, in percent, up to
	// which requests that reach it are repeated.
	RepeatCeiling int
	// WaitShare is the part of a route's objective for which a request may wait
	// for room at a target, and InnerWaitShare that for a call of a running
	// request.
	WaitShare, InnerWaitShare float64
	// ParentOf returns the id of the request that made a call, false if the call's
	// id does not tell.
	ParentOf func(id string) (string, bool)
}

// Parts are what a forwarder works with.
type Parts struct {
	Routes    *routetable.Holder
	Directory *registry.Directory
	// Local runs calls at the target beside the node.
	Local LocalHome
	// Levels hold the shed thresholds of routes.
	Levels *pressure.Levels
	Peers  *peering.Client
	// NewerAt is told of a peer with a newer configuration.
	NewerAt  func(address string, version uint64)
	Observer Observer
	Log      *eventlog.Log
	Now      func() time.Time
}

// LocalHome runs calls at the target beside the node and knows what runs there.
type LocalHome interface {
	peering.Home
	// Running returns a request that the target works on.
	Running(id string) (guard.Running, bool)
}

// Observer sees what becomes of requests, for metrics.
type Observer interface {
	// Finished sees a request that ended. Refusals and failures have a reason.
	Finished(route string, status int, reason string, duration time.Duration)
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	config    Config
	routes    *routetable.Holder
	directory *registry.Directory
	local     LocalHome
	levels    *pressure.Levels
	peers     *peering.Client
	newerAt   func(address string, version uint64)
	observer  Observer
	log       *eventlog.Log
	now       func() time.Time

	homes    homeTable
	splitter routetable.Splitter
	stopping atomic.Bool
	inFlight atomic.Int64
	// made is when the forwarder was made, and arrived how much later the last
	// request came. Both are told by the steady clock.
	made    time.Time
	arrived atomic.Int64

	budgetMutex sync.Mutex
	budgets     map[string]*retrybudget.Ratio
}

// New returns a forwarder.
func New(config Config, parts Parts) *Forwarder {
	return &Forwarder{
		config:    config,
		routes:    parts.Routes,
		directory: parts.Directory,
		local:     parts.Local,
		levels:    parts.Levels,
		peers:     parts.Peers,
		newerAt:   parts.NewerAt,
		observer:  parts.Observer,
		log:       parts.Log,
		now:       parts.Now,
		made:      parts.Now(),
		budgets:   make(map[string]*retrybudget.Ratio),
	}
}

// Run watches over the homes until the context ends.
func (f *Forwarder) Run(ctx context.Context) { f.watch(ctx) }

// Stop makes every answer ask its caller to close the connection.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// InFlight returns the number of requests that wait for their answer.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// QuietFor returns how long ago the last request came, or the forwarder was
// made.
func (f *Forwarder) QuietFor() time.Duration {
	return f.now().Sub(f.made) - time.Duration(f.arrived.Load())
}

// request is one request on its way.
type request struct {
	id       string
	route    *routetable.Route
	service  string
	call     *peering.Call
	arrived  time.Time
	deadline time.Time
	// attempts counts the targets that may have run the request.
	attempts int
	excluded []*registry.Home
	rank     criticality.Rank
	// inner tells that a request at the target beside the node made the call.
	inner bool
	// retryAfter is the shortest wait that a home proposed.
	retryAfter time.Duration
	// lastHome is the home that the request was offered to last, and lastReason
	// why it did not answer.
	lastHome   string
	lastReason peering.Reason
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := f.now()
	f.arrived.Store(int64(started.Sub(f.made)))
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, failure := f.receive(w, r, started)
	if failure != nil {
		f.refuse(w, q, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	reply, failure := f.run(ctx, q)
	switch {
	case r.Context().Err() != nil:
		f.abandoned(q)
	case failure != nil:
		f.refuse(w, q, failure)
	default:
		f.answer(w, q, reply)
	}
}

func (f *Forwarder) problem(reason problem.Reason, executed problem.Executed, step, detail string) *problem.Problem {
	return problem.New(reason, executed, step, f.config.Node, detail)
}

// rawPath returns the request's path as the caller wrote it.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// notReadyDelay is told to callers while the node has no configuration.
const notReadyDelay = 200 * time.Millisecond

// shedDelay is told to callers that are refused for want of room further down.
const shedDelay = time.Second

// receive reads a request whole.
func (f *Forwarder) receive(w http.ResponseWriter, r *http.Request, started time.Time) (*request, *problem.Problem) {
	q := &request{id: r.Header.Get(f.config.Headers.RequestID), arrived: started}
	table := f.routes.Current()
	if table == nil {
		return q, f.problem(problem.NotReady, problem.ExecutedNo, "receive", "no configuration yet").WithRetryDelay(notReadyDelay)
	}
	q.route = table.Match(r.Host, rawPath(r))
	if q.route == nil {
		return q, f.problem(problem.UnknownService, problem.ExecutedNo, "route", "no route matches")
	}
	if q.id == "" {
		return q, f.problem(problem.BadRequest, problem.ExecutedNo, "receive", "no request id")
	}
	parent, inner := f.parentOf(q)
	q.rank, q.inner = parent.Rank, inner
	if !inner {
		q.rank = rankOf(q)
	}
	if threshold := f.levels.Threshold(q.route.Name); !q.inner && q.rank.Key() >= threshold {
		detail := fmt.Sprintf("the chain of calls has no room: rank %d, threshold %d", q.rank.Key(), threshold)
		return q, f.problem(problem.Overloaded, problem.ExecutedNo, "admit", detail).WithRetryDelay(shedDelay)
	}
	q.deadline = started.Add(f.timeoutOf(q.route, r.Header))
	body, failure := f.readBody(w, r, table.Limits().MaxBodyBytes)
	if failure != nil {
		return q, failure
	}
	callheader.StripConnection(r.Header)
	r.Header.Del("Content-Length")
	q.service = f.splitter.Choose(q.route)
	q.call = &peering.Call{
		Service:   q.service,
		RequestID: q.id,
		Method:    r.Method,
		URI:       requestURI(r),
		Host:      r.Host,
		Header:    r.Header,
		Body:      body,
		Caller:    f.config.Service,
		Route:     q.route.Name,
		Rank:      q.rank.Key(),
		Inner:     q.inner,
		Repeat:    parent.Repeat,
		MaxWait:   f.maxWait(q),
	}
	return q, nil
}

// maxWait returns how long a request may wait for room.
func (f *Forwarder) maxWait(q *request) time.Duration {
	share := f.config.WaitShare
	if q.inner {
		share = f.config.InnerWaitShare
	}
	return time.Duration(float64(q.route.Objective) * share)
}

// parentOf returns the request at the target beside the node that made the
// call, false if none did.
func (f *Forwarder) parentOf(q *request) (guard.Running, bool) {
	id, told := f.config.ParentOf(q.id)
	if !told {
		return guard.Running{}, false
	}
	parent, found := f.local.Running(id)
	if found {
		f.levels.Learn(parent.Route, q.route.Name)
	}
	return parent, found
}

// rankOf returns the rank of a request that begins here.
func rankOf(q *request) criticality.Rank {
	level := criticality.Level(min(max(q.route.Priority, 0), criticality.LevelCount-1))
	return criticality.Rank{Level: level, Cohort: uint8(xxhash.Sum64String(q.id) % criticality.CohortCount)}
}

// timeoutOf returns the shortest of what the caller and the route allow.
func (f *Forwarder) timeoutOf(route *routetable.Route, header http.Header) time.Duration {
	timeout := f.config.DefaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	millis, err := strconv.ParseInt(header.Get(f.config.Headers.DeadlineMillis), 10, 64)
	if err == nil && millis >= 0 {
		timeout = min(timeout, time.Duration(millis)*time.Millisecond)
	}
	return timeout
}

func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *problem.Problem) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	tooLarge := func() *problem.Problem {
		return f.problem(problem.BodyTooLarge, problem.ExecutedNo, "receive", "the body is too large")
	}
	if maxBytes > 0 {
		if r.ContentLength > maxBytes {
			return nil, tooLarge()
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(r.Body)
	}
	var limitError *http.MaxBytesError
	switch {
	case errors.As(err, &limitError):
		return nil, tooLarge()
	case err != nil:
		return nil, f.problem(problem.BadRequest, problem.ExecutedNo, "receive", "the body ended early")
	}
	return body, nil
}

// answer passes the target's answer on.
func (f *Forwarder) answer(w http.ResponseWriter, q *request, reply *peering.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if _, told := header["Content-Type"]; !told {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
	duration := f.now().Sub(q.arrived)
	f.observer.Finished(q.route.Name, reply.Status, "", duration)
	f.log.Record(eventlog.Event{Kind: eventlog.RequestAnswered, Request: q.id, Route: q.route.Name, Service: q.service,
		Peer: q.lastHome, Status: reply.Status, Attempt: q.attempts, Duration: duration})
}

// refuse answers with a problem.
func (f *Forwarder) refuse(w http.ResponseWriter, q *request, failure *problem.Problem) {
	failure.RequestID = q.id
	if q.id != "" {
		w.Header().Set(f.config.Headers.RequestID, q.id)
	}
	failure.Write(w)
	duration := f.now().Sub(q.arrived)
	event := eventlog.Event{Kind: eventlog.RequestRefused, Request: q.id, Service: q.service, Peer: q.lastHome, Status: failure.Status, Attempt: q.attempts,
		Reason: string(failure.Reason) + ": " + failure.Detail, Wait: failure.RetryDelay, Duration: duration, Version: uint64(f.routes.Version())}
	if q.route != nil {
		event.Route = q.route.Name
	}
	if failure.Executed != problem.ExecutedNo {
		event.Kind = eventlog.RequestFailed
	}
	f.observer.Finished(event.Route, failure.Status, string(failure.Reason), duration)
	f.log.Record(event)
}

// abandoned notes a request whose caller left.
func (f *Forwarder) abandoned(q *request) {
	duration := f.now().Sub(q.arrived)
	f.observer.Finished(q.route.Name, 0, string(problem.CallerGone), duration)
	f.log.Record(eventlog.Event{Kind: eventlog.RequestAbandoned, Request: q.id, Route: q.route.Name, Service: q.service,
		Peer: q.lastHome, Attempt: q.attempts, Reason: string(q.lastReason), Duration: duration})
}
