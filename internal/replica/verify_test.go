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

// schedules is the number of seeded schedules that are played, firstSchedule the first seed.
var (
	schedules     = flag.Int("schedules", 40, "seeded schedules of verification to play")
	firstSchedule = flag.Uint64("first-schedule", 1, "seed of the first schedule")
)

const testVerifyAfter = time.Second

func newVerifiedFleet(t *testing.T, size int, delay func() time.Duration) *fleet {
	f := &fleet{t: t, store: newFakeStore(), verifyAfter: testVerifyAfter, delay: delay, nodes: make([]*node, size)}
	for i := range f.nodes {
		f.nodes[i] = &node{address: fmt.Sprint(i), place: i, silent: i >= size-size/10}
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

// TestAWatchVerifiesNothing has a copy hear of a store only by its watch, which hears
// nothing of changes in history that the store drops.
func TestAWatchVerifiesNothing(t *testing.T) {
	c := newTaken(time.Now)
	read := time.Now()
	c.takeSnapshot(snapshotOf(3, store.Entry{Key: "a", Value: []byte("1"), Revision: 3}), read)
	c.takeEvents(nil, 9)
	c.takeEvents([]store.Entry{{Key: "a", Value: []byte("2"), Revision: 9}}, 9)
	assert.Equal(t, c.VerifiedAt(), read)
}

// TestAPeersVerificationCountsFromWhenItWasAsked has peers with the same and with another
// state tell their verifications.
func TestAPeersVerificationCountsFromWhenItWasAsked(t *testing.T) {
	c := newTaken(time.Now)
	read := time.Now()
	c.takeSnapshot(snapshotOf(3, store.Entry{Key: "a", Value: []byte("1"), Revision: 3}), read)
	asked := read.Add(10 * time.Second)
	c.heard(Digest{Revision: 4, Age: 0, Verified: 0}, asked)
	c.heard(Digest{Revision: 2, Age: 0, Verified: 0}, asked)
	c.heard(Digest{Revision: 3, Age: 0, Verified: 0}, time.Time{})
	c.heard(Digest{Revision: 3, Age: 0, Verified: unknownAge}, asked)
	assert.Equal(t, c.VerifiedAt(), read)
	c.heard(Digest{Revision: 3, Age: 0, Verified: 4 * time.Second}, asked)
	assert.Equal(t, c.VerifiedAt(), read.Add(6*time.Second))
	c.takeDelta(Delta{Digest: Digest{Revision: 7, Age: 0, Verified: time.Second}, Items: []Item{{Key: "a", Revision: 7}}}, "peer", asked)
	assert.Equal(t, c.VerifiedAt(), read.Add(9*time.Second))
}

// TestAVerificationIsPublishedAfterItsChanges looks at a copy while it tells a change that
// it holds already: whoever was told nothing must not rely on the verification.
func TestAVerificationIsPublishedAfterItsChanges(t *testing.T) {
	var c *Copy
	var seen []time.Time
	c = NewCopy(staleAfter, func([]store.Entry, string) {
		c.heard(Digest{Revision: 9, Age: 0, Verified: 0}, time.Now().Add(time.Hour))
		seen = append(seen, c.VerifiedAt())
	}, time.Now)
	c.takeSnapshot(snapshotOf(9, store.Entry{Key: "a", Revision: 9}), time.Now())
	assert.DeepEqual(t, seen, []time.Time{{}})
	assert.Assert(t, !c.VerifiedAt().IsZero())
}

// TestVerificationsStayYoung has the fleet verify its copies at a cost that does not grow
// with its size. Callers with keys are refused by nodes whose verification is too old.
func TestVerificationsStayYoung(t *testing.T) {
	for _, size := range []int{17, 71, 300} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				f := newVerifiedFleet(t, size, nil)
				defer f.end()
				f.store.put("a", "1")
				f.until("a", "1", 5*time.Second)
				time.Sleep(5 * time.Second)
				before := f.store.calls.Load()
				oldest := time.Duration(0)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					oldest = max(oldest, f.oldestVerification())
				}
				calls := f.store.calls.Load() - before
				t.Logf("%d nodes: verified at most %s ago, %d calls in 10 s", size, oldest, calls)
				assert.Assert(t, oldest < 2500*time.Millisecond)
				// The watchers make one call a second each, and each second one node verifies;
				// two more are allowed for nodes that have not heard of it.
				assert.Assert(t, calls <= watchers*10*3/2+30)
			})
		})
	}
}

