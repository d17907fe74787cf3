package shortage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/shed"
)

const (
	simulatedNodes = 70
	simulatedStep  = 200 * time.Microsecond
	tickInterval   = 100 * time.Millisecond
	lastService    = "d"
	slots          = 61
)

// hop is one stage of the call chain: replies of the homes of a route to their callers.
type hop struct {
	route string
	// firstHome and homes are the range of nodes that serve the route; callers likewise.
	firstHome, homes, firstCaller, callers int
	repliesPerSecond                       float64
}

// chain is the call chain of station histories in the air-quality deployment: 968 requests a second,
// with 2, 4 and 8 calls to the next services.
var chain = []hop{
	{"a", 0, 31, 0, simulatedNodes, 968},
	{"b", 31, 17, 0, 31, 2 * 968},
	{"c", 48, 16, 31, 17, 4 * 968},
	{lastService, 64, 6, 48, 16, 8 * 968},
}

// propagation simulates the nodes of the deployment, with the thresholds by service and with the
// propagation by route that package pressure implements.
type propagation struct {
	random *rand.Rand
	now    time.Time
	began  time.Time
	tables []*Table
	levels []*pressure.Table
	// refusing is set while the homes of the last service refuse ranks, and partitioned nodes exchange
	// nothing with others.
	refusing    bool
	partitioned map[int]bool
	nextTicks   []time.Duration
}

func newPropagation(seed uint64) *propagation {
	p := &propagation{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), partitioned: make(map[int]bool)}
	p.began = p.now
	now := func() time.Time { return p.now }
	for node := range simulatedNodes {
		service := ""
		for _, h := range chain {
			if node >= h.firstHome {
				service = h.route
			}
		}
		table := New(service, fmt.Sprint(node), now)
		for _, h := range chain {
			table.SetHomes(h.route, h.homes*slots)
		}
		level := pressure.New(now)
		for i, h := range chain[1:] {
			level.RecordCalls(chain[i].route, h.route, pressure.CallStats{Count: 2})
		}
		p.tables, p.levels = append(p.tables, table), append(p.levels, level)
		p.nextTicks = append(p.nextTicks, time.Duration(p.random.Int64N(int64(tickInterval))))
	}
	return p
}

func (p *propagation) elapsed() time.Duration { return p.now.Sub(p.began) }

// run advances the simulation and calls visit after each step until it returns false.
func (p *propagation) run(duration time.Duration, visit func() bool) {
	for end := p.now.Add(duration); p.now.Before(end) && visit(); {
		p.now = p.now.Add(simulatedStep)
		for node := range simulatedNodes {
			if p.elapsed() >= p.nextTicks[node] {
				p.nextTicks[node] += tickInterval
				p.tables[node].SetLocal(p.localThreshold(node), slots)
			}
		}
		for _, h := range chain {
			for replies := h.repliesPerSecond * simulatedStep.Seconds(); p.random.Float64() < replies; replies-- {
				p.reply(h)
			}
		}
	}
}

// localThreshold is the threshold of a home's queue as of its last tick.
func (p *propagation) localThreshold(node int) uint16 {
	if p.refusing && node >= chain[len(chain)-1].firstHome {
		return 300
	}
	return shed.None
}

func (p *propagation) reply(h hop) {
	home, caller := h.firstHome+p.random.IntN(h.homes), h.firstCaller+p.random.IntN(h.callers)
	if p.partitioned[home] != p.partitioned[caller] {
		return
	}
	p.tables[caller].Merge(p.tables[home].Append(nil))
	threshold := min(p.localThreshold(home), p.levels[home].Downstream(h.route).Threshold)
	p.levels[caller].Report(h.route, fmt.Sprint(home), pressure.Level{Threshold: threshold}, slots)
}

// set makes the homes of the last service refuse ranks or stop to, and returns the time at which
// enough of them have reported it: those with three quarters of the weight, or with more than one.
func (p *propagation) set(refusing bool) time.Time {
	p.refusing = refusing
	ticks := slices.Sorted(slices.Values(p.nextTicks[chain[len(chain)-1].firstHome:]))
	if refusing {
		return p.began.Add(ticks[4])
	}
	return p.began.Add(ticks[1])
}

// reached returns the time at which at least 0.95 of the nodes have a threshold, or none.
func (p *propagation) reached(refusing bool, threshold func(node int) uint16) time.Time {
	p.run(3*time.Second, func() bool {
		count := 0
		for node := range simulatedNodes {
			if (threshold(node) < shed.None) == refusing {
				count++
			}
		}
		return count*100 < simulatedNodes*95
	})
	return p.now
}

// TestThresholdsReachEntryNodes guards against entry nodes that admit requests for more than 200 ms
// after the last service of the chain has begun to refuse them, or refuse them for so long after its
// end, at twice the figures of the propagation by route or more.
func TestThresholdsReachEntryNodes(t *testing.T) {
	for _, refusing := range []bool{true, false} {
		var byService, byRoute []time.Duration
		for seed := range uint64(3) {
			p := newPropagation(seed)
			p.set(!refusing)
			p.run(2*time.Second, func() bool { return true })
			changed := p.set(refusing)
			byService = append(byService, p.reached(refusing, func(node int) uint16 { return p.tables[node].Threshold(lastService) }).Sub(changed))
			byRoute = append(byRoute, p.reached(refusing, func(node int) uint16 { return p.levels[node].Threshold(chain[0].route) }).Sub(changed))
		}
		t.Logf("refusing %t: by service after %v, by route after %v", refusing, byService, byRoute)
		assert.Assert(t, slices.Max(byService) <= 200*time.Millisecond)
		assert.Assert(t, 2*slices.Max(byService) < slices.Min(byRoute))
	}
}

// TestLostHomesAndNodes guards against reports that outlive their home, and against thresholds on the
// side of a partition that lacks the reports.
func TestLostHomesAndNodes(t *testing.T) {
	p := newPropagation(1)
	p.set(true)
	p.run(time.Second, func() bool { return true })
	for node := range simulatedNodes {
		// Every third node, among them two of the last service's homes, is cut off from the others.
		p.partitioned[node] = node%3 == 0
	}
	p.run(MaxAge+relayAge, func() bool { return true })
	for node := range simulatedNodes {
		assert.Equal(t, p.tables[node].Threshold(lastService), shed.None, "node %d has the reports of some homes only", node)
	}
	p.partitioned = make(map[int]bool)
	p.run(tickInterval+200*time.Millisecond, func() bool { return true })
	assert.Equal(t, p.tables[0].Threshold(lastService), uint16(300))
	for node := chain[len(chain)-1].firstHome; node < simulatedNodes; node++ {
		p.nextTicks[node] = time.Hour
	}
	p.run(MaxAge+20*time.Millisecond, func() bool { return true })
	for node := range simulatedNodes {
		assert.Equal(t, p.tables[node].Threshold(lastService), shed.None, "node %d uses the reports of killed homes", node)
	}
}
