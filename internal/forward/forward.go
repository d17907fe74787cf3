// Package forward routes requests at the entry node, the node that receives them from the
// caller. It matches the route and chooses a home, which is a node with a local target, to
// run the request. It offers the request to another home as long as no target has executed
// it or the route allows a retry. The caller gets the target's complete response or a
// problem document.
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
	"github.com/lugspur/lugspur/internal/content"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fairshare"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/returnplace"
	"github.com/lugspur/lugspur/internal/routepolicy"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shortage"
)

// Config holds the settings of a forwarder.
type Config struct {
	// Node, Zone and Service are the names of the node, of its zone and of the service of
	// its local target.
	Node, Zone, Service string
	// Address is the node's own address as listed in the directory.
	Address string
	Headers callheader.Names
	// DefaultTimeout bounds a request if neither its caller nor its route sets a timeout.
	DefaultTimeout time.Duration
	// Retries configures the retry budget of each service.
	Retries retrybudget.AllowanceConfig
	// WaitShare is the maximum queue time of a request as a fraction of the route's
	// objective, and NestedWaitShare the same for nested calls, which are calls made by a
	// running request.
	WaitShare, NestedWaitShare float64
	// ParentOf returns the ID of the request that made a call, and false if the ID of the
	// call does not contain it.
	ParentOf func(id string) (string, bool)
}

// Dependencies holds the dependencies of a forwarder.
type Dependencies struct {
	Routes    *routetable.Holder
	Directory *registry.Directory
	// Local runs calls at the local target.
	Local LocalHome
	// Policies holds the policy of each kind of route.
	Policies *routepolicy.Holder
	// Quarantine tracks requests that crash targets.
	Quarantine Quarantine
	// Keys checks the API keys of requests, and Limits the rate limits of tenants.
	Keys   Keys
	Limits Limits
	// Levels holds the shed thresholds of routes.
	Levels *pressure.Table
	// Places gives refused requests a time to return; nil means that none is given.
	Places *returnplace.Schedule
	// Shortages holds the thresholds of services, and Costs the services that requests of a
	// route need; nil means that requests are refused because of their route's threshold only.
	Shortages *shortage.Table
	Costs     *downstream.Table
	// FairShares assigns the cohorts of tenants' requests; nil derives them from request IDs.
	FairShares *fairshare.Estimator
	// Memory bounds the bytes of requests and responses; nil means no bound.
	Memory   *memorybudget.Budget
	Peers    Peers
	Observer Observer
	Log      *eventlog.Log
	Now      func() time.Time
}

// Quarantine tracks requests that crash targets. It is safe for concurrent use.
type Quarantine interface {
	// Empty reports whether there are no suspects.
	Empty() bool
	// State returns the crashes and the quarantine state of a request.
	State(hash fingerprint.Fingerprint) quarantine.State
	// RecordAnswer records that a target answered a request.
	RecordAnswer(call quarantine.Call)
}

// Keys checks the API keys of requests. It is safe for concurrent use.
type Keys interface {
	// Check checks a request to a route that is not public, given the values of its key
	// header. It may block.
	Check(ctx context.Context, keys []string, arrived time.Time) apikey.Decision
}

// Limits enforces the rate limits of tenants. It is safe for concurrent use.
type Limits interface {
	// Admit decides on a request of the tenant. It may block.
	Admit(ctx context.Context, tenant *routetable.Tenant) ratelimit.Decision
	// Return returns the permit of a request that was not and will not be executed.
	Return(tenant *routetable.Tenant, decision ratelimit.Decision)
}

// LocalHome runs calls at the local target and tracks the requests that run there.
type LocalHome interface {
	peering.Home
	// Running returns a request that the target is processing.
	Running(id string) (guard.Running, bool)
	// Abandoned reports whether the caller of a request has disconnected while the target
	// may still be processing the request.
	Abandoned(id string) bool
	// CountCall counts a call of the route that a running request makes, and returns the
	// number of such calls so far.
	CountCall(id, route string) int
	// RecordCallSent records the service to which a call of a running request is sent.
	RecordCallSent(id, route, service string)
	// RecordCallFailure records that a call made by a running request failed.
	RecordCallFailure(id string)
}

