package limit

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is the outcome of a call to the target as far as the limit is concerned.
type Outcome uint8

// The outcomes.
const (
	// Success is a complete answer.
	Success Outcome = iota
	// Overload is an answer by which the target rejects a call because of its load.
	Overload
	// Timeout is a call whose deadline expired while the target worked on it.
	Timeout
	// Failure is any other failure, such as a reset connection. It doesn't affect the limit.
	Failure
)

var outcomeNames = [...]string{"success", "overload", "timeout", "failure"}

// String returns the outcome's name as used in metric labels.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// Sample is one finished call.
type Sample struct {
	// Latency is the time from the grant of the permit to the end of the answer.
	Latency time.Duration
	// InFlight is the number of calls in flight when this one began, itself included.
	InFlight int
	// Outcome is how the call ended.
	Outcome Outcome
}

const (
	// timeoutWeight is the weight of one call in the moving average of the timeout share.
	timeoutWeight = 1.0 / 16
	// minUnresponsiveRun is the minimum number of consecutive timeouts from which on a target counts as unresponsive.
	minUnresponsiveRun = 8
	// maxRampCredit limits the fraction of RampTime that one increase can credit, such as after a quiet period.
	maxRampCredit = 0.25
	// inUseShare is the fraction of the limit that must be in flight for an increase or a gradient cut.
	inUseShare = 0.5
)

// Limiter is the adaptive limit of one target. It is safe for concurrent use.
type Limiter struct {
	now    func() time.Time
	config Config

	// published is the limit, rounded down to whole calls, before a hint is applied.
	published atomic.Int64
	hinted    atomic.Bool

	mu                  sync.Mutex
	ceiling             int
	limit               float64
	lastCut             time.Time
	timeoutShare        float64
	consecutiveTimeouts int
	windowStart         time.Time
	windowPeak          int
	windowSucceeded     bool
	gradient            gradient
	hintFactor          float64
	hintedAt            time.Time
}

// New returns a limiter that starts at the configured initial limit. The clock
// now must be monotonic.
func New(config Config, now func() time.Time) *Limiter {
	config = config.withDefaults()
	l := &Limiter{
		now:         now,
		config:      config,
		ceiling:     config.Ceiling,
		limit:       float64(config.Initial),
		windowStart: now(),
		hintFactor:  1,
		gradient:    newGradient(config),
	}
	l.publish()
	return l
}

// Limit returns the number of calls that may be in flight, at least 1.
func (l *Limiter) Limit() int {
	published := int(l.published.Load())
	if !l.hinted.Load() {
		return published
	}
	return l.hintedLimit(published)
}

// Ceiling returns the current ceiling in calls.
func (l *Limiter) Ceiling() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ceiling
}

// SetCeiling changes the ceiling, for a target whose slots were reconfigured. A
// lower ceiling applies at once; the limit reaches a higher one by additive increase.
func (l *Limiter) SetCeiling(ceiling int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ceiling = max(ceiling, 1)
	l.setLimit(l.limit)
}

// Observe updates the limit with the outcome of one call.
func (l *Limiter) Observe(sample Sample) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.windowPeak = max(l.windowPeak, sample.InFlight)
	switch sample.Outcome {
	case Success:
		l.observeSuccess(sample, now)
	case Timeout:
		l.observeTimeout(now)
	case Overload:
		l.cut(now, l.config.Backoff, l.minimum())
	}
	l.closeWindow(now)
}

func (l *Limiter) observeSuccess(sample Sample, now time.Time) {
	l.timeoutShare -= l.timeoutShare * timeoutWeight
	l.consecutiveTimeouts = 0
	l.windowSucceeded = true
	verdict := l.gradient.observe(now, sample.Latency, l.inUse())
	if verdict != congested {
		return
	}
	floor := max(l.config.GradientFloor*float64(l.ceiling), l.minimum())
	if l.limit <= floor {
		l.gradient.acceptBaseline(now)
		return
	}
	l.cut(now, l.config.GradientCut, floor)
	l.gradient.beginExperiment(now)
}

func (l *Limiter) observeTimeout(now time.Time) {
	l.timeoutShare += (1 - l.timeoutShare) * timeoutWeight
	l.consecutiveTimeouts++
	if l.timeoutShare < l.config.TimeoutShare {
		return
	}
	floor := max(l.config.TimeoutFloor*float64(l.ceiling), l.minimum())
	if l.consecutiveTimeouts >= max(minUnresponsiveRun, 2*int(l.limit)) {
		floor = l.minimum()
	}
	l.cut(now, l.config.Backoff, floor)
}

// cut multiplies the limit by factor, but not below floor, at most once per window.
func (l *Limiter) cut(now time.Time, factor, floor float64) {
	if !l.lastCut.IsZero() && now.Sub(l.lastCut) < l.config.Window {
		return
	}
	l.lastCut = now
	l.startWindow(now)
	if l.limit > floor {
		l.setLimit(max(l.limit*factor, floor))
	}
}

// closeWindow raises the limit at the end of a window in which calls succeeded,
// the limit was in use and no cut was made (a cut starts a new window).
func (l *Limiter) closeWindow(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < l.config.Window {
		return
	}
	if l.windowSucceeded && l.inUse() && !l.gradient.experimenting {
		credit := min(elapsed.Seconds()/l.config.RampTime.Seconds(), maxRampCredit)
		l.setLimit(l.limit + credit*float64(l.ceiling))
	}
	l.startWindow(now)
}

func (l *Limiter) startWindow(now time.Time) {
	l.windowStart = now
	l.windowPeak = 0
	l.windowSucceeded = false
}

// inUse reports whether the window's calls used enough of the limit to be
// evidence about it. The limit of an idle target neither rises nor falls.
func (l *Limiter) inUse() bool {
	return float64(l.windowPeak) >= inUseShare*math.Floor(l.limit)
}

func (l *Limiter) minimum() float64 { return float64(min(l.config.Minimum, l.ceiling)) }

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, l.minimum()), float64(l.ceiling))
	l.publish()
}

func (l *Limiter) publish() { l.published.Store(int64(l.limit + roundingTolerance)) }

// roundingTolerance keeps a sum of fractions that should be a whole number from
// being rounded down below it.
const roundingTolerance = 1e-9
