package shortage

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/shed"
)

const (
	nodeCount, slots  = 70, 61
	step, tick        = 200 * time.Microsecond, 100 * time.Millisecond
	lastHome, lastHop = 64, "d"
)

// chain is the call chain of station histories in the air-quality deployment, 968 a second with 2, 4 and 8
// calls to the next services: the nodes that serve a route, those that call it, and the replies a second.
var chain = []struct {
	route                                  string
	firstHome, homes, firstCaller, callers int
	replies                                float64
}{{"a", 0, 31, 0, nodeCount, 968}, {"b", 31, 17, 0, 31, 2 * 968}, {"c", 48, 16, 31, 17, 4 * 968}, {lastHop, lastHome, 6, 48, 16, 8 * 968}}

// propagation simulates the nodes of the deployment, with thresholds by service and by route.
type propagation struct {
	random *rand.Rand
	now    time.Time
	tables []*Table
	levels []*pressure.Table
	// threshold is that of the last service's homes, and cutOff the nodes that reach only each other.
	threshold uint16
	cutOff    func(node int) bool
	// nextTicks are the times at which nodes update their own threshold; killed nodes no longer do.
	nextTicks []time.Time
	killed    bool
}

func newPropagation(seed uint64, threshold uint16) *propagation {
	p := &propagation{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), threshold: threshold, cutOff: func(int) bool { return false }}
	now := func() time.Time { return p.now }
	for i, hop := range chain {
		for node := hop.firstHome; node < hop.firstHome+hop.homes; node++ {
			table, level := New(hop.route, strconv.Itoa(node), now), pressure.New(now)
			for _, h := range chain {
				table.SetHomes(h.route, h.homes*slots)
			}
			if i+1 < len(chain) {
				level.RecordCalls(hop.route, chain[i+1].route, pressure.CallStats{Count: 2})
			}
			p.tables, p.levels = append(p.tables, table), append(p.levels, level)
			p.nextTicks = append(p.nextTicks, p.now.Add(time.Duration(p.random.Int64N(int64(tick)))))
		}
	}
	return p
}

// own returns the threshold of a node's own queue.
func (p *propagation) own(node int) uint16 {
	if node < lastHome {
		return shed.None
	}
	return p.threshold
}

// run advances the simulation while the condition holds, and returns the time of its end.
func (p *propagation) run(limit time.Duration, condition func() bool) time.Time {
	for end := p.now.Add(limit); p.now.Before(end) && condition(); p.now = p.now.Add(step) {
		for node, at := range p.nextTicks {
			if !p.now.Before(at) && !p.killed {
				p.nextTicks[node] = at.Add(tick)
				p.tables[node].SetLocal(p.own(node), slots)
			}
		}
		for _, hop := range chain {
			for replies := hop.replies * step.Seconds(); p.random.Float64() < replies; replies-- {
				home, caller := hop.firstHome+p.random.IntN(hop.homes), hop.firstCaller+p.random.IntN(hop.callers)
				if p.cutOff(home) != p.cutOff(caller) {
					continue
				}
				p.tables[caller].Merge(p.tables[home].Append(nil))
				p.levels[caller].Report(hop.route, strconv.Itoa(home), pressure.Level{Threshold: min(p.own(home), p.levels[home].Downstream(hop.route).Threshold)}, slots)
			}
		}
	}
	return p.now
}

func always() bool { return true }

func (p *propagation) byService(node int) uint16 { return p.tables[node].Threshold(lastHop) }

func (p *propagation) byRoute(node int) uint16 { return p.levels[node].Threshold("a") }

// reach returns the time at which 0.95 of the nodes have the threshold of the last service's homes.
func (p *propagation) reach(threshold func(node int) uint16) time.Time {
	return p.run(3*time.Second, func() bool {
		count := 0
		for node := range nodeCount {
			if threshold(node) == p.threshold {
				count++
			}
		}
		return count*100 < nodeCount*95
	})
}

// TestThresholdsReachEntryNodes guards against entry nodes that admit requests for more than 200 ms after the
// last service has begun to refuse them, or refuse them for so long after its end. A threshold is created by
// the fifth of its six homes, with which three quarters refuse, and ended by the second that accepts.
func TestThresholdsReachEntryNodes(t *testing.T) {
	for _, c := range []struct {
		before, after uint16
		deciding      int
	}{{shed.None, 300, 4}, {300, shed.None, 1}} {
		var byService, byRoute []time.Duration
		for seed := range uint64(3) {
			p := newPropagation(seed, c.before)
			p.run(2*time.Second, always)
			p.threshold = c.after
			changed := slices.SortedFunc(slices.Values(p.nextTicks[lastHome:]), time.Time.Compare)[c.deciding]
			byService = append(byService, p.reach(p.byService).Sub(changed))
			byRoute = append(byRoute, p.reach(p.byRoute).Sub(changed))
		}
		t.Logf("%d after %d: by service after %v, by route after %v", c.after, c.before, byService, byRoute)
		assert.Assert(t, slices.Max(byService) <= 200*time.Millisecond)
		assert.Assert(t, 2*slices.Max(byService) < slices.Min(byRoute))
	}
}

// TestLostHomesAndNodes guards against reports that outlive their home, and against thresholds on the sides of
// a partition, which have the reports of too few homes.
func TestLostHomesAndNodes(t *testing.T) {
	p := newPropagation(1, 300)
	count := func(threshold uint16) (count int) {
		for node := range nodeCount {
			if p.byService(node) == threshold {
				count++
			}
		}
		return count
	}
	p.run(time.Second, always)
	p.cutOff = func(node int) bool { return node%3 == 0 }
	p.run(MaxAge+relayAge, always)
	assert.Equal(t, count(shed.None), nodeCount)
	p.cutOff = func(int) bool { return false }
	p.run(tick+200*time.Millisecond, always)
	assert.Assert(t, count(300)*100 >= nodeCount*95)
	p.killed = true
	p.run(MaxAge+step, always)
	assert.Equal(t, count(shed.None), nodeCount)
}
