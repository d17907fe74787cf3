package limit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/limit"
)

type clock struct{ time time.Time }

func newClock() *clock                       { return &clock{time: time.Unix(1000, 0)} }
func (c *clock) now() time.Time              { return c.time }
func (c *clock) advance(d time.Duration)     { c.time = c.time.Add(d) }
func constant(d time.Duration) latencyByLoad { return func(int) time.Duration { return d } }

// latencyByLoad returns a target's latency at a given number of calls in flight.
type latencyByLoad func(inFlight int) time.Duration

// saturate simulates the target for the given time with the limit fully used and
// returns the lowest limit.
func saturate(c *clock, l *limit.Limiter, latency latencyByLoad, outcome limit.Outcome, span time.Duration) int {
	end := c.time.Add(span)
	lowest := l.Limit()
	for c.time.Before(end) {
		inFlight := l.Limit()
		duration := latency(inFlight)
		for range inFlight {
			c.advance(duration / time.Duration(inFlight))
			l.Observe(limit.Sample{Latency: duration, InFlight: inFlight, Outcome: outcome})
		}
		lowest = min(lowest, l.Limit())
	}
	return lowest
}

func TestStartsAtHalfAndRampsInAboutASecond(t *testing.T) {
	for _, ceiling := range []int{1, 2, 7, 20, 200} {
		c := newClock()
		l := limit.New(limit.Config{Ceiling: ceiling}, c.now)
		assert.Equal(t, l.Limit(), max(1, ceiling/2))
		saturate(c, l, constant(20*time.Millisecond), limit.Success, 1200*time.Millisecond)
		assert.Equal(t, l.Limit(), ceiling)
	}
}

func TestIdleTargetKeepsLimit(t *testing.T) {
	c := newClock()
	l := limit.New(limit.Config{Ceiling: 20}, c.now)
	for range 100 {
		c.advance(50 * time.Millisecond)
		l.Observe(limit.Sample{Latency: time.Millisecond, InFlight: 1})
	}
	assert.Equal(t, l.Limit(), 10)
}

func TestOverloadCutsOncePerWindowDownToMinimum(t *testing.T) {
	c := newClock()
	l := limit.New(limit.Config{Ceiling: 20, Initial: 20}, c.now)
	for range 50 {
		l.Observe(limit.Sample{Latency: time.Millisecond, InFlight: 20, Outcome: limit.Overload})
	}
	assert.Equal(t, l.Limit(), 14)
	saturate(c, l, constant(50*time.Millisecond), limit.Overload, 3*time.Second)
	assert.Equal(t, l.Limit(), 1)
	saturate(c, l, constant(20*time.Millisecond), limit.Success, 1300*time.Millisecond)
	assert.Equal(t, l.Limit(), 20)
}

func TestTimeouts(t *testing.T) {
	t.Run("a single timeout does not cut the limit", func(t *testing.T) {
		c := newClock()
		l := limit.New(limit.Config{Ceiling: 20, Initial: 20}, c.now)
		l.Observe(limit.Sample{InFlight: 20, Outcome: limit.Timeout})
		assert.Equal(t, l.Limit(), 20)
	})
	t.Run("timeouts mixed with successes cut to the floor", func(t *testing.T) {
		c := newClock()
		l := limit.New(limit.Config{Ceiling: 20, Initial: 20}, c.now)
		for i := range 400 {
			outcome := limit.Timeout
			if i%3 == 0 {
				outcome = limit.Success
			}
			c.advance(25 * time.Millisecond)
			l.Observe(limit.Sample{Latency: 500 * time.Millisecond, InFlight: l.Limit(), Outcome: outcome})
			assert.Assert(t, l.Limit() >= 5, "step %d: limit %d", i, l.Limit())
		}
		assert.Assert(t, l.Limit() < 10)
	})
	t.Run("timeouts without a success cut to the minimum", func(t *testing.T) {
		c := newClock()
		l := limit.New(limit.Config{Ceiling: 20, Initial: 20}, c.now)
		saturate(c, l, constant(300*time.Millisecond), limit.Timeout, 20*time.Second)
		assert.Equal(t, l.Limit(), 1)
	})
}

func TestSlowDependencyDoesNotCollapseTheLimit(t *testing.T) {
	c := newClock()
	l := limit.New(limit.Config{Ceiling: 20}, c.now)
	saturate(c, l, constant(20*time.Millisecond), limit.Success, 5*time.Second)
	lowest := saturate(c, l, constant(400*time.Millisecond), limit.Success, 20*time.Second)
	assert.Assert(t, lowest >= 10, "the limit fell to %d", lowest)
	assert.Equal(t, l.Limit(), 20)
	saturate(c, l, constant(20*time.Millisecond), limit.Success, time.Second)
	assert.Equal(t, l.Limit(), 20)
}

