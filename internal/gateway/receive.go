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

// call is a call on its way through the gateway.
type call struct {
	listener  Listener
	service   *catalog.Service
	context   callcontext.Context
	policy    policy.Call
	message   transport.Call
	key       string
	orphan    bool
	threshold uint16
}

// retryAfterDefault is told where nothing better is known.
const retryAfterDefault = time.Second

// arrival is what is known of a call when it comes in.
type arrival struct {
	listener   Listener
	service    string
	requestURI string
	started    time.Time
	// inFlight is the number of calls in the node, this one included.
	inFlight int64
}

// receive reads a call up to the point where it is admitted. The call is nil
// when not even its service is known.
func (g *Gateway) receive(w http.ResponseWriter, r *http.Request, a arrival) (*call, *problem.Problem) {
	if !g.ready.Load() {
		return nil, g.problem(problem.NotReady, "receive", "the node has no configuration yet").WithRetryAfter(retryAfterDefault)
	}
	service := g.router.View().Services[a.service]
	if service == nil {
		return nil, g.problem(problem.UnknownService, "receive", "no such service")
	}
	c := &call{listener: a.listener, service: service}
	if failure := g.readContext(c, r, a.started); failure != nil {
		return c, failure
	}
	if failure := g.admit(c, r, a.requestURI); failure != nil {
		return c, failure
	}
	if a.inFlight > g.concurrencyFor(c) {
		failure := g.problem(problem.Overloaded, "receive", "too many calls in the node")
		return c, g.whenToComeBack(c, g.policyLoad(c), failure)
	}
	body, failure := g.readBody(w, r)
	if failure != nil {
		return c, failure
	}
	c.message = transport.Call{Method: r.Method, RequestURI: a.requestURI, Header: r.Header, Body: body}
	home.StripHopHeaders(c.message.Header)
	c.message.Header.Set(callcontext.RequestIDHeader, c.context.RequestID.String())
	return c, nil
}

const (
	// reservedPercent is the share of the node's concurrent calls, in percent,
	// that each level leaves to the levels above it.
	reservedPercent = 10
	// meshFactor is how many times the node's concurrent calls are allowed to
	// calls of targets: those belong to requests that are under way, and
	// refusing them wastes what was done.
	meshFactor = 2
)

// concurrencyFor returns how many calls may be in the node for the call to be
// taken.
func (g *Gateway) concurrencyFor(c *call) int64 {
	allowed := g.settings.MaxConcurrent * int64(100-reservedPercent*int(c.context.Rank.Level)) / 100
	if c.listener == Mesh {
		allowed *= meshFactor
	}
	return max(allowed, 1)
}

func (g *Gateway) problem(reason problem.Reason, step, detail string) *problem.Problem {
	return problem.New(reason, problem.ExecutedNo, step, g.settings.Node, detail)
}

// readContext makes the context of a call at the edge, where one that comes
// along is dropped, and reads it on the mesh. A mesh call without context is an
// orphan: it gets no retry and the lowest rank.
func (g *Gateway) readContext(c *call, r *http.Request, started time.Time) *problem.Problem {
	timeout, failure := g.timeoutOf(c.service, r.Header)
	if failure != nil {
		return failure
	}
	deadline := started.Add(timeout)
	c.key = r.Header.Get(callcontext.IdempotencyKeyHeader)
	if c.listener == Edge {
		callcontext.RemoveFromHeader(r.Header)
		c.context = g.newContext(r, started, deadline)
		return nil
	}
	context, err := callcontext.FromHeader(r.Header)
	switch {
	case errors.Is(err, callcontext.ErrAbsent):
		c.orphan = true
		c.context = g.newContext(r, started, deadline)
		c.context.Rank = criticality.Lowest
		return nil
	case err != nil:
		return g.problem(problem.BadContext, "context", err.Error()).WithCause(err)
	}
	if deadline.Before(context.Deadline) {
		context.Deadline = deadline
	}
	context.Hops++
	c.context = context
	if context.Hops > callcontext.MaxHops {
		return g.problem(problem.TooManyHops, "context", "the request went through too many nodes")
	}
	if !context.Deadline.After(started) {
		return g.problem(problem.DeadlineExceeded, "context", "the deadline has passed")
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

// timeoutOf returns how long the call may take: the shortest of what the
// caller, the service and the node allow.
func (g *Gateway) timeoutOf(service *catalog.Service, header http.Header) (time.Duration, *problem.Problem) {
	timeout := g.settings.DefaultTimeout
	if service.Spec.TimeoutMillis > 0 {
		timeout = time.Duration(service.Spec.TimeoutMillis) * time.Millisecond
	}
	if text := header.Get(callcontext.TimeoutHeader); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis < 1 {
			return 0, g.problem(problem.BadRequest, "receive", callcontext.TimeoutHeader+" must be a number of milliseconds above 0")
		}
		timeout = time.Duration(millis) * time.Millisecond
	}
	return min(timeout, g.settings.MaxTimeout), nil
}

// ingress returns the node to ask for grants; orphans have none.
func (c *call) ingress() (netip.AddrPort, bool) {
	return c.context.Ingress, !c.orphan && c.context.Ingress.IsValid()
}
