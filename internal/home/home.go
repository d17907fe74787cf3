// Package home implements admission control for targets. Every target has one
// home node, which counts the target's calls exactly, queues waiting calls by
// criticality and sheds the least important ones first.
//
// For a short time after a membership change, two nodes may both act as the
// home of a target. Each of them enforces its own limit, which is at most the
// target's slots, or half of them on a node that isn't the owner. The target
// therefore never receives more than twice its slots.
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

// Step is the step name used in problems and errors of this package.
const Step = "home"

// Call is a call with its call context.
type Call struct {
	transport.Call
	Context callcontext.Context
}

// Reply is a target's response. Only the first part of a large response is
// buffered.
type Reply struct {
	*transport.Response
	// Load is the target's load when the home received the response.
	Load Load
}

// Load is a target's load as its home reports it to the nodes that forward calls
// to the target.
type Load struct {
	InFlight   int
	Limit      int
	Queued     int
	QueueDelay time.Duration
	// Threshold is the rank key at and above which calls are refused upstream.
	Threshold uint16
	// Version orders the loads of a target. It is the home's clock in
	// milliseconds since 1970.
	Version uint64
}

// Settings are the settings of a Manager.
type Settings struct {
	// Queue configures the queue of each target.
	Queue scheduler.Config
	// MaxBuffered is the size in bytes up to which a response is fully buffered.
	MaxBuffered int64
	// MayServe reports whether this node may act as a home now. It is called
	// right before a call is sent. Nil means always.
	MayServe func() bool
	// FixedLimit keeps the limit at the declared slots, for experiments.
	FixedLimit bool
}

// targetState is the admission state of one target at its home.
type targetState struct {
	target    *catalog.Target
	owner     bool
	limiter   *limit.Limiter
	scheduler *scheduler.Scheduler
	shedding  *shed.Controller
	pool      *transport.Pool
	lastUsed  time.Time
}

// Manager holds the state of the targets that have this node as their home. It
// is safe for concurrent use.
type Manager struct {
	settings Settings
	now      func() time.Time

	mutex   sync.RWMutex
	targets map[string]*targetState
}

// NewManager returns a manager without targets. The state of a target is created
// on its first call.
func NewManager(settings Settings, now func() time.Time) *Manager {
	return &Manager{settings: settings, now: now, targets: map[string]*targetState{}}
}

// Run sends the call to the target as soon as the target's limit allows it.
// service must be the target's service; owner reports whether this node is the
// target's owner according to its own view of the membership. If the call fails,
// the problem reports whether the target may have run it.
func (m *Manager) Run(ctx context.Context, service *catalog.Service, target *catalog.Target, owner bool, call *Call) (*Reply, *problem.Problem) {
	if target.Draining {
		return nil, problem.New(problem.Draining, problem.ExecutedNo, Step, target.Name, "the target is leaving").
			WithRetryAfter(time.Second)
	}
	s := m.stateOf(target, owner)
	s.shedding.Observe(call.Context.Rank)
	if s.shouldShed(call.Context.Rank) {
		return nil, problem.New(problem.Overloaded, problem.ExecutedNo, Step, target.Name, "calls of this rank are being shed").
			WithRetryAfter(time.Second)
	}
	permit, err := s.scheduler.Acquire(ctx, scheduler.Request{
		Rank:     call.Context.Rank,
		Deadline: call.Context.Deadline,
		Caller:   xxhash.Sum64String(call.Context.Caller),
	})
	if err != nil {
		return nil, refusalProblem(target, err)
	}
	if !m.mayServe() {
		permit.Cancel()
		return nil, problem.New(problem.NoTarget, problem.ExecutedNo, Step, target.Name, "the home was paused and has not caught up").
			WithRetryAfter(time.Second)
	}
	return s.exchange(ctx, service, permit, call, m.now)
}

func (m *Manager) mayServe() bool { return m.settings.MayServe == nil || m.settings.MayServe() }

