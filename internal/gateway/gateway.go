// Package gateway serves calls. It creates or reads the call's context, applies
// the service's policy and shed threshold, claims the idempotency key of a call that
// must run at most once, sends the call to the home node of a target, retries it
// where that is allowed, and returns either a complete response or a problem
// document.
package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resend"
	"github.com/lugspur/lugspur/internal/shed"
)

// Listener is the name of the listener that accepted a call.
type Listener string

// The listeners for calls.
const (
	// Edge accepts calls from external, untrusted callers.
	Edge Listener = "edge"
	// Mesh accepts calls from targets.
	Mesh Listener = "mesh"
)

// Settings are the node's settings for serving calls.
type Settings struct {
	// Node and Zone are the names of the node and its zone.
	Node, Zone string
	// Peer is the node's own peer address, where it serves retry grants.
	Peer netip.AddrPort
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxConcurrent is the maximum number of concurrent calls in the node.
	MaxConcurrent int64
	// ReadBodyTimeout is the timeout for reading a request body.
	ReadBodyTimeout time.Duration
	// DefaultTimeout and MaxTimeout are the default and maximum timeout of a call.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxRetries is the maximum number of retries of one request across its
	// whole call chain, unless the service sets its own.
	MaxRetries int
	// ShedLevels enables the refusal of calls that a home node would shed anyway.
	ShedLevels bool
	// DisablePriority gives all calls the same rank, except mesh calls without a
	// context. It is meant for experiments.
	DisablePriority bool
}

// RetryBudgets holds the retry budgets of the requests that entered the cluster at
// this node.
type RetryBudgets interface {
	// Open creates a budget for the request that lasts until Close is called or it
	// expires. It returns false if there are too many budgets; the request then gets
	// no retry.
	Open(request callcontext.RequestID, retries int, expiry time.Time) bool
	// Close removes the request's budget; later retries are denied.
	Close(request callcontext.RequestID)
}

// RetryGrants requests retries from the ingress node of a request.
type RetryGrants interface {
	// RequestRetry reports whether the ingress node grants one retry, which it
	// charges to the request's retry budget.
	RequestRetry(ctx context.Context, ingress netip.AddrPort, request callcontext.RequestID) (bool, error)
}

// RetryRatio limits the node's retries to a share of its successful calls.
type RetryRatio interface {
	// RecordSuccess records a successful call.
	RecordSuccess()
	// Allow reports whether a retry is allowed and, if so, counts it.
	Allow() bool
}

// Observer receives the outcomes of calls, for metrics.
type Observer interface {
	// RecordResponse records a call that received a response from a target.
	RecordResponse(listener Listener, service string, status int, duration time.Duration)
	// RecordProblem records a call that was refused or failed.
	RecordProblem(listener Listener, service string, failure *problem.Problem, duration time.Duration)
	// RecordRetry records a retry.
	RecordRetry(service string)
}

// Gateway serves calls. It is safe for concurrent use.
type Gateway struct {
	settings     Settings
	router       *Router
	homes        *home.Manager
	homeClient   *home.Client
	shed         *shed.Table
	retryBudgets RetryBudgets
	retryGrants  RetryGrants
	retryRatio   RetryRatio
	claims       Claims
	resends      *resend.Table
	observer     Observer
	log          *logrus.Entry
	now          func() time.Time

	ready    atomic.Bool
	closing  atomic.Bool
	inFlight atomic.Int64
	// lastArrival is when the last call arrived at the edge listener, in
	// nanoseconds since 1970 (Unix time).
	lastArrival atomic.Int64
}

// Dependencies are the dependencies of a gateway.
type Dependencies struct {
	Router       *Router
	Homes        *home.Manager
	HomeClient   *home.Client
	Shed         *shed.Table
	RetryBudgets RetryBudgets
	RetryGrants  RetryGrants
	RetryRatio   RetryRatio
	Claims       Claims
	Observer     Observer
	Log          *logrus.Entry
	Now          func() time.Time
}