// Peers sends calls and pings to other nodes.
type Peers interface {
	// Call runs the call at the home with the address. Errors are of type *peering.Error.
	Call(ctx context.Context, address string, call *peering.Call) (*peering.Reply, error)
	// Ping checks that the node at the address responds.
	Ping(ctx context.Context, address string) error
	// CloseIdle closes the idle connections to a node.
	CloseIdle(address string)
}

// Observer is notified of the results of requests, for metrics.
type Observer interface {
	// RequestFinished is called when a request ends. Refusals and failures have a reason.
	RequestFinished(route string, status int, reason string, duration time.Duration)
	// TenantChecked is called with the result of the API key and rate limit checks of a
	// request. The tenant is empty if the key was refused; the reason is empty if the
	// request was admitted.
	TenantChecked(tenant string, reason problem.Reason)
	// BudgetCounted is called for each event that the retry budget of a service counts. The
	// cause is empty for first sends.
	BudgetCounted(service string, kind BudgetEvent, cause peering.Reason)
	// ZoneLeft is called when a home in another zone is chosen for a request.
	ZoneLeft()
	// Stalled is called after the whole process has stalled for the duration.
	Stalled(duration time.Duration)
}

// Forwarder serves requests at the entry node. It is safe for concurrent use.
type Forwarder struct {
	config     Config
	routes     *routetable.Holder
	directory  *registry.Directory
	local      LocalHome
	policies   *routepolicy.Holder
	levels     *pressure.Table
	places     *returnplace.Schedule
	shortages  *shortage.Table
	costs      *downstream.Table
	fairShares *fairshare.Estimator
	quarantine Quarantine
	keys       Keys
	limits     Limits
	memory     *memorybudget.Budget
	peers      Peers
	observer   Observer
	log        *eventlog.Log
	now        func() time.Time

	homes     homeTable
	announced announcedTargets
	returns   returnSchedule
	splitter  routetable.Splitter
	stopping  atomic.Bool
	// shutdownDeadline is the time by which all requests must have finished.
	shutdownDeadline ending.ShutdownTime
	readerPace       ending.ReaderPace
	inFlight         atomic.Int64
	// created is when the forwarder was created, and lastArrival the time from created to
	// the arrival of the last request, in nanoseconds. Both use the monotonic clock.
	created     time.Time
	lastArrival atomic.Int64

	budgetMutex sync.Mutex
	budgets     map[string]*retrybudget.Allowance
}

// New returns a forwarder.
func New(config Config, dependencies Dependencies) *Forwarder {
	return &Forwarder{
		config:     config,
		routes:     dependencies.Routes,
		directory:  dependencies.Directory,
		local:      dependencies.Local,
		policies:   dependencies.Policies,
		levels:     dependencies.Levels,
		places:     dependencies.Places,
		shortages:  dependencies.Shortages,
		costs:      dependencies.Costs,
		fairShares: dependencies.FairShares,
		quarantine: dependencies.Quarantine,
		keys:       dependencies.Keys,
		limits:     dependencies.Limits,
		memory:     dependencies.Memory,
		peers:      dependencies.Peers,
		observer:   dependencies.Observer,
		log:        dependencies.Log,
		now:        dependencies.Now,
		created:    dependencies.Now(),
		budgets:    make(map[string]*retrybudget.Allowance),
	}
}

// Run monitors the homes until the context ends.
func (f *Forwarder) Run(ctx context.Context) { f.monitorHomes(ctx) }

// Stop adds the header Connection: close to the responses to all later requests.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// AnnounceShutdown limits all later requests to the given time, by which their callers receive a
// response.
func (f *Forwarder) AnnounceShutdown(at time.Time) { f.shutdownDeadline.Announce(at) }

// OtherHomesServe reports whether another home can serve the service of the local target.
// A home that is stopping counts only if its address is smaller than that of this node, so
// that no two stopping homes rely on each other.
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

// SetShutdownDeadline makes the forwarder refuse new requests that may not finish by the
// given time.
func (f *Forwarder) SetShutdownDeadline(deadline time.Time) { f.shutdownDeadline.Set(deadline) }

// PeerAlive records a liveness signal of a peer: a suspected home is probed at once to
// check whether calls reach it.
func (f *Forwarder) PeerAlive(address string) {
	if state := f.homes.find(address); state != nil {
		state.probeNow(f.now())
	}
}

// InterimReceived records that a peer sent an interim response to a call, which is a
// liveness signal.
func (f *Forwarder) InterimReceived(address string) {
	if state := f.homes.find(address); state != nil {
		state.markSeen(f.now())
	}
}