// refusalProblem returns the problem for a call that the scheduler did not admit.
func refusalProblem(target *catalog.Target, err error) *problem.Problem {
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

func (s *targetState) exchange(ctx context.Context, service *catalog.Service, permit *scheduler.Permit, call *Call, now func() time.Time) (*Reply, *problem.Problem) {
	setTimeout(call.Header, call.Context.Deadline.Sub(now()))
	response, err := s.pool.Exchange(ctx, &call.Call)
	if err != nil {
		failure := exchangeProblem(ctx, s.target, err)
		permit.Release(limit.Sample{Outcome: failureOutcome(failure)})
		return nil, failure
	}
	s.reportLoadHint(service, response.Header)
	if refusal := targetRefusal(service, s.target, response); refusal != nil {
		response.Close()
		permit.Release(limit.Sample{Outcome: limit.Overload})
		return nil, refusal
	}
	StripHopHeaders(response.Header)
	markProblemUnknown(s.target, response)
	if response.Remainder != nil {
		response.Remainder = &permitReleaser{ReadCloser: response.Remainder, release: permit.Release}
	} else {
		permit.Release(limit.Sample{Outcome: limit.Success})
	}
	return &Reply{Response: response, Load: s.load(now())}, nil
}

// markProblemUnknown sets executed to unknown in a problem document that a target
// passed on from a downstream service. A document that is too large to be parsed
// is replaced.
func markProblemUnknown(target *catalog.Target, response *transport.Response) {
	if !isProblemType(response.Header.Get("Content-Type")) {
		return
	}
	if response.Remainder != nil {
		replacement := problem.New(problem.TargetFailed, problem.ExecutedUnknown, Step, target.Name, "the target's problem document is too large")
		replacement.Status = response.Status
		response.Close()
		response.Remainder = nil
		response.Body = replacement.Document()
		return
	}
	if corrected, changed := problem.MarkExecutionUnknown(response.Body); changed {
		response.Body = corrected
	}
}

// isProblemType reports whether the media type is that of problem documents. The
// prefix comparison avoids parsing the media type of most responses.
func isProblemType(contentType string) bool {
	contentType = strings.TrimSpace(contentType)
	length := len(problem.ContentType)
	if len(contentType) < length || !strings.EqualFold(contentType[:length], problem.ContentType) {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == problem.ContentType
}

// setTimeout sets the header that gives the target the remaining time.
func setTimeout(header http.Header, remaining time.Duration) {
	header.Set(callcontext.TimeoutHeader, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// reportLoadHint passes the load that the target reports to the limiter. Reported
// loads are delayed and can be wrong, so the limiter uses them only to lower the
// limit.
func (s *targetState) reportLoadHint(service *catalog.Service, header http.Header) {
	if service.Spec.LoadHeader == "" {
		return
	}
	if load, err := strconv.ParseFloat(header.Get(service.Spec.LoadHeader), 64); err == nil {
		s.limiter.Hint(load)
	}
}

// targetRefusal returns a problem if the response is a target's refusal of a call
// that it has not run. Refusals are marked by the header that is configured for
// the service.
func targetRefusal(service *catalog.Service, target *catalog.Target, response *transport.Response) *problem.Problem {
	name := service.Spec.RefusalHeader
	if name == "" || response.Header.Get(name) == "" {
		return nil
	}
	if response.Status != http.StatusServiceUnavailable && response.Status != http.StatusTooManyRequests {
		return nil
	}
	refusal := problem.New(problem.Overloaded, problem.ExecutedNo, Step, target.Name, "refused by the target")
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return refusal.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// exchangeProblem returns the problem for a failed exchange with the target.
func exchangeProblem(ctx context.Context, target *catalog.Target, err error) *problem.Problem {
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

func failureOutcome(failure *problem.Problem) limit.Outcome {
	if failure.Reason == problem.DeadlineExceeded {
		return limit.Timeout
	}
	return limit.Failure
}

// permitReleaser releases the permit when the remainder of a large response is
// closed.
type permitReleaser struct {
	io.ReadCloser
	release func(limit.Sample)
	once    sync.Once
}

// Close closes the response and releases the permit.
func (r *permitReleaser) Close() error {
	r.once.Do(func() { r.release(limit.Sample{Outcome: limit.Success}) })
	return r.ReadCloser.Close()
}
