package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// schedules is the number of seeded schedules to run, firstSchedule the seed of the first one.
var (
	schedules     = flag.Int("schedules", 40, "number of seeded verification schedules to run")
	firstSchedule = flag.Uint64("first-schedule", 1, "seed of the first verification schedule")
)

const testVerifyAfter = time.Second

func newVerifiedFleet(t *testing.T, size int, delay func() time.Duration) *fleet {
	f := &fleet{t: t, store: newFakeStore(), verifyAfter: testVerifyAfter, delay: delay, nodes: make([]*node, size)}
	for i := range f.nodes {
		f.nodes[i] = &node{address: fmt.Sprint(i), position: i, noCalls: i >= size-size/10}
	}
	for _, n := range f.nodes {
		f.start(n, false)
	}
	return f
}

func (f *fleet) oldestVerification() time.Duration {
	oldest := time.Duration(0)
	for _, n := range f.nodes {
		if p := n.process.Load(); p != nil {
			oldest = max(oldest, time.Since(p.copy.VerifiedAt()))
		}
	}
	return oldest
}

// TestWatchDoesNotVerify checks that watch events don't count as a verification: a watch misses
// changes in history that the store compacts.
func TestWatchDoesNotVerify(t *testing.T) {
	c := newRecordingCopy(time.Now)
	readAt := time.Now()
	c.applySnapshot(snapshotOf(3, store.Entry{Key: "a", Value: []byte("1"), Revision: 3}), readAt)
	c.applyEvents(nil, 9)
	c.applyEvents([]store.Entry{{Key: "a", Value: []byte("2"), Revision: 9}}, 9)
	assert.Equal(t, c.VerifiedAt(), readAt)
}

// TestPeerVerificationIsDatedFromQuery checks that a peer's verification counts only if both
// copies have the same revision, and that its age is subtracted from the time of the query.
func TestPeerVerificationIsDatedFromQuery(t *testing.T) {
	c := newRecordingCopy(time.Now)
	readAt := time.Now()
	c.applySnapshot(snapshotOf(3, store.Entry{Key: "a", Value: []byte("1"), Revision: 3}), readAt)
	sentAt := readAt.Add(10 * time.Second)
	c.confirmByDigest(Digest{Revision: 4, Age: 0, Verified: 0}, sentAt)
	c.confirmByDigest(Digest{Revision: 2, Age: 0, Verified: 0}, sentAt)
	c.confirmByDigest(Digest{Revision: 3, Age: 0, Verified: 0}, time.Time{})
	c.confirmByDigest(Digest{Revision: 3, Age: 0, Verified: unknownAge}, sentAt)
	assert.Equal(t, c.VerifiedAt(), readAt)
	c.confirmByDigest(Digest{Revision: 3, Age: 0, Verified: 4 * time.Second}, sentAt)
	assert.Equal(t, c.VerifiedAt(), readAt.Add(6*time.Second))
	c.applyDelta(Delta{Digest: Digest{Revision: 7, Age: 0, Verified: time.Second}, Items: []Item{{Key: "a", Revision: 7}}}, "peer", sentAt)
	assert.Equal(t, c.VerifiedAt(), readAt.Add(9*time.Second))
}

// TestVerificationIsPublishedAfterChanges reads the verification while onChange runs: readers
// must not rely on it before onChange has returned, though the copy already holds the change.
func TestVerificationIsPublishedAfterChanges(t *testing.T) {
	var c *Copy
	var seen []time.Time
	c = NewCopy(staleAfter, func([]store.Entry, string) {
		c.confirmByDigest(Digest{Revision: 9, Age: 0, Verified: 0}, time.Now().Add(time.Hour))
		seen = append(seen, c.VerifiedAt())
	}, time.Now)
	c.applySnapshot(snapshotOf(9, store.Entry{Key: "a", Revision: 9}), time.Now())
	assert.DeepEqual(t, seen, []time.Time{{}})
	assert.Assert(t, !c.VerifiedAt().IsZero())
}

// TestVerificationAgeIsBounded checks that the number of reads that verify copies does not grow
// with the size of the fleet. Nodes refuse requests with API keys if their verification is too
// old.
func TestVerificationAgeIsBounded(t *testing.T) {
	for _, size := range []int{17, 71, 300} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				f := newVerifiedFleet(t, size, nil)
				defer f.stop()
				f.store.put("a", "1")
				f.awaitValue("a", "1", 5*time.Second)
				time.Sleep(5 * time.Second)
				callsBefore := f.store.calls.Load()
				oldest := time.Duration(0)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					oldest = max(oldest, f.oldestVerification())
				}
				calls := f.store.calls.Load() - callsBefore
				t.Logf("%d nodes: oldest verification is %s old, %d calls in 10 s", size, oldest, calls)
				assert.Assert(t, oldest < 2500*time.Millisecond)
				// The watchers make one call a second each, and each second one node verifies;
				// two more calls a second are allowed for nodes that have not yet received that
				// verification.
				assert.Assert(t, calls <= watchers*10*3/2+30)
			})
		})
	}
}

