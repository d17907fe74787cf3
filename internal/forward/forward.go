// Package forward takes requests where they begin: it finds the route, chooses
// the home that is to run the request, sends it elsewhere while nothing has run
// or the route allows a repetition, and answers with the target's whole answer
// or a typed refusal.
package forward

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/apikey"
	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/routepolicy"
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
	// Retries bounds the repetitions of requests to each service.
	Retries retrybudget.AllowanceConfig
	// WaitShare is the part of a route's objective for which a request may wait
	// for room at a target, and InnerWaitShare that for a call of a running
	// request.
	WaitShare, InnerWaitShare float64
	// ParentOf returns the id of the request that made a call, false if the call's
	// id does not tell.
	ParentOf func(id string) (string, bool)
}

// Dependencies are what a forwarder works with.
type Dependencies struct {
	Routes    *routetable.Holder
	Directory *registry.Directory
	// Local runs calls at the target beside the node.
	Local LocalHome
	// Policies are those of the kinds of routes.
	Policies *routepolicy.Holder
	// Quarantine knows requests that crash targets.
	Quarantine Quarantine
	// Keys decides on the API keys of requests, and Limits on the limits of tenants.
	Keys   Keys
	Limits Limits
	// Levels hold the shed thresholds of routes.
	Levels   *pressure.Levels
	Peers    Peers
	Observer Observer
	Log      *eventlog.Log
	Now      func() time.Time
}

// Quarantine knows requests that crash targets. It is safe for concurrent use.
type Quarantine interface {
	// Empty reports whether there are no suspects.
	Empty() bool
	// Standing returns what is known of a request.
	Standing(hash fingerprint.Fingerprint) quarantine.Standing
	// Answered notes that a target answered a request.
	Answered(call quarantine.OpenCall)
}

// Keys decides on the API keys of requests. It is safe for concurrent use.
type Keys interface {
	// Check decides on a request to a route that is not public, by the values of its key
	// header. It may wait.
	Check(ctx context.Context, keys []string, arrived time.Time) apikey.Decision
}

// Limits holds tenants to their limits. It is safe for concurrent use.
type Limits interface {
	// Admit decides on a request of the tenant. It may wait.
	Admit(ctx context.Context, tenant *routetable.Tenant) ratelimit.Decision
	// Return gives back the permit of a request that has not run and will not.
	Return(tenant *routetable.Tenant, decision ratelimit.Decision)
}

// LocalHome runs calls at the target beside the node and knows what runs there.
type LocalHome interface {
	peering.Home
	// Running returns a request that the target works on.
	Running(id string) (guard.Running, bool)
	// Abandoned reports whether nobody waits any more for the answer to a request that
	// the target may still work on.
	Abandoned(id string) bool
	// CountCall notes that such a request makes a call of the route, and returns how
	// many it has made by now.
	CountCall(id, route string) int
	// RecordCallFailure notes that a call that such a request made brought no success.
	RecordCallFailure(id string)
}

// Peers reach the homes beside other targets.
type Peers interface {
	// Call has the home at the address run the call. The error is a *peering.Error.
	Call(ctx context.Context, address string, call *peering.Call) (*peering.Reply, error)
	// Ping asks the node at the address whether it is there.
	Ping(ctx context.Context, address string) error
	// Forget closes the idle connections to a node.
	Forget(address string)
}

// Observer sees what becomes of requests, for metrics.
type Observer interface {
	// Finished sees a request that ended. Refusals and failures have a reason.
	Finished(route string, status int, reason string, duration time.Duration)
	// Identified sees what was decided on a request by its API key and its tenant's limit.
	// The tenant is empty where the key was refused; an admitted request has no reason.
	Identified(tenant string, reason problem.Reason)
	// BudgetCounted sees what the retry budget of a service counted. The cause of what is
	// sent for the first time is empty.
	BudgetCounted(service string, kind BudgetEvent, cause peering.Reason)
	// Stalled sees that the process stood still for so long.
	Stalled(duration time.Duration)
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	config    Config
	routes    *routetable.Holder
	directory *registry.Directory
	local     LocalHome
	policies  *routepolicy.Holder
	levels    *pressure.Levels
	suspects  Quarantine
	keys      Keys
	limits    Limits
	peers     Peers
	observer  Observer
	log       *eventlog.Log
	now       func() time.Time

	homes    homeTable
	splitter routetable.Splitter
	stopping atomic.Bool
	// end is the moment by which all requests must have ended.
	end      ending.ShutdownTime
	inFlight atomic.Int64
	// made is when the forwarder was made, and arrived how much later the last
	// request came. Both are told by the steady clock.
	made    time.Time
	arrived atomic.Int64

	budgetMutex sync.Mutex
	budgets     map[string]*retrybudget.Allowance
}

