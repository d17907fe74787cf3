package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

// TestLateDrainingOfPredecessorIsShort guards against a running target that is out of service for as
// long as a start under its own ID would be.
func TestLateDrainingOfPredecessorIsShort(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		n := f.start(1)
		defer func() { f.stopAll(n) }()
		time.Sleep(time.Second)
		for s := uint64(1); s < 4; s++ {
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-new", 0, s)))
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, n.Target().State, Ready)
		assert.NilError(t, n.Heartbeat(t.Context(), leavingHeartbeat("i-old", 0, 90)))
		since := time.Now()
		for s := uint64(4); s < 60; s++ {
			assert.NilError(t, n.Heartbeat(t.Context(), startedHeartbeat("i-new", 0, s)))
			if n.Target().State == Ready {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, n.Target().ID, "i-new")
		assert.Assert(t, time.Since(since) <= reinstateAfter+500*time.Millisecond, "%v", time.Since(since))
	})
}