// TestVariableServiceTimesDoNotLowerLimit saturates a healthy target whose service
// times vary widely without any congestion. The variation alone must not be taken
// for congestion and cut the limit.
func TestVariableServiceTimesDoNotLowerLimit(t *testing.T) {
	for _, sigma := range []float64{0.4, 0.6, 0.8} {
		random := rand.New(rand.NewPCG(1, 2))
		variable := func(int) time.Duration {
			return time.Duration(100 * math.Exp(sigma*random.NormFloat64()) * float64(time.Millisecond))
		}
		c := newClock()
		l := limit.New(limit.Config{Ceiling: 8, Initial: 8}, c.now)
		total, steps := 0, 0
		for end := c.time.Add(2 * time.Minute); c.time.Before(end); steps++ {
			inFlight := l.Limit()
			c.advance(100 * time.Millisecond / time.Duration(inFlight))
			l.Observe(limit.Sample{Latency: variable(inFlight), InFlight: inFlight, Outcome: limit.Success})
			total += l.Limit()
		}
		mean := float64(total) / float64(steps)
		assert.Assert(t, mean > 0.98*8, "sigma %g: mean limit %.2f of 8", sigma, mean)
	}
}

func TestQueueingTargetIsCutModerately(t *testing.T) {
	c := newClock()
	l := limit.New(limit.Config{Ceiling: 20}, c.now)
	saturate(c, l, constant(20*time.Millisecond), limit.Success, 3*time.Second)
	// CPU contention: latency is proportional to the number of calls in flight.
	contended := func(inFlight int) time.Duration { return time.Duration(inFlight) * 8 * time.Millisecond }
	lowest := saturate(c, l, contended, limit.Success, 5*time.Second)
	assert.Assert(t, lowest >= 10 && lowest < 15, "the limit fell to %d", lowest)
}

func TestHintOnlyLowersAndFades(t *testing.T) {
	c := newClock()
	l := limit.New(limit.Config{Ceiling: 20, Initial: 20}, c.now)
	for _, ignored := range []float64{0, 0.3, 1, -4, math.NaN(), math.Inf(1)} {
		l.Hint(ignored)
		assert.Equal(t, l.Limit(), 20)
	}
	l.Hint(1.25)
	assert.Equal(t, l.Limit(), 16)
	l.Hint(100)
	assert.Equal(t, l.Limit(), 10)
	l.Hint(1.1)
	assert.Equal(t, l.Limit(), 10)
	c.advance(time.Second)
	assert.Equal(t, l.Limit(), 15)
	c.advance(time.Second)
	assert.Equal(t, l.Limit(), 20)
}

func TestSetCeilingLowersAtOnceAndRaisesGradually(t *testing.T) {
	c := newClock()
	l := limit.New(limit.Config{Ceiling: 20, Initial: 20}, c.now)
	l.SetCeiling(4)
	assert.Equal(t, l.Limit(), 4)
	l.SetCeiling(40)
	assert.Equal(t, l.Limit(), 4)
	saturate(c, l, constant(10*time.Millisecond), limit.Success, 1200*time.Millisecond)
	assert.Equal(t, l.Limit(), 40)
	l.SetCeiling(0)
	assert.Equal(t, l.Limit(), 1)
}

func TestLimitStaysBetweenOneAndCeiling(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newClock()
		ceiling := rapid.IntRange(1, 50).Draw(r, "ceiling")
		l := limit.New(limit.Config{Ceiling: ceiling}, c.now)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 300).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(r, "action") {
			case 0:
				ceiling = rapid.IntRange(1, 50).Draw(r, "ceiling")
				l.SetCeiling(ceiling)
			case 1:
				l.Hint(rapid.Float64Range(0, 10).Draw(r, "load"))
			default:
				l.Observe(limit.Sample{
					Latency:  time.Duration(rapid.IntRange(0, 2000).Draw(r, "latency")) * time.Millisecond,
					InFlight: rapid.IntRange(0, 50).Draw(r, "in flight"),
					Outcome:  limit.Outcome(rapid.IntRange(0, 3).Draw(r, "outcome")),
				})
			}
			current := l.Limit()
			if current < 1 || current > ceiling {
				r.Fatalf("limit %d outside 1..%d", current, ceiling)
			}
		}
	})
}