// TestVerificationsReachNodesThatTheStoreRefuses has the store refuse a third of the nodes,
// those among them that come first.
func TestVerificationsReachNodesThatTheStoreRefuses(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newVerifiedFleet(t, 60, nil)
		defer f.end()
		f.store.put("a", "1")
		f.until("a", "1", 5*time.Second)
		for _, n := range f.nodes[:20] {
			f.cut(n, true)
		}
		time.Sleep(6 * time.Second)
		oldest := f.oldestVerification()
		t.Logf("verified at most %s ago", oldest)
		assert.Assert(t, oldest < 4*time.Second)
	})
}

// change is one that the store acknowledged.
type change struct {
	value int
	at    time.Time
}

// history notes acknowledged changes of one key.
type history struct {
	mutex   sync.Mutex
	changes []change
}

// put writes the next value, by which watches that wait may be woken.
func (h *history) put(f *fleet, wakes bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	value := len(h.changes) + 1
	if wakes {
		f.store.put("a", strconv.Itoa(value))
	} else {
		f.store.putUnheard("a", strconv.Itoa(value))
	}
	h.changes = append(h.changes, change{value: value, at: time.Now()})
}

// before returns the newest value that was acknowledged before a moment.
func (h *history) before(moment time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	newest := 0
	for _, c := range h.changes {
		if c.at.Before(moment) {
			newest = c.value
		}
	}
	return newest
}

// TestNoVerificationIsYoungerThanItsCopy plays seeded schedules of nodes that are refused,
// killed and started, of messages, reads and answers that come up to 6 s late, and of
// history that is dropped. Whatever a node says of when its copy was verified, it holds all
// that the store had acknowledged by then: a request whose key was taken away longer ago
// than the bound therefore never finds the key at a node whose verification is within it.
func TestNoVerificationIsYoungerThanItsCopy(t *testing.T) {
	for seed := *firstSchedule; seed < *firstSchedule+uint64(*schedules); seed++ {
		virtualtime.Run(t, func(t *testing.T) { playSchedule(t, seed) })
	}
}

// scheduleSizes are the fleets that schedules are played with, the small ones more often.
var scheduleSizes = []int{17, 17, 17, 17, 17, 17, 17, 17, 17, 71, 17, 17, 17, 17, 17, 17, 17, 17, 17, 300}

func playSchedule(t *testing.T, seed uint64) {
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
		f.end()
		// Steps that are late end after the processes.
		time.Sleep(time.Minute)
	}()
	written := &history{}
	for range 60 {
		time.Sleep(200 * time.Millisecond)
		mutex.Lock()
		action, chosen := random.IntN(8), f.nodes[random.IntN(len(f.nodes))]
		mutex.Unlock()
		f.act(action, chosen, written)
		f.checkVerifications(seed, written)
	}
}

// act takes one step of a schedule.
func (f *fleet) act(action int, chosen *node, written *history) {
	process := chosen.process.Load()
	switch {
	case action < 3:
		written.put(f, true)
	case action == 3:
		written.put(f, false)
		f.store.drop()
	case process == nil:
		f.start(chosen, action%2 == 0)
	case action == 4:
		f.kill(chosen)
	case action < 7:
		process.store.cut.Store(!process.store.cut.Load())
	}
}

func (f *fleet) checkVerifications(seed uint64, written *history) {
	f.t.Helper()
	for _, n := range f.nodes {
		p := n.process.Load()
		if p == nil {
			continue
		}
		verified := p.copy.VerifiedAt()
		held, _ := strconv.Atoi(p.value("a"))
		if due := written.before(verified); held < due {
			f.t.Fatalf("seed %d: node %s holds %d, verified %s ago, when the store held %d", seed, n.address, held, time.Since(verified), due)
		}
	}
}
