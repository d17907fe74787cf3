package clock

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// machine is a machine whose clocks part.
type machine struct {
	mutex                   sync.Mutex
	wall, steady, sinceBoot time.Duration
	reads                   int
	broken                  bool
}

func (m *machine) source() Source {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return Source{
		Read: func() Reading {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			return Reading{Wall: start.Add(m.wall), Steady: m.steady}
		},
		SinceBoot: func() (time.Duration, error) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.reads++
			if m.broken {
				return 0, errors.New("no such clock")
			}
			return m.sinceBoot, nil
		},
	}
}

func (m *machine) run(span time.Duration) { m.move(span, span, span) }

// suspend has all clocks but the steady one go on.
func (m *machine) suspend(span time.Duration) { m.move(span, 0, span) }

// step moves the time of day alone.
func (m *machine) step(span time.Duration) { m.move(span, 0, 0) }

func (m *machine) move(wall, steady, sinceBoot time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.wall += wall
	m.steady += steady
	m.sinceBoot += sinceBoot
}

func TestClockAddsOnlySuspensions(t *testing.T) {
	m := &machine{sinceBoot: time.Hour, steady: 50 * time.Minute}
	c := New(m.source())
	began := c.Now()
	steps := []struct {
		name     string
		move     func(time.Duration)
		by, want time.Duration
	}{
		{"runs", m.run, time.Second, time.Second},
		{"is suspended", m.suspend, 5 * time.Second, 6 * time.Second},
		{"runs on", m.run, time.Second, 7 * time.Second},
		{"has its time of day step ahead", m.step, 10 * time.Second, 7 * time.Second},
		{"has its time of day step back", m.step, -20 * time.Second, 7 * time.Second},
		{"is suspended again", m.suspend, 3 * time.Second, 10 * time.Second},
		{"runs on again", m.run, time.Minute, 70 * time.Second},
	}
	for _, step := range steps {
		step.move(step.by)
		assert.Equal(t, c.Since(began), step.want, "the machine %s", step.name)
	}
	assert.Equal(t, c.Suspended(), 8*time.Second)
	assert.Equal(t, m.reads, 5, "the time since boot is read only where the others part")
}

func TestWithoutATimeSinceBootTheSteadyClockCounts(t *testing.T) {
	m := &machine{broken: true}
	c := New(m.source())
	began := c.Now()
	m.suspend(5 * time.Second)
	m.run(time.Second)
	assert.Equal(t, c.Since(began), time.Second)
}

// TestDeadlinePassedDuringSuspensionEndsContext has two contexts, of which the
// deadline of one passes while the machine is suspended.
func TestDeadlinePassedDuringSuspensionEndsContext(t *testing.T) {
	m := &machine{}
	c := New(m.source())
	resumed := make(chan struct{}, 1)
	c.OnResume(func() { resumed <- struct{}{} })
	passed, cancelPassed := c.WithDeadline(t.Context(), c.Now().Add(4*time.Second))
	defer cancelPassed()
	other, cancelOther := c.WithDeadline(t.Context(), c.Now().Add(time.Hour))
	defer cancelOther()
	m.suspend(5 * time.Second)
	assert.NilError(t, passed.Err())
	c.Now()
	<-resumed
	assert.Assert(t, passed.Err() != nil)
	assert.Assert(t, Expired(passed))
	assert.NilError(t, other.Err())
	cancelOther()
	assert.Assert(t, !Expired(other), "a context that was cancelled has not expired")
}

func TestADeadlineEndsItsContextInTime(t *testing.T) {
	ctx, cancel := WithDeadline(t.Context(), Now().Add(10*time.Millisecond))
	defer cancel()
	select {
	case <-ctx.Done():
		assert.Assert(t, Expired(ctx))
	case <-time.After(10 * time.Second):
		t.Fatal("it did not end")
	}
	child, cancelChild := context.WithCancelCause(ctx)
	defer cancelChild(nil)
	assert.Assert(t, Expired(child))
}

// TestADeadlineThatIsNoticedLateLeavesTimeToReadWhatIsReady: a process stood still over the
// deadline of a request, its target's answer had arrived meanwhile, and the caller was told
// that no answer came in time. Once the process went on, its timers ran before its reads.
// Four nodes' worth of such requests, 48 in all: 32 got 504 or 502 for an answer that lay
// ready.
func TestADeadlineThatIsNoticedLateLeavesTimeToReadWhatIsReady(t *testing.T) {
	const span = 20 * time.Millisecond
	m := &machine{}
	c := New(m.source())
	began := time.Now()
	late, cancelLate := c.WithDeadline(t.Context(), c.Now().Add(span))
	defer cancelLate()
	m.run(time.Second)
	<-late.Done()
	assert.Assert(t, time.Since(began) >= span+LateDeadlineGrace, "after %v", time.Since(began))
	assert.Assert(t, Expired(late))
}

func TestADeadlineThatHasPassedHasNoGrace(t *testing.T) {
	c := New((&machine{}).source())
	passed, cancel := c.WithDeadline(t.Context(), c.Now().Add(-time.Second))
	defer cancel()
	assert.Assert(t, passed.Err() != nil)
	assert.Assert(t, Expired(passed))
}

// BenchmarkNow takes 115 ns, of which time.Now takes 69 (one processor of eight).
func BenchmarkNow(b *testing.B) {
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}
