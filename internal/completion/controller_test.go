package completion

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/shed"
)

const (
	step, callTime, interval = 5 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond
	burstAt, drainTime       = 3 * time.Second, 2 * time.Second
	homeCount, slots         = 8, 120
	// reportShare is the share of replies that go to one entry node.
	reportShare = 0.1
)

var epoch = time.Unix(1000, 0)

func short(string) bool { return true }

func spare(string) bool { return false }

// kind is a kind of request whose calls of the last service run one after another.
type kind struct {
	level   criticality.Level
	calls   int
	maxWait time.Duration
	// load is the share of the last service's slots, and burst its factor during a burst.
	load, burst float64
}

// call is the current call of a request, which waits or runs until a time.
type call struct {
	kind, home, prior int
	rank              criticality.Rank
	arrived, until    time.Duration
	inBurst           float64
}

// tally counts requests that arrived during the burst. Started and failed requests count if
// they make calls and arrived after its first second.
type tally struct{ arrived, whole, prompt, started, failed float64 }

func (t *tally) add(other tally) {
	t.arrived += other.arrived
	t.whole += other.whole
	t.prompt += other.prompt
	t.started += other.started
	t.failed += other.failed
}

// model is a last service with one queue, and homes whose runs call it.
type model struct {
	random         *rand.Rand
	kinds          []kind
	now            time.Duration
	homes          []*Controller
	table          *pressure.Table
	queue, running []*call
	tallies        []tally
	lowest         uint16
}

// play simulates a burst. The last service rejects a share of its calls at random.
func play(kinds []kind, burst time.Duration, rejected float64, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), kinds: kinds, tallies: make([]tally, len(kinds)), lowest: shed.None}
	m.table = pressure.New(m.clock)
	for range homeCount {
		m.homes = append(m.homes, New(m.clock))
	}
	for ; m.now < burstAt+burst+drainTime; m.now += step {
		inBurst := indicator(m.now >= burstAt && m.now < burstAt+burst)
		for i := range kinds {
			m.arrive(i, inBurst)
		}
		m.running = slices.DeleteFunc(m.running, func(c *call) bool { return c.until <= m.now && m.finishCall(c) })
		m.queue = slices.DeleteFunc(m.queue, func(c *call) bool { return c.until <= m.now && m.end(c, NoRoom) })
		slices.SortFunc(m.queue, func(a, b *call) int {
			return cmp.Or(cmp.Compare(a.rank.Level, b.rank.Level), cmp.Compare(b.prior, a.prior), cmp.Compare(a.rank.Cohort, b.rank.Cohort))
		})
		for ; len(m.running) < slots && len(m.queue) > 0; m.queue = m.queue[1:] {
			m.start(m.queue[0], rejected)
		}
		for _, home := range m.homes {
			if m.now%interval == 0 {
				home.Tick(short)
			}
			for i := range kinds {
				m.lowest = min(m.lowest, home.Threshold(strconv.Itoa(i)))
			}
		}
	}
	return m
}

func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) arrive(i int, inBurst float64) {
	k, name := m.kinds[i], strconv.Itoa(i)
	mean := k.load * slots * step.Seconds() / (callTime.Seconds() * float64(k.calls)) * (1 + inBurst*(k.burst-1))
	for at := m.random.ExpFloat64(); at < mean; at += m.random.ExpFloat64() {
		rank := criticality.Rank{Level: k.level, Cohort: uint8(m.random.IntN(criticality.CohortCount))}
		c := &call{kind: i, home: m.random.IntN(homeCount), rank: rank, arrived: m.now, until: m.now + k.maxWait, inBurst: inBurst}
		m.tallies[i].arrived += inBurst
		if rank.Key() < m.table.Threshold(name) {
			m.homes[c.home].Observe(name, rank)
			m.queue = append(m.queue, c)
		}
	}
}

func (m *model) start(c *call, rejected float64) {
	if m.random.Float64() < rejected {
		m.end(c, Other)
		return
	}
	c.until = m.now + time.Duration(m.random.ExpFloat64()*float64(callTime)) - step/2
	m.running = append(m.running, c)
}

func (m *model) finishCall(c *call) bool {
	k := m.kinds[c.kind]
	if c.prior++; c.prior == k.calls {
		return m.end(c, Whole)
	}
	c.until = m.now + k.maxWait
	m.queue = append(m.queue, c)
	return true
}

