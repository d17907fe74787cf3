package scale

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/lab/kvstore"
)

const (
	tinyNodes  = 5
	tinyPeriod = 50
	// patience bounds what a test waits for.
	patience = 30 * time.Second
)

// tinyFleet runs five hollow nodes, one a zone, in this process.
func tinyFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	store, err := kvstore.Start(kvstore.Config{}, "127.0.0.1:0", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	assert.NilError(t, preload(t.Context(), store.Address(), 1000, objects()[:2*serviceCount+tinyNodes]))
	started, address, err := startGroup()
	assert.NilError(t, err)
	t.Cleanup(started.close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	f := newFleet(store, []string{address})
	f.periodMillis = tinyPeriod
	assert.NilError(t, f.startHollows(t.Context(), tinyNodes))
	_, err = f.awaitMembers(t.Context(), patience)
	assert.NilError(t, err)
	assert.NilError(t, f.awaitReady(t.Context(), patience))
	_, err = callAll[none](t.Context(), f, "/record", none{})
	assert.NilError(t, err)
	return f
}

// awaitNotes polls until so many nodes have noted something.
func awaitNotes(ctx context.Context, t *testing.T, f *fleet, seen Observations, count int, of func(Observations) map[string]int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		noted, err := f.observations(ctx)
		if err != nil {
			return poll.Error(err)
		}
		seen.merge(noted)
		if len(of(seen)) < count {
			return poll.Continue("%d of %d nodes", len(of(seen)), count)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

func TestChangeReachesAllNodesWithoutTheStore(t *testing.T) {
	f := tinyFleet(t)
	writer := hollowName(2)
	_, err := callAll[none](t.Context(), f, "/store", storeRequest{Except: writer})
	assert.NilError(t, err)
	accepted, err := f.write(t.Context(), writer, 3, 1)
	assert.NilError(t, err)
	refuse := kvstore.OutageRefuse
	assert.NilError(t, f.store.Control(kvstore.ControlRequest{Outage: &refuse}))

	seen := newObservations()
	awaitNotes(t.Context(), t, f, seen, tinyNodes, func(o Observations) map[string]int64 { return o.Changes[accepted.Revision] })
	judged := reachOf(event{at: accepted.Sent, learnt: seen.Changes[accepted.Revision]}, f.lives)
	assert.Equal(t, len(judged.delays), tinyNodes)
	assert.Equal(t, len(judged.missing), 0)
}

func TestClosedWayToTheStoreRefusesWrites(t *testing.T) {
	f := tinyFleet(t)
	_, err := callAll[none](t.Context(), f, "/store", storeRequest{})
	assert.NilError(t, err)
	_, err = f.write(t.Context(), hollowName(0), 1, 1)
	assert.ErrorContains(t, err, "unavailable")
	_, err = callAll[none](t.Context(), f, "/store", storeRequest{Open: true})
	assert.NilError(t, err)
	_, err = f.write(t.Context(), hollowName(0), 1, 1)
	assert.NilError(t, err)
}

func TestKilledNodeIsNoticedAndReplaced(t *testing.T) {
	f := tinyFleet(t)
	failed := hollowName(tinyNodes - 1)
	_, err := f.kill(t.Context(), failed)
	assert.NilError(t, err)
	seen := newObservations()
	awaitNotes(t.Context(), t, f, seen, tinyNodes-1, func(o Observations) map[string]int64 { return o.Deaths[failed] })
	for name := range seen.Deaths {
		assert.Equal(t, name, failed)
	}
	assert.NilError(t, f.restart(t.Context(), failed))
	_, err = f.awaitMembers(t.Context(), patience)
	assert.NilError(t, err)
}

func TestCutZoneMissesAChangeUntilTheCutEnds(t *testing.T) {
	f := tinyFleet(t)
	e := &experiment{fleet: f}
	inside, outside := e.insideCut()
	assert.Equal(t, len(inside), 1)
	assert.Equal(t, len(outside), tinyNodes-1)
	_, err := callAll[none](t.Context(), f, "/cut", inside)
	assert.NilError(t, err)
	accepted, err := f.write(t.Context(), hollowName(0), 2, 1)
	assert.NilError(t, err)

	seen := newObservations()
	changed := func(o Observations) map[string]int64 { return o.Changes[accepted.Revision] }
	awaitNotes(t.Context(), t, f, seen, tinyNodes-1, changed)
	cut := hollowName(tinyNodes - 1)
	awaitNotes(t.Context(), t, f, seen, tinyNodes-1, func(o Observations) map[string]int64 { return o.Deaths[cut] })
	assert.Equal(t, changed(seen)[cut], int64(0))

	_, err = callAll[none](t.Context(), f, "/cut", []string{})
	assert.NilError(t, err)
	awaitNotes(t.Context(), t, f, seen, tinyNodes, changed)
	_, err = f.awaitMembers(t.Context(), patience)
	assert.NilError(t, err)
}