// New returns a gateway that refuses calls until SetReady(true) is called.
func New(settings Settings, dependencies Dependencies) *Gateway {
	return &Gateway{
		settings:     settings,
		router:       dependencies.Router,
		homes:        dependencies.Homes,
		homeClient:   dependencies.HomeClient,
		shed:         dependencies.Shed,
		retryBudgets: dependencies.RetryBudgets,
		retryGrants:  dependencies.RetryGrants,
		retryRatio:   dependencies.RetryRatio,
		claims:       dependencies.Claims,
		resends:      resend.NewTable(dependencies.Now),
		observer:     dependencies.Observer,
		log:          dependencies.Log,
		now:          dependencies.Now,
	}
}

// SetReady sets whether the node has a complete view of the configuration.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Ready reports whether the node has a complete view of the configuration.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// SetClosing adds "Connection: close" to all further responses, to prepare a planned
// shutdown.
func (g *Gateway) SetClosing() { g.closing.Store(true) }

// InFlight returns the number of calls in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// LastArrival returns when the last call arrived at the edge listener, or the
// zero time if there was none.
func (g *Gateway) LastArrival() time.Time {
	nanoseconds := g.lastArrival.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Handler returns the handler for the calls of one listener. The first segment
// of the path names the service; the rest is passed to the target. The handler uses
// no http.ServeMux, which would redirect paths that are not clean instead of passing
// them on.
func (g *Gateway) Handler(listener Listener) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.serve(w, r, listener)
	})
}

// splitPath returns the service, which is the first segment of a call's path, and
// the request URI for the target: the rest of the path and the query, escaped as
// the caller sent it.
func splitPath(u *url.URL) (service, requestURI string) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if u.RawQuery != "" {
		return service, "/" + rest + "?" + u.RawQuery
	}
	return service, "/" + rest
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, listener Listener) {
	started := g.now()
	if listener == Edge {
		g.lastArrival.Store(started.UnixNano())
	}
	service, requestURI := splitPath(r.URL)
	inFlight := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	g.setBodyDeadline(w, r)
	call, failure := g.receive(w, r, incomingCall{listener: listener, service: service, requestURI: requestURI, started: started, inFlight: inFlight})
	if failure != nil {
		discardBody(w, r)
		g.respondWithProblem(w, listener, service, call, failure, started)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.context.Deadline)
	defer cancel()
	reply, failure := g.run(ctx, call)
	if failure != nil {
		g.respondWithProblem(w, listener, service, call, failure, started)
		return
	}
	defer reply.Close()
	reply.Header.Set(callcontext.RequestIDHeader, call.context.RequestID.String())
	g.observer.RecordResponse(listener, service, reply.Status, g.now().Sub(started))
	reply.WriteTo(w, call.context.Deadline)
}

// respondWithProblem responds with the problem document of a call that was refused or
// failed. The call is nil if its service is unknown or the node is not ready.
func (g *Gateway) respondWithProblem(w http.ResponseWriter, listener Listener, service string, call *call, failure *problem.Problem, started time.Time) {
	if call != nil {
		failure.RequestID = call.context.RequestID.String()
		w.Header().Set(callcontext.RequestIDHeader, failure.RequestID)
	} else {
		service = ""
	}
	g.observer.RecordProblem(listener, service, failure, g.now().Sub(started))
	if g.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		g.log.WithFields(logrus.Fields{
			"step":       failure.Step,
			"peer":       failure.Peer,
			"request_id": failure.RequestID,
			"service":    service,
			"executed":   failure.Executed,
		}).WithError(failure).Debug("call refused")
	}
	failure.Write(w)
}

// shedThreshold returns the lowest shed threshold of the called service and its
// direct and indirect dependencies, and the service that has it.
func (g *Gateway) shedThreshold(call *call) (threshold uint16, service string) {
	now := g.now()
	service = call.service.Name
	threshold = g.shed.Threshold(service, now)
	for _, dependency := range call.service.Dependencies {
		if dependencyThreshold := g.shed.Threshold(dependency, now); dependencyThreshold < threshold {
			threshold, service = dependencyThreshold, dependency
		}
	}
	return threshold, service
}

// cohortPeriod is how long a caller stays in the same cohort. The cohort determines
// the caller's rank within a criticality level.
const cohortPeriod = time.Hour

func cohortOf(caller string, now time.Time) uint8 {
	return criticality.CohortOf(caller, uint64(now.Unix()/int64(cohortPeriod/time.Second)))
}