// New returns a forwarder.
func New(config Config, parts Dependencies) *Forwarder {
	return &Forwarder{
		config:    config,
		routes:    parts.Routes,
		directory: parts.Directory,
		local:     parts.Local,
		policies:  parts.Policies,
		levels:    parts.Levels,
		suspects:  parts.Quarantine,
		keys:      parts.Keys,
		limits:    parts.Limits,
		peers:     parts.Peers,
		observer:  parts.Observer,
		log:       parts.Log,
		now:       parts.Now,
		made:      parts.Now(),
		budgets:   make(map[string]*retrybudget.Allowance),
	}
}

// Run watches over the homes until the context ends.
func (f *Forwarder) Run(ctx context.Context) { f.watch(ctx) }

// Stop makes every answer ask its caller to close the connection.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// OtherHomesServe reports whether the service of the target beside the node would be
// served without it. Of homes that are all about to stop the one with the least
// address counts, so that they don't rely on each other.
func (f *Forwarder) OtherHomesServe() bool {
	now := f.now()
	for _, home := range f.directory.Homes(f.config.Service) {
		if home.Address == f.config.Address {
			continue
		}
		state := f.homes.state(home.Address)
		if state.usable(home, now) && (!state.isStopping(now) || home.Address < f.config.Address) {
			return true
		}
	}
	return false
}

// SetShutdownDeadline refuses later requests that may not have ended by the moment.
func (f *Forwarder) SetShutdownDeadline(moment time.Time) { f.end.Set(moment) }

// PeerAlive notes a sign of life of a peer: one that is passed over is asked at once
// whether calls reach it.
func (f *Forwarder) PeerAlive(address string) {
	if state := f.homes.known(address); state != nil {
		state.askNow(f.now())
	}
}

// InterimReceived notes that a peer told that it runs a call, which is a sign of life.
func (f *Forwarder) InterimReceived(address string) {
	if state := f.homes.known(address); state != nil {
		state.hear(f.now())
	}
}

// Suspected returns the number of homes that are passed over.
func (f *Forwarder) Suspected() int {
	suspected := 0
	for _, state := range f.homes.all() {
		if state.isSuspected() {
			suspected++
		}
	}
	return suspected
}

// RetryBudgetLeft returns the repetitions that are left to the service with the
// fewest, and false before the first request.
func (f *Forwarder) RetryBudgetLeft() (float64, bool) {
	f.budgetMutex.Lock()
	defer f.budgetMutex.Unlock()
	least, known := math.Inf(1), false
	for _, budget := range f.budgets {
		least, known = min(least, budget.Balance()), true
	}
	return least, known
}

// InFlight returns the number of requests that wait for their answer.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// IdleTime returns how long ago the last request came, or the forwarder was
// made.
func (f *Forwarder) IdleTime() time.Duration {
	return f.now().Sub(f.made) - time.Duration(f.arrived.Load())
}

// request is one request on its way.
type request struct {
	id      string
	route   *routetable.Route
	service string
	// tenant holds the request's API key, nil if it needs none, and permit is the decision
	// by the tenant's limit.
	tenant   *routetable.Tenant
	permit   ratelimit.Decision
	call     *peering.Call
	arrived  time.Time
	deadline time.Time
	// policyCall holds what policies see of the request.
	policyCall policy.Call
	// attempts counts the targets that may have run the request, offers the homes
	// that it was offered to, and arrivals the targets that it may have reached.
	attempts, offers, arrivals int
	// payment is that of the last offer if it was a repetition.
	payment retrybudget.Charge
	// excluded are the homes that it is not offered to again, and rejected those
	// whose targets turned it away, which are offered to again once no other is left.
	excluded, rejected []*registry.Home
	// errorAnswer is an answer in which a target says that it failed.
	errorAnswer *peering.Reply
	rank        criticality.Rank
	// inner tells that a request at the target beside the node made the call.
	inner bool
	// parent is the id of that request, parentRoute its route, and callNumber how
	// many calls of the route it had made with this one. Wanted ends when nobody waits
	// for that request any more.
	parent, parentRoute string
	callNumber          int
	wanted              context.Context
	// hash is the request's fingerprint, worked out only while there are suspects.
	hash fingerprint.Fingerprint
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
		f.returnPermit(q, failure)
		f.refuse(w, q, failure)
		return
	}
	ctx, cancel := clock.WithTimeout(r.Context(), q.deadline.Sub(f.now()))
	defer cancel()
	if q.inner {
		defer context.AfterFunc(q.wanted, cancel)()
	}
	reply, failure := f.run(ctx, q)
	if q.inner && (failure != nil || reply.Status >= http.StatusMultipleChoices) {
		f.local.RecordCallFailure(q.parent)
	}
	switch {
	case r.Context().Err() != nil:
		f.abandoned(q)
	case failure != nil:
		f.returnPermit(q, failure)
		f.refuse(w, q, failure)
	default:
		f.answer(w, q, reply)
	}
}

func (f *Forwarder) problem(reason problem.Reason, executed problem.Executed, step, detail string) *problem.Problem {
	return problem.New(reason, executed, step, f.config.Node, detail)
}