// Suspected returns the number of suspected homes, which get no requests.
func (f *Forwarder) Suspected() int {
	suspected := 0
	for _, state := range f.homes.all() {
		if state.isSuspected() {
			suspected++
		}
	}
	return suspected
}

// RetryBudgetLeft returns the smallest retry budget left of all services, and false before
// the first request.
func (f *Forwarder) RetryBudgetLeft() (float64, bool) {
	f.budgetMutex.Lock()
	defer f.budgetMutex.Unlock()
	least, known := math.Inf(1), false
	for _, budget := range f.budgets {
		least, known = min(least, budget.Balance()), true
	}
	return least, known
}

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// IdleTime returns the time since the last request arrived, or since the forwarder was
// created if there was none.
func (f *Forwarder) IdleTime() time.Duration {
	return f.now().Sub(f.created) - time.Duration(f.lastArrival.Load())
}

// request is the state of one request.
type request struct {
	id      string
	route   *routetable.Route
	service string
	// tenant is the owner of the request's API key, nil if the request needs none, and
	// permit is the rate limit's decision.
	tenant   *routetable.Tenant
	permit   ratelimit.Decision
	call     *peering.Call
	arrived  time.Time
	deadline time.Time
	// policyCall holds the fields of the request that policies read.
	policyCall policy.Call
	// content identifies the request and its repetitions by its caller.
	content content.Key
	// attempts counts the targets that may have executed the request, offers the homes
	// that it was offered to, and arrivals the targets that may have received it.
	attempts, offers, arrivals int
	// charge is the amount that the last offer took from the retry budget if it was a
	// retry.
	charge retrybudget.Charge
	// excluded are the homes that the request is not offered to again. rejected are the
	// homes whose targets rejected it; they become eligible again once no other is left.
	excluded, rejected []*registry.Home
	// rateRefusals counts the offers that were refused because of a target's rate limit.
	rateRefusals int
	move         callMove
	// errorReply is the last response that reports an error of the target itself.
	errorReply *peering.Reply
	memory     requestMemory
	// callerTimeout is the timeout that the caller sent, zero if it sent none.
	callerTimeout time.Duration
	rank          criticality.Rank
	// nested is set if a request that runs at the local target made this one.
	nested bool
	// parent is the ID of that request, parentRoute its route, and callNumber the number
	// of calls of this route that it has made, including this one. parentContext is
	// canceled when the caller of that request has disconnected.
	parent, parentRoute string
	callNumber          int
	parentContext       context.Context
	// hash is the request's fingerprint, computed only while there are suspects.
	hash fingerprint.Fingerprint
	// retryAfter is the shortest retry delay that a home proposed.
	retryAfter time.Duration
	// lastHome is the address of the home that the request was offered to last, and
	// lastReason the reason why that offer was not successful.
	lastHome   string
	lastReason peering.Reason
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := f.now()
	f.lastArrival.Store(int64(started.Sub(f.created)))
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, failure := f.receive(w, r, started)
	defer q.memory.release()
	if failure != nil {
		f.returnPermit(q, failure)
		if !q.memory.bodyRefused {
			limitUnreadBody(w, r)
		}
		f.writeProblem(w, q, failure)
		q.discardBody(w, r)
		return
	}
	ctx, cancel := clock.WithTimeout(r.Context(), f.shutdownDeadline.Limit(q.deadline).Sub(f.now()))
	defer cancel()
	if q.nested {
		defer clock.AfterFunc(q.parentContext, cancel)()
	}
	reply, failure := f.run(ctx, q)
	q.releaseBody()
	if failure == nil {
		failure = f.transferProblem(q, reply)
	}
	if q.nested && (failure != nil || reply.Status >= http.StatusMultipleChoices) {
		f.local.RecordCallFailure(q.parent)
	}
	switch {
	case failure != nil && r.Context().Err() != nil:
		f.writeAbandoned(w, q, failure)
	case failure != nil:
		f.returnPermit(q, failure)
		f.writeProblem(w, q, failure)
	default:
		f.writeResponse(w, q, reply)
	}
}

func (f *Forwarder) problem(reason problem.Reason, executed problem.Executed, step, detail string) *problem.Problem {
	return problem.New(reason, executed, step, f.config.Node, detail)
}
