// Package home is the part of a node that guards targets. Every target has one
// home node, which counts the target's work exactly, orders the calls that wait
// for it by criticality and sheds the least important first.
//
// For a short time after the membership changed, two nodes may both serve as
// the home of a target. Each then keeps to a limit of its own below the
// target's slots, a new one to half of them, so that the target is never sent
// more than twice its slots.
package home

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/transport"
)

// Step is the name of this step in problems and errors.
const Step = "home"

// Call is a call with what the home needs to know of it.
type Call struct {
	transport.Call
	Context callcontext.Context
}

// Reply is a target's complete answer, or the beginning of a large one.
type Reply struct {
	*transport.Response
	// Load is the home's state when the answer came.
	Load Load
}

// Load is what a home tells the nodes that send it calls.
type Load struct {
	InFlight   int
	Limit      int
	Queued     int
	QueueDelay time.Duration
	// Threshold is the rank key from which on calls are refused upstream.
	Threshold uint16
	// Version orders the loads of one target: the home's clock in milliseconds
	// since 1970.
	Version uint64
}

// Settings are the parts of the node's settings that homes use.
type Settings struct {
	// Queue bounds the calls that wait for one target.
	Queue scheduler.Config
	// MaxBuffered is the largest answer, in bytes, that is held whole.
	MaxBuffered int64
	// MayServe reports whether this node may act as a home now; it is asked right
	// before a call is sent. Nil means always.
	MayServe func() bool
	// FixedLimit keeps the limit at the declared slots, for experiments.
	FixedLimit bool
}

// guard is the state of one target at its home.
type guard struct {
	target    *catalog.Target
	owner     bool
	limiter   *limit.Limiter
	scheduler *scheduler.Scheduler
	shedding  *shed.Controller
	pool      *transport.Pool
	lastUsed  time.Time
}

// Manager holds the guards of the targets that this node serves as the home
// of. It is safe for concurrent use.
type Manager struct {
	settings Settings
	now      func() time.Time

	mutex  sync.RWMutex
	guards map[string]*guard
}

// NewManager returns a manager without guards; they are made when a call for
// their target comes.
func NewManager(settings Settings, now func() time.Time) *Manager {
	return &Manager{settings: settings, now: now, guards: map[string]*guard{}}
}

// Run sends the call to the target as soon as its limit allows. The service is
// the target's. On error the problem says whether the target may have run it.
func (m *Manager) Run(ctx context.Context, service *catalog.Service, target *catalog.Target, owner bool, call *Call) (*Reply, *problem.Problem) {
	if target.Draining {
		return nil, problem.New(problem.Draining, problem.ExecutedNo, Step, target.Name, "the target is leaving").
			WithRetryAfter(time.Second)
	}
	g := m.guardOf(target, owner)
	g.shedding.Observe(call.Context.Rank)
	if g.sheds(call.Context.Rank) {
		return nil, problem.New(problem.Overloaded, problem.ExecutedNo, Step, target.Name, "calls of this rank are being shed").
			WithRetryAfter(time.Second)
	}
	permit, err := g.scheduler.Acquire(ctx, scheduler.Request{
		Rank:     call.Context.Rank,
		Deadline: call.Context.Deadline,
		Caller:   xxhash.Sum64String(call.Context.Caller),
	})
	if err != nil {
		return nil, refused(target, err)
	}
	if !m.acting() {
		permit.Cancel()
		return nil, problem.New(problem.NoTarget, problem.ExecutedNo, Step, target.Name, "the home was paused and has not caught up").
			WithRetryAfter(time.Second)
	}
	return g.exchange(ctx, service, permit, call, m.now)
}

func (m *Manager) acting() bool { return m.settings.MayServe == nil || m.settings.MayServe() }

func refused(target *catalog.Target, err error) *problem.Problem {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		return problem.New(problem.CallerGone, problem.ExecutedNo, Step, target.Name, err.Error()).WithCause(err)
	}
	if refusal.Reason == scheduler.Closed {
		return problem.New(problem.NoTarget, problem.ExecutedNo, Step, target.Name, "this node stopped being the home").
			WithRetryAfter(time.Second).WithCause(err)
	}
	return problem.New(problem.Overloaded, problem.ExecutedNo, Step, target.Name, refusal.Reason.String()).
		WithRetryAfter(refusal.RetryAfter).WithCause(err)
}

