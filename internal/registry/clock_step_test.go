package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

// playTarget starts a node whose target i-1 started at 10 s of its clock, sent a heartbeat and crashed.
func playTarget(t *testing.T, play func(t *testing.T, f *testFleet, n *testNode)) {
	t.Helper()
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		n := f.start(1)
		defer func() { f.stopAll(n) }()
		time.Sleep(time.Second)
		assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, 1)))
		time.Sleep(200 * time.Millisecond)
		play(t, f, n)
	})
}

var secondStart = Incarnation{ID: "i-1", StartMillis: 9_000}

// sendFor sends heartbeats of the second start each 0.5 s.
func sendFor(t *testing.T, n *testNode, duration time.Duration, sequence uint64) {
	t.Helper()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		sequence++
		assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", secondStart.StartMillis, sequence)))
	}
}

func TestDepartureOfStartAfterClockStepBinds(t *testing.T) {
	for name, leave := range map[string]func(*testing.T, *testNode) error{
		"draining": func(t *testing.T, n *testNode) error {
			return n.Heartbeat(t.Context(), leavingHeartbeat("i-1", secondStart.StartMillis, 100))
		},
		"notice":                      func(t *testing.T, n *testNode) error { return n.Depart(t.Context(), "i-1", secondStart.StartMillis) },
		"notice without a start time": func(t *testing.T, n *testNode) error { return n.Depart(t.Context(), "i-1", 0) },
	} {
		for _, ran := range []time.Duration{0, 600 * time.Millisecond, 1100 * time.Millisecond, 5 * time.Second} {
			t.Run(name+" after "+ran.String(), func(t *testing.T) {
				playTarget(t, func(t *testing.T, f *testFleet, n *testNode) {
					sendFor(t, n, ran, 0)
					acknowledged := false
					for range 6 {
						acknowledged = acknowledged || leave(t, n) == nil
						if acknowledged {
							assert.Assert(t, n.Target().State > Ready, "an acknowledged departure must stop requests: %s %s", n.Target().Incarnation(), n.Target().State)
						}
						time.Sleep(500 * time.Millisecond)
					}
					assert.Assert(t, acknowledged)
					// The notice may be the first word of the second start.
					if ran > 0 {
						sendFor(t, n, 5*time.Second, 200)
						assert.Assert(t, n.Target().State > Ready)
					}
					n.stop()
					restarted := f.start(1)
					defer f.stopAll(restarted)
					time.Sleep(time.Second)
					assert.Assert(t, restarted.Target().State != Ready)
				})
			})
		}
	}
}

func TestStartAfterClockStepIsTarget(t *testing.T) {
	playTarget(t, func(t *testing.T, f *testFleet, n *testNode) {
		sendFor(t, n, 2*time.Second, 0)
		assert.Equal(t, n.Target().Incarnation(), secondStart)
		assert.Equal(t, n.Target().State, Ready)
		assert.Equal(t, n.Target().Sequence, uint64(4))
		// A late heartbeat of the first start changes nothing.
		assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, 2)))
		assert.Equal(t, n.Target().Incarnation(), secondStart)
		n.stop()
		restarted := f.start(1)
		defer f.stopAll(restarted)
		time.Sleep(time.Second)
		assert.Equal(t, restarted.Target().Incarnation(), secondStart)
		// The third start is the latest by its start time, too.
		assert.NilError(t, restarted.Heartbeat(t.Context(), startedHeartbeat("i-1", 9_500, 1)))
		assert.Equal(t, restarted.Target().StartMillis, int64(9_500))
	})
}

func TestLateHeartbeatsOfEarlierStartAreIgnored(t *testing.T) {
	playTarget(t, func(t *testing.T, _ *testFleet, n *testNode) {
		for sequence := uint64(2); sequence < 20; sequence++ {
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", secondStart.StartMillis, sequence)))
			assert.ErrorIs(t, n.Heartbeat(t.Context(), leavingHeartbeat("i-1", secondStart.StartMillis, sequence)), errAmbiguousIncarnation)
			assert.ErrorIs(t, n.Depart(t.Context(), "i-1", secondStart.StartMillis), errAmbiguousIncarnation)
			time.Sleep(700 * time.Millisecond)
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, sequence)))
			assert.Equal(t, n.Target().StartMillis, int64(10_000))
			assert.Equal(t, n.Target().State, Ready)
		}
	})
}

func TestLateHeartbeatsDoNotEndDeparture(t *testing.T) {
	for _, sendsOn := range []bool{false, true} {
		playTarget(t, func(t *testing.T, _ *testFleet, n *testNode) {
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 11_000, 1)))
			assert.NilError(t, n.Heartbeat(t.Context(), leavingHeartbeat("i-1", 11_000, 2)))
			for sequence := uint64(2); sequence < 16; sequence++ {
				assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, sequence)))
				if sendsOn || sequence == 8 {
					assert.NilError(t, n.Heartbeat(t.Context(), leavingHeartbeat("i-1", 11_000, sequence)))
				}
				assert.Assert(t, n.Target().State > Ready)
				time.Sleep(600 * time.Millisecond)
			}
		})
	}
}

func TestTargetOutlastsDepartureOfUnknownEarlierStart(t *testing.T) {
	for _, unknown := range []int64{7, 9_999} {
		playTarget(t, func(t *testing.T, _ *testFleet, n *testNode) {
			for sequence := uint64(2); sequence < 10; sequence++ {
				assert.ErrorIs(t, n.Depart(t.Context(), "i-1", unknown), errAmbiguousIncarnation)
				assert.Equal(t, n.Target().State, Ready)
				time.Sleep(600 * time.Millisecond)
				assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, sequence)))
			}
			assert.Equal(t, n.Target().State, Ready)
		})
	}
}

func TestTargetReturnsAfterDepartureOfUnknownLaterStart(t *testing.T) {
	playTarget(t, func(t *testing.T, _ *testFleet, n *testNode) {
		assert.NilError(t, n.Depart(t.Context(), "i-1", 10_001))
		departed := time.Now()
		for sequence := uint64(2); time.Since(departed) < 12*time.Second; sequence++ {
			assert.Equal(t, n.Target().State > Ready, time.Since(departed) <= reinstateAfterDeparture)
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, sequence)))
			time.Sleep(time.Second)
		}
		assert.Equal(t, n.Target().Incarnation(), Incarnation{ID: "i-1", StartMillis: 10_000})
		assert.NilError(t, n.Depart(t.Context(), "i-1", 10_000))
		assert.Equal(t, n.Target().State, Gone)
	})
}

func TestTargetOutlastsHeartbeatOfUnknownStart(t *testing.T) {
	playTarget(t, func(t *testing.T, _ *testFleet, n *testNode) {
		assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 99_000, 1)))
		for sequence := uint64(2); sequence < 6; sequence++ {
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-1", 10_000, sequence)))
			time.Sleep(600 * time.Millisecond)
		}
		assert.Equal(t, n.Target().Incarnation(), Incarnation{ID: "i-1", StartMillis: 10_000})
		assert.Equal(t, n.Target().State, Ready)
		assert.NilError(t, n.Heartbeat(t.Context(), leavingHeartbeat("i-1", 10_000, 7)))
		assert.Equal(t, n.Target().State, Draining)
	})
}
