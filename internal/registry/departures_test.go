package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

// TestDepartureIsStoredWhileTargetLeaves guards against a departure that is missing from the store
// while its target still runs: once its lease had expired, the target's heartbeats were acknowledged
// without storing it again.
func TestDepartureIsStoredWhileTargetLeaves(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		virtualtime.Run(t, func(t *testing.T) { keepLeaving(t, restarts) })
	}
}

// keepLeaving sends draining heartbeats for a long time, to a node that is restarted or not.
func keepLeaving(t *testing.T, restarts bool) {
	f := newTestFleet(t)
	nodes := f.startHomes()
	defer func() { f.stopAll(nodes...) }()
	heartbeat := leavingHeartbeat("i-0", 1000, 3)
	key := departuresPrefix + heartbeat.Incarnation().String()
	restartAt := time.Now().Add(departureTTL - 3*time.Second)
	for start := time.Now(); time.Since(start) < 5*departureTTL; time.Sleep(time.Second) {
		heartbeat.Sequence++
		if restarts && time.Now().After(restartAt) {
			nodes[0].stop()
			nodes[0] = f.start(1)
			restartAt = restartAt.Add(departureTTL - 3*time.Second)
		}
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), heartbeat))
		assert.Assert(t, f.present(key), "the departure is not stored %s after the target announced it", time.Since(start))
	}
}