func (m *model) end(c *call, result Result) bool {
	t, name, nested := &m.tallies[c.kind], strconv.Itoa(c.kind), m.kinds[c.kind].calls > 1
	if nested {
		m.homes[c.home].Record(name, result, epoch.Add(c.arrived))
	}
	if m.random.Float64() < reportShare {
		m.table.Report(name, strconv.Itoa(c.home), pressure.Level{Threshold: m.homes[c.home].Threshold(name)}, 10)
	}
	t.whole += c.inBurst * indicator(result == Whole)
	t.prompt += c.inBurst * indicator(result == Whole && m.now-c.arrived <= 200*time.Millisecond)
	later := c.inBurst * indicator(nested && c.arrived >= burstAt+time.Second)
	t.started += later
	t.failed += later * indicator(result != Whole)
	return true
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

var (
	lookup  = kind{criticality.Critical, 1, 300 * time.Millisecond, 0.30, 1}
	browse  = kind{criticality.Sheddable, 4, 500 * time.Millisecond, 0.30, 2.4}
	deposit = kind{criticality.SheddablePlus, 8, 500 * time.Millisecond, 0.25, 1}
	reading = kind{criticality.Critical, 1, 120 * time.Millisecond, 0.25, 1.7}
	logging = kind{criticality.CriticalPlus, 4, 500 * time.Millisecond, 0.25, 1.7}
	history = kind{criticality.Sheddable, 8, 500 * time.Millisecond, 0.40, 1.7}
)

// TestStartedRequestsComplete plays bursts beyond the capacity of the last service. Without
// thresholds, a third of the started runs fail.
func TestStartedRequestsComplete(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds []kind
		burst time.Duration
		// whole are the least shares of completed requests, prompt that of the first kind
		// within 200 ms.
		whole  []float64
		prompt float64
	}{
		// The capacity allows 0.45/(0.3*2.4) of the browse requests.
		{"one kind at 2.4 times its rate", []kind{lookup, browse, deposit}, 6 * time.Second, []float64{0.99, 0.9 * 0.45 / 0.72, 0.95}, 0.99},
		{"all kinds at 1.7 times", []kind{reading, logging, history}, 18 * time.Second, []float64{0.95, 0.95, 0.15}, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			sums, all := make([]tally, len(c.kinds)), tally{}
			for seed := range uint64(8) {
				for i, played := range play(c.kinds, c.burst, 0, seed).tallies {
					sums[i].add(played)
					all.add(played)
				}
			}
			t.Logf("%+v", sums)
			for i, least := range c.whole {
				assert.Assert(t, sums[i].whole >= least*sums[i].arrived, "kind %d: %+v", i, sums[i])
			}
			assert.Assert(t, sums[0].prompt >= c.prompt*sums[0].arrived, "%+v", sums[0])
			assert.Assert(t, all.failed < 0.05*all.started, "%+v", all)
		})
	}
}

// TestNoThresholdWithoutShortage guards against refusals that do not help: while targets reject
// 55% of all calls at random, almost no request with several calls completes in any case.
func TestNoThresholdWithoutShortage(t *testing.T) {
	assert.Equal(t, play([]kind{lookup, browse, deposit}, 8*time.Second, 0.55, 1).lowest, shed.None)
	browse := browse
	browse.burst = 1
	assert.Equal(t, play([]kind{lookup, browse, deposit}, 8*time.Second, 0, 1).lowest, shed.None)
}

// TestThresholdOfKilledHomeExpires kills a home while it refuses. The reports of the other one
// remain, and its threshold rises when no more runs end.
func TestThresholdOfKilledHomeExpires(t *testing.T) {
	m := &model{}
	m.table = pressure.New(m.clock)
	home := New(m.clock)
	for _, result := range []Result{Whole, NoRoom} {
		for key := range uint16(10) {
			home.Record("r", result, m.clock())
			home.Observe("r", criticality.RankOf(200+key))
		}
		m.now += interval
		home.Tick(short)
	}
	assert.Assert(t, home.Threshold("r") < 210)
	m.table.Report("r", "killed", pressure.Level{Threshold: 100}, 10)
	m.now += 2 * time.Second
	m.table.Report("r", "alive", pressure.Level{Threshold: home.Threshold("r")}, 10)
	assert.Equal(t, m.table.Threshold("r"), home.Threshold("r"))
	for home.Threshold("r") < shed.None {
		m.now += interval
		home.Tick(short)
		assert.Assert(t, m.now < 20*time.Second)
	}
}

// TestFirstFailuresRefuseTwoThirds guards against a home that refuses nearly all requests at the
// start of a load, when runs have failed before any could have completed.
func TestFirstFailuresRefuseTwoThirds(t *testing.T) {
	m := &model{}
	home := New(m.clock)
	tick := func(result Result) uint16 {
		for key := range uint16(30) {
			home.Record("r", result, m.clock())
			home.Observe("r", criticality.RankOf(200+key))
		}
		m.now += interval
		return home.Tick(short)[0].Threshold
	}
	threshold := tick(NoRoom)
	assert.Assert(t, threshold > 207 && threshold < 212, "%d", threshold)
	assert.Assert(t, tick(Whole) > threshold, "runs that began before show the capacity")
}

// TestBurstThatIsOverRefusesNothing guards against requests that are refused for seconds after a
// burst of failures, although the called services have capacity again.
func TestBurstThatIsOverRefusesNothing(t *testing.T) {
	m := &model{}
	home := New(m.clock)
	for tick := range 20 {
		for key := range uint16(30) {
			home.Record("r", map[bool]Result{true: NoRoom, false: Whole}[tick == 0], m.clock())
			home.Observe("r", criticality.RankOf(200+key))
		}
		m.now += interval
		home.Tick(spare)
		assert.Assert(t, tick > 0 || home.Threshold("r") < shed.None)
	}
	assert.Equal(t, home.Threshold("r"), shed.None)
}

func TestLogLinesAreBounded(t *testing.T) {
	r := newRoute(epoch)
	assert.Assert(t, r.isNotable(100, epoch.Add(interval)))
	assert.Assert(t, !r.isNotable(300, epoch.Add(2*interval)), "within a second")
	assert.Assert(t, r.isNotable(300, epoch.Add(interval+minLogInterval)))
	assert.Assert(t, !r.isNotable(310, epoch.Add(time.Minute)), "a small change")
}

func TestRoutesAreBoundedAndForgotten(t *testing.T) {
	m := &model{}
	home := New(m.clock)
	for i := range 2 * maxRoutes {
		home.Record(strconv.Itoa(i), NoRoom, m.clock())
	}
	m.now += interval
	states := home.Tick(short)
	assert.Equal(t, len(states), maxRoutes)
	assert.Equal(t, states[0].Threshold, shed.None, "a single run does not decide")
	m.now += idleTime
	home.Tick(short)
	assert.Equal(t, len(home.Tick(short)), 0)
}
