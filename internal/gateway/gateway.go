// Package gateway serves calls: it makes or reads the call's context, admits
// it by policy and shed level, claims it if it must run at most once, has it
// run by the home of a target, sends it again where that is allowed, and
// answers completely or with a typed refusal.
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

// Listener names the listener that a call came in by.
type Listener string

// The listeners for calls.
const (
	// Edge takes the calls of strangers.
	Edge Listener = "edge"
	// Mesh takes the calls of targets.
	Mesh Listener = "mesh"
)

// Settings are the parts of the node's settings that calls depend on.
type Settings struct {
	// Node and Zone name the node and its zone.
	Node, Zone string
	// Peer is the node's own peer address, at which it gives grants.
	Peer netip.AddrPort
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes int64
	// MaxConcurrent bounds the calls in the node at one time.
	MaxConcurrent int64
	// ReadBodyTimeout bounds the time to read a call's body.
	ReadBodyTimeout time.Duration
	// DefaultTimeout and MaxTimeout bound the time of a call.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxRetries bounds the retries of one request across the whole chain,
	// where the service says nothing.
	MaxRetries int
	// ShedLevels refuses calls here that homes further on would refuse.
	ShedLevels bool
	// PriorityOff gives all calls one rank, for experiments.
	PriorityOff bool
}

// Budgets holds the retry budgets of the requests that entered by this node.
type Budgets interface {
	// Open gives the request a budget until it is closed or expires. It returns
	// false when there is no room for one; the request then gets no retry.
	Open(request callcontext.RequestID, retries int, expiry time.Time) bool
	// Close ends the request's budget; nothing is granted after that.
	Close(request callcontext.RequestID)
}

// Grants asks the ingress node of a request for a retry.
type Grants interface {
	RequestRetry(ctx context.Context, ingress netip.AddrPort, request callcontext.RequestID) (bool, error)
}

// Ratio holds the node's retries to a share of its successes.
type Ratio interface {
	// Success notes a call that was answered.
	Success()
	// Allow reports whether a retry is allowed now and counts it.
	Allow() bool
}

// Observer sees what becomes of calls, for metrics.
type Observer interface {
	// Answered sees an answered call.
	Answered(listener Listener, service string, status int, duration time.Duration)
	// Refused sees a refused or failed call.
	Refused(listener Listener, service string, failure *problem.Problem, duration time.Duration)
	// Retried sees a retry.
	Retried(service string)
}

// Gateway serves calls. It is safe for concurrent use.
type Gateway struct {
	settings Settings
	router   *Router
	homes    *home.Manager
	peers    *home.Client
	shed     *shed.Table
	budgets  Budgets
	grants   Grants
	ratio    Ratio
	claims   Claims
	resent   *resend.Table
	observer Observer
	log      *logrus.Entry
	now      func() time.Time

	ready    atomic.Bool
	closing  atomic.Bool
	inFlight atomic.Int64
	// lastArrival is when the last call came in by the edge, in nanoseconds since
	// 1970.
	lastArrival atomic.Int64
}

// Parts are what a gateway works with.
type Parts struct {
	Router   *Router
	Homes    *home.Manager
	Peers    *home.Client
	Shed     *shed.Table
	Budgets  Budgets
	Grants   Grants
	Ratio    Ratio
	Claims   Claims
	Observer Observer
	Log      *logrus.Entry
	Now      func() time.Time
}

// New returns a gateway that is not ready: it refuses calls until SetReady.
func New(settings Settings, parts Parts) *Gateway {
	return &Gateway{
		settings: settings,
		router:   parts.Router,
		homes:    parts.Homes,
		peers:    parts.Peers,
		shed:     parts.Shed,
		budgets:  parts.Budgets,
		grants:   parts.Grants,
		ratio:    parts.Ratio,
		claims:   parts.Claims,
		resent:   resend.NewTable(parts.Now),
		observer: parts.Observer,
		log:      parts.Log,
		now:      parts.Now,
	}
}

// SetReady says whether the node has a complete view of the configuration.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Ready reports what SetReady said last.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// SetClosing makes every answer ask its caller to close the connection, ahead
// of a planned stop.
func (g *Gateway) SetClosing() { g.closing.Store(true) }

// InFlight returns the number of calls in the gateway.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// LastArrival returns when the last call came in by the edge listener; the zero
// time if none has.
func (g *Gateway) LastArrival() time.Time {
	nanoseconds := g.lastArrival.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Handler serves the calls of one listener. The first part of the path names
// the service and the rest is the target's. There is no ServeMux in between,
// because it would answer unusual paths with a redirect in the target's place.
func (g *Gateway) Handler(listener Listener) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.serve(w, r, listener)
	})
}

// splitPath returns the first part of a call's path and the rest as the target
// sees it, with the query, escaped as the caller sent it.
func splitPath(u *url.URL) (first, requestURI string) {
	first, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if u.RawQuery != "" {
		return first, "/" + rest + "?" + u.RawQuery
	}
	return first, "/" + rest
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
	g.boundBody(w, r)
	call, failure := g.receive(w, r, arrival{listener: listener, service: service, requestURI: requestURI, started: started, inFlight: inFlight})
	if failure != nil {
		leaveBody(w, r)
		g.refuse(w, listener, service, call, failure, started)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.context.Deadline)
	defer cancel()
	reply, failure := g.run(ctx, call)
	if failure != nil {
		g.refuse(w, listener, service, call, failure, started)
		return
	}
	defer reply.Close()
	reply.Header.Set(callcontext.RequestIDHeader, call.context.RequestID.String())
	g.observer.Answered(listener, service, reply.Status, g.now().Sub(started))
	reply.WriteTo(w, call.context.Deadline)
}

// refuse answers with the problem.
func (g *Gateway) refuse(w http.ResponseWriter, listener Listener, service string, call *call, failure *problem.Problem, started time.Time) {
	if call != nil {
		failure.RequestID = call.context.RequestID.String()
		w.Header().Set(callcontext.RequestIDHeader, failure.RequestID)
	} else {
		service = ""
	}
	g.observer.Refused(listener, service, failure, g.now().Sub(started))
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

// shedThreshold returns the lowest shed threshold of the service and of those
// that a call to it needs.
func (g *Gateway) shedThreshold(call *call) (threshold uint16, service string) {
	now := g.now()
	service = call.service.Name
	threshold = g.shed.Threshold(service, now)
	for _, required := range call.service.Requires {
		if next := g.shed.Threshold(required, now); next < threshold {
			threshold, service = next, required
		}
	}
	return threshold, service
}

// cohortEpoch is how long the order of callers inside a level stays the same.
const cohortEpoch = time.Hour

func cohortOf(caller string, now time.Time) uint8 {
	return criticality.CohortOf(caller, uint64(now.Unix()/int64(cohortEpoch/time.Second)))
}
