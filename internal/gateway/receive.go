package gateway

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
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
	home.StripHop(c.message.Header)
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
		callcontext.Strip(r.Header)
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

func expectsBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// boundBody bounds the time to read the call's body. The deadline stays when
// the body is not read whole, so that the server does not wait for its rest.
func (g *Gateway) boundBody(w http.ResponseWriter, r *http.Request) {
	if expectsBody(r) {
		// A connection that can't have a deadline is bounded by the server's own.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.settings.ReadBodyTimeout))
	}
}

const (
	// smallBody is the largest body, in bytes, that is read for the sake of its
	// connection after the call was refused.
	smallBody = 64 << 10
	// smallBodyWait is how long such a body is waited for; it has usually come
	// with the header.
	smallBodyWait = time.Millisecond
)

// leaveBody deals with the body of a call that is refused. A small one that is
// there is read, so that the connection can be used again. Otherwise the
// connection is closed after the answer: net/http would wait for the rest of
// the body before it sends the answer.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if !expectsBody(r) {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= smallBody {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(smallBodyWait))
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
}

// readBody reads the whole body, within its bounds of size and time. The caller
// has called boundBody.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	if !expectsBody(r) {
		return nil, nil
	}
	if r.ContentLength > g.settings.MaxBodyBytes {
		return nil, g.bodyTooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, g.bodyTooLarge()
	case err != nil:
		return nil, g.problem(problem.BadRequest, "receive", "the body could not be read whole in time").WithCause(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (g *Gateway) bodyTooLarge() *problem.Problem {
	return g.problem(problem.BodyTooLarge, "receive", "allowed are "+strconv.FormatInt(g.settings.MaxBodyBytes, 10)+" bytes")
}

// admit applies the service's policy and the shed levels.
func (g *Gateway) admit(c *call, r *http.Request, requestURI string) *problem.Problem {
	c.policy = g.policyCall(c, r, requestURI)
	shedBy := ""
	c.threshold, shedBy = g.shedThreshold(c)
	load := g.policyLoad(c)
	admitted, err := c.service.Policy.Admit(c.policy, load)
	g.notEvaluated(c, err)
	if !admitted {
		return g.problem(problem.NotAdmitted, "policy", "the service's policy does not admit the call")
	}
	g.notEvaluated(c, g.rank(c))
	if g.settings.ShedLevels && c.context.Rank.Key() >= c.threshold {
		failure := g.problem(problem.Overloaded, "shed", "calls of this rank are being shed by "+shedBy)
		return g.whenToComeBack(c, load, failure)
	}
	return nil
}

// policyLoad returns the load of the call's service as its policy sees it.
func (g *Gateway) policyLoad(c *call) policy.Load {
	load := g.router.Load(c.service.Name)
	load.ShedLevel = shedLevelName(c.threshold)
	return load
}

// notEvaluated notes that a policy could not be evaluated. Strangers can cause
// that, so it is no more than a debug message.
func (g *Gateway) notEvaluated(c *call, err error) {
	if err != nil {
		g.log.WithError(err).WithField("step", "policy").WithField("service", c.service.Name).Debug("policy was not evaluated")
	}
}

func (g *Gateway) rank(c *call) error {
	if c.orphan {
		return nil
	}
	level, err := c.service.Policy.Rank(c.policy)
	c.context.Rank.Level = level
	if g.settings.PriorityOff {
		c.context.Rank = criticality.Rank{Level: criticality.SheddablePlus}
	}
	return err
}

func (g *Gateway) policyCall(c *call, r *http.Request, requestURI string) policy.Call {
	path, _, _ := strings.Cut(requestURI, "?")
	incoming := ""
	if c.listener == Mesh && !c.orphan {
		incoming = c.context.Rank.Level.String()
	}
	return policy.Call{
		Service:      c.service.Name,
		Method:       r.Method,
		Path:         path,
		Caller:       c.context.Caller,
		Zone:         g.settings.Zone,
		IncomingRank: incoming,
		Repeatable:   c.key == "" && c.service.Repeatable(r.Method),
		Keyed:        c.key != "",
		External:     c.listener == Edge,
		Hops:         int(c.context.Hops),
		TimeoutMs:    int(time.Until(c.context.Deadline).Milliseconds()),
	}
}

// shedLevelName returns the level of the most important calls that are shed.
func shedLevelName(threshold uint16) string {
	if threshold >= criticality.RankCount {
		return ""
	}
	return criticality.RankOf(threshold).Level.String()
}

// whenToComeBack lets the policy say when the caller may come back.
func (g *Gateway) whenToComeBack(c *call, load policy.Load, failure *problem.Problem) *problem.Problem {
	outcome := policy.Outcome{Status: failure.Status, Executed: string(failure.Executed), Reason: string(failure.Reason)}
	seconds, err := c.service.Policy.RefuseSeconds(c.policy, load, outcome)
	g.notEvaluated(c, err)
	return failure.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// ingress returns the node to ask for grants; orphans have none.
func (c *call) ingress() (netip.AddrPort, bool) {
	return c.context.Ingress, !c.orphan && c.context.Ingress.IsValid()
}