func (g *guard) exchange(ctx context.Context, service *catalog.Service, permit *scheduler.Permit, call *Call, now func() time.Time) (*Reply, *problem.Problem) {
	setTimeout(call.Header, call.Context.Deadline.Sub(now()))
	answer, err := g.pool.Exchange(ctx, &call.Call)
	if err != nil {
		failure := failed(ctx, g.target, err)
		permit.Release(limit.Sample{Outcome: outcomeOf(failure)})
		return nil, failure
	}
	g.hint(service, answer.Header)
	if refusal := targetRefusal(service, g.target, answer); refusal != nil {
		answer.Close()
		permit.Release(limit.Sample{Outcome: limit.Overload})
		return nil, refusal
	}
	StripHopHeaders(answer.Header)
	disownProblem(g.target, answer)
	if answer.Remainder != nil {
		answer.Remainder = &releasing{ReadCloser: answer.Remainder, release: permit.Release}
	} else {
		permit.Release(limit.Sample{Outcome: limit.Success})
	}
	return &Reply{Response: answer, Load: g.load(now())}, nil
}

// disownProblem corrects a problem document that a target passed on from
// further down its chain. One that is too large to be looked at is replaced.
func disownProblem(target *catalog.Target, answer *transport.Response) {
	if !isProblemType(answer.Header.Get("Content-Type")) {
		return
	}
	if answer.Remainder != nil {
		replacement := problem.New(problem.TargetFailed, problem.ExecutedUnknown, Step, target.Name, "the target's problem document is too large")
		replacement.Status = answer.Status
		answer.Close()
		answer.Remainder = nil
		answer.Body = replacement.Document()
		return
	}
	if corrected, changed := problem.MarkExecutionUnknown(answer.Body); changed {
		answer.Body = corrected
	}
}

// isProblemType reports whether the media type is that of problem documents. Most
// answers are told apart by their first letters.
func isProblemType(contentType string) bool {
	contentType = strings.TrimSpace(contentType)
	length := len(problem.ContentType)
	if len(contentType) < length || !strings.EqualFold(contentType[:length], problem.ContentType) {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == problem.ContentType
}

// setTimeout tells the target how long its answer is waited for.
func setTimeout(header http.Header, left time.Duration) {
	header.Set(callcontext.TimeoutHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// hint passes on the load that the target reports; it lags and misleads, so the
// limiter takes it only as a reason to send less.
func (g *guard) hint(service *catalog.Service, header http.Header) {
	if service.Spec.LoadHeader == "" {
		return
	}
	if load, err := strconv.ParseFloat(header.Get(service.Spec.LoadHeader), 64); err == nil {
		g.limiter.Hint(load)
	}
}

// targetRefusal recognises the answer by which a target refuses a call that it
// has not run, where the service's settings say how its targets do that.
func targetRefusal(service *catalog.Service, target *catalog.Target, answer *transport.Response) *problem.Problem {
	name := service.Spec.RefusalHeader
	if name == "" || answer.Header.Get(name) == "" {
		return nil
	}
	if answer.Status != http.StatusServiceUnavailable && answer.Status != http.StatusTooManyRequests {
		return nil
	}
	refusal := problem.New(problem.Overloaded, problem.ExecutedNo, Step, target.Name, "refused by the target")
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return refusal.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// failed turns a failed exchange into a problem.
func failed(ctx context.Context, target *catalog.Target, err error) *problem.Problem {
	executed := problem.ExecutedUnknown
	reason := problem.TargetFailed
	var failure *transport.Failure
	if errors.As(err, &failure) {
		if !failure.Sent {
			executed = problem.ExecutedNo
		}
		if failure.Incomplete {
			reason = problem.IncompleteAnswer
		}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = problem.DeadlineExceeded
	case ctx.Err() != nil:
		reason = problem.CallerGone
	}
	return problem.New(reason, executed, "transport", target.Name, "no complete answer from the target").
		WithRetryAfter(time.Second).WithCause(err)
}

func outcomeOf(failure *problem.Problem) limit.Outcome {
	if failure.Reason == problem.DeadlineExceeded {
		return limit.Timeout
	}
	return limit.Failure
}

// releasing gives the permit back when the rest of a large answer was read.
type releasing struct {
	io.ReadCloser
	release func(limit.Sample)
	once    sync.Once
}

// Close closes the answer and gives the permit back.
func (r *releasing) Close() error {
	r.once.Do(func() { r.release(limit.Sample{Outcome: limit.Success}) })
	return r.ReadCloser.Close()
}