// TestVerificationReachesRefusedNodes has the store refuse a third of the nodes, among them those
// that would verify first: their verifications must come from peers.
func TestVerificationReachesRefusedNodes(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newVerifiedFleet(t, 60, nil)
		defer f.stop()
		f.store.put("a", "1")
		f.awaitValue("a", "1", 5*time.Second)
		for _, n := range f.nodes[:20] {
			f.setRefused(n, true)
		}
		time.Sleep(6 * time.Second)
		oldest := f.oldestVerification()
		t.Logf("oldest verification is %s old", oldest)
		assert.Assert(t, oldest < 4*time.Second)
	})
}

// acknowledgedWrite is a write that the store acknowledged.
type acknowledgedWrite struct {
	value int
	at    time.Time
}

// acknowledgedWrites records the acknowledged writes of one key.
type acknowledgedWrites struct {
	mutex  sync.Mutex
	writes []acknowledgedWrite
}

// write writes the next value; if wakeWatches is not set, blocked watches miss it.
func (w *acknowledgedWrites) write(f *fleet, wakeWatches bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	value := len(w.writes) + 1
	if wakeWatches {
		f.store.put("a", strconv.Itoa(value))
	} else {
		f.store.putWithoutEvent("a", strconv.Itoa(value))
	}
	w.writes = append(w.writes, acknowledgedWrite{value: value, at: time.Now()})
}

// valueAsOf returns the newest value that was acknowledged before the given time.
func (w *acknowledgedWrites) valueAsOf(at time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	newest := 0
	for _, c := range w.writes {
		if c.at.Before(at) {
			newest = c.value
		}
	}
	return newest
}

// TestCopyHoldsWritesBeforeVerification runs seeded schedules in which the store refuses nodes
// and compacts its history, nodes are killed and started, and messages, reads and answers are
// delayed by up to 6 s. A copy must always hold all writes that the store had acknowledged by
// the time of its verification. Otherwise a revoked API key could still work at a node whose
// verification is younger than the revocation bound.
func TestCopyHoldsWritesBeforeVerification(t *testing.T) {
	for seed := *firstSchedule; seed < *firstSchedule+uint64(*schedules); seed++ {
		virtualtime.Run(t, func(t *testing.T) { runVerificationSchedule(t, seed) })
	}
}

// scheduleSizes are the fleet sizes that schedules run with, mostly small ones.
var scheduleSizes = []int{17, 17, 17, 17, 17, 17, 17, 17, 17, 71, 17, 17, 17, 17, 17, 17, 17, 17, 17, 300}

func runVerificationSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	delay := func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		if random.IntN(20) > 0 {
			return 0
		}
		return time.Duration(random.Int64N(int64(6 * time.Second)))
	}
	f := newVerifiedFleet(t, scheduleSizes[seed%uint64(len(scheduleSizes))], delay)
	defer func() {
		f.stop()
		// Delayed steps end after the processes have stopped.
		time.Sleep(time.Minute)
	}()
	writes := &acknowledgedWrites{}
	for range 60 {
		time.Sleep(200 * time.Millisecond)
		mutex.Lock()
		action, n := random.IntN(8), f.nodes[random.IntN(len(f.nodes))]
		mutex.Unlock()
		f.step(action, n, writes)
		f.checkVerifications(seed, writes)
	}
}

// step runs one step of a schedule.
func (f *fleet) step(action int, n *node, writes *acknowledgedWrites) {
	process := n.process.Load()
	switch {
	case action < 3:
		writes.write(f, true)
	case action == 3:
		writes.write(f, false)
		f.store.compact()
	case process == nil:
		f.start(n, action%2 == 0)
	case action == 4:
		f.kill(n)
	case action < 7:
		process.store.refused.Store(!process.store.refused.Load())
	}
}

func (f *fleet) checkVerifications(seed uint64, writes *acknowledgedWrites) {
	f.t.Helper()
	for _, n := range f.nodes {
		p := n.process.Load()
		if p == nil {
			continue
		}
		verified := p.copy.VerifiedAt()
		actual, _ := strconv.Atoi(p.value("a"))
		if expected := writes.valueAsOf(verified); actual < expected {
			f.t.Fatalf("seed %d: node %s holds value %d, but was verified %s ago when the store held %d", seed, n.address, actual, time.Since(verified), expected)
		}
	}
}
