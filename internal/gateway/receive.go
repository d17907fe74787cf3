package gateway

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/transport"
)

// call is a call that the gateway processes.
type call struct {
	listener Listener
	service  *catalog.Service
	context  callcontext.Context
	// policyInput describes the call to the service's policy.
	policyInput policy.Call
	// request is sent to the target.
	request        transport.Call
	idempotencyKey string
	// withoutContext reports that a mesh call arrived without a context, so that the
	// request that it belongs to and its ingress node are unknown.
	withoutContext bool
	// shedThreshold is the rank key from which on the service or one of its
	// dependencies sheds calls.
	shedThreshold uint16
}

// defaultRetryAfter is the Retry-After of refusals for which the service's policy
// is not evaluated.
const defaultRetryAfter = time.Second

// incomingCall describes a call whose context and body have not been read yet.
type incomingCall struct {
	listener   Listener
	service    string
	requestURI string
	started    time.Time
	// inFlight is the number of calls in the node, including this one.
	inFlight int64
}

// receive reads and admits a call. If it fails because the service is unknown or the
// node is not ready, the returned call is nil.
func (g *Gateway) receive(w http.ResponseWriter, r *http.Request, incoming incomingCall) (*call, *problem.Problem) {
	if !g.ready.Load() {
		return nil, g.newProblem(problem.NotReady, "receive", "the node has no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	service := g.router.View().Services[incoming.service]
	if service == nil {
		return nil, g.newProblem(problem.UnknownService, "receive", "no such service")
	}
	c := &call{listener: incoming.listener, service: service}
	if failure := g.readContext(c, r, incoming.started); failure != nil {
		return c, failure
	}
	if failure := g.admit(c, r, incoming.requestURI); failure != nil {
		return c, failure
	}
	if incoming.inFlight > g.concurrencyLimit(c) {
		failure := g.newProblem(problem.Overloaded, "receive", "too many calls in the node")
		return c, g.setRetryAfter(c, g.policyLoad(c), failure)
	}
	body, failure := g.readBody(w, r)
	if failure != nil {
		return c, failure
	}
	c.request = transport.Call{Method: r.Method, RequestURI: incoming.requestURI, Header: r.Header, Body: body}
	home.StripHopHeaders(c.request.Header)
	c.request.Header.Set(callcontext.RequestIDHeader, c.context.RequestID.String())
	return c, nil
}

const (
	// reservedPercent is the percentage of the node's concurrent calls that each
	// criticality level reserves for the levels above it.
	reservedPercent = 10
	// meshConcurrencyFactor multiplies the concurrency limit for calls made by
	// targets. They belong to requests in progress, and refusing them wastes the
	// work already done.
	meshConcurrencyFactor = 2
)

// concurrencyLimit returns the maximum number of concurrent calls in the node, including
// this one, with which the call is accepted.
func (g *Gateway) concurrencyLimit(c *call) int64 {
	allowed := g.settings.MaxConcurrent * int64(100-reservedPercent*int(c.context.Rank.Level)) / 100
	if c.listener == Mesh {
		allowed *= meshConcurrencyFactor
	}
	return max(allowed, 1)
}

// newProblem returns a problem of this node for a call that was not executed.
func (g *Gateway) newProblem(reason problem.Reason, step, detail string) *problem.Problem {
	return problem.New(reason, problem.ExecutedNo, step, g.settings.Node, detail)
}

// readContext sets the call's context. For a call from the edge listener, it creates a
// new context and discards one that the caller sent. For a call from the mesh listener,
// it reads the context from the headers. A mesh call without a context gets a new one
// with the lowest rank and is never retried.
func (g *Gateway) readContext(c *call, r *http.Request, started time.Time) *problem.Problem {
	timeout, failure := g.timeoutOf(c.service, r.Header)
	if failure != nil {
		return failure
	}
	deadline := started.Add(timeout)
	c.idempotencyKey = r.Header.Get(callcontext.IdempotencyKeyHeader)
	if c.listener == Edge {
		callcontext.RemoveFromHeader(r.Header)
		c.context = g.newContext(r, started, deadline)
		return nil
	}
	context, err := callcontext.FromHeader(r.Header)
	switch {
	case errors.Is(err, callcontext.ErrAbsent):
		c.withoutContext = true
		c.context = g.newContext(r, started, deadline)
		c.context.Rank = criticality.Lowest
		return nil
	case err != nil:
		return g.newProblem(problem.BadContext, "context", err.Error()).WithCause(err)
	}
	if deadline.Before(context.Deadline) {
		context.Deadline = deadline
	}
	context.Hops++
	c.context = context
	if context.Hops > callcontext.MaxHops {
		return g.newProblem(problem.TooManyHops, "context", "the request went through too many nodes")
	}
	if !context.Deadline.After(started) {
		return g.newProblem(problem.DeadlineExceeded, "context", "the deadline has passed")
	}
	return nil
}

func (g *Gateway) newContext(r *http.Request, started, deadline time.Time) callcontext.Context {
	caller := callcontext.CallerName(r.Header.Get(callcontext.CallerHeader))
	return callcontext.Context{
		RequestID: callcontext.NewRequestID(),
		Ingress:   g.settings.Peer,
		Deadline:  deadline,
		Rank:      criticality.Rank{Level: criticality.SheddablePlus, Cohort: cohortOf(caller, started)},
		Caller:    caller,
	}
}

// timeoutOf returns the timeout of a call: the one that the caller requests, else the
// service's, else the node's default. It is limited to the node's maximum.
func (g *Gateway) timeoutOf(service *catalog.Service, header http.Header) (time.Duration, *problem.Problem) {
	timeout := g.settings.DefaultTimeout
	if service.Spec.TimeoutMillis > 0 {
		timeout = time.Duration(service.Spec.TimeoutMillis) * time.Millisecond
	}
	if value := header.Get(callcontext.TimeoutHeader); value != "" {
		millis, err := strconv.ParseInt(value, 10, 32)
		if err != nil || millis < 1 {
			return 0, g.newProblem(problem.BadRequest, "receive", callcontext.TimeoutHeader+" must be a number of milliseconds above 0")
		}
		timeout = time.Duration(millis) * time.Millisecond
	}
	return min(timeout, g.settings.MaxTimeout), nil
}

// ingress returns the peer address of the node that grants the request's retries. It
// returns false if the call arrived without a context.
func (c *call) ingress() (netip.AddrPort, bool) {
	return c.context.Ingress, !c.withoutContext && c.context.Ingress.IsValid()
}
