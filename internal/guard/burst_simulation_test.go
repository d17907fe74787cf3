package guard

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
)

const (
	burstStep, burstBegin = 2 * time.Millisecond, 3 * time.Second
	// burstHomes homes of the last service have burstSlots slots each.
	burstHomes, burstSlots = 6, 57
	// burstTimeout bounds a run, and betweenCalls is the time that it takes before each call.
	burstTimeout, betweenCalls = 900 * time.Millisecond, 6 * time.Millisecond
)

// burstKind is a kind of request whose calls of the last service run one after another.
type burstKind struct {
	level criticality.Level
	calls int
	// callTime and maxWait are in milliseconds.
	callTime, maxWait time.Duration
	// load is the share of the last service's capacity, and factor that by which it grows in the burst.
	load, factor float64
}

// burstRun is a started request with its current call, which waits or runs until a time.
type burstRun struct {
	*burstKind
	prior                   int
	rank                    criticality.Rank
	started, arrived, until time.Duration
}

// burstHome is a home of the last service. No call had waited for more than 20 ms until shortUntil.
type burstHome struct {
	speed          float64
	controller     *shed.Controller
	queue, running []*burstRun
	served         uint64
	shortUntil     time.Duration
}

// burst is a model of the last service's homes and of one entry node.
type burst struct {
	random         *rand.Rand
	now, length    time.Duration
	homes          [burstHomes]*burstHome
	capacity, used float64
	entry          *shortage.Table
	// onWay are the reports of the last tick, and between the runs that make no call at the moment.
	onWay   []shortage.Report
	between []*burstRun
	// runs counts whole and other runs with several calls that start in the burst after its first 500 ms.
	runs map[bool]float64
	// urgent counts the requests of the two most important levels in the burst by whether they are admitted.
	urgent map[bool]float64
}

func playBurst(config shed.Config, kinds []burstKind, length time.Duration, seed uint64) *burst {
	b := &burst{random: rand.New(rand.NewPCG(seed, 7)), length: length, runs: make(map[bool]float64), urgent: make(map[bool]float64)}
	b.entry = shortage.New("entry", "entry", b.clock)
	b.entry.SetHomes("last", burstHomes*burstSlots)
	for i := range b.homes {
		b.homes[i] = &burstHome{speed: []float64{0.7, 0.7, 1.6}[i%3], controller: shed.NewController(config)}
		b.capacity += b.homes[i].speed * burstSlots
	}
	for ; b.now < burstBegin+length+2*time.Second; b.now += burstStep {
		for i := range kinds {
			b.arrive(&kinds[i])
		}
		b.between = slices.DeleteFunc(b.between, func(r *burstRun) bool { return r.until <= b.now && b.call(r) })
		for _, h := range b.homes {
			b.serve(h)
		}
		if b.now%shedInterval == 0 {
			b.tick()
		}
	}
	return b
}

func (b *burst) clock() time.Time { return time.Unix(1000, 0).Add(b.now) }

// inBurst reports whether a time is in the burst, after its first part.
func (b *burst) inBurst(at, first time.Duration) bool {
	return at >= burstBegin+first && at < burstBegin+b.length
}

func (b *burst) arrive(k *burstKind) {
	mean := k.load * b.capacity / float64(k.callTime) / float64(k.calls) * 1000 * burstStep.Seconds()
	if b.inBurst(b.now, 0) {
		mean *= k.factor
	}
	for at := b.random.ExpFloat64(); at < mean; at += b.random.ExpFloat64() {
		rank := criticality.Rank{Level: k.level, Cohort: uint8(b.random.IntN(criticality.CohortCount))}
		admitted := rank.Key() < b.entry.Threshold("last")
		if k.level <= criticality.Critical && b.inBurst(b.now, 0) {
			b.urgent[admitted]++
		}
		if admitted {
			b.between = append(b.between, &burstRun{burstKind: k, rank: rank, started: b.now, until: b.now + 3*betweenCalls})
		}
	}
}

// call sends the next call of a run to the less loaded of two homes.
func (b *burst) call(r *burstRun) bool {
	load := func(h *burstHome) float64 { return float64(len(h.queue)+len(h.running)) / h.speed }
	home, other := b.homes[b.random.IntN(burstHomes)], b.homes[b.random.IntN(burstHomes)]
	if load(other) < load(home) {
		home = other
	}
	home.controller.Observe(r.rank)
	r.arrived, r.until = b.now, min(b.now+r.maxWait*time.Millisecond, r.started+burstTimeout)
	home.queue = append(home.queue, r)
	return true
}

func (b *burst) end(r *burstRun, whole bool) bool {
	if r.calls > 1 && b.inBurst(r.started, 500*time.Millisecond) {
		b.runs[whole]++
	}
	return true
}

// finish ends a call.
func (b *burst) finish(r *burstRun) bool {
	if r.prior++; r.prior == r.calls {
		return b.end(r, true)
	}
	r.until = b.now + betweenCalls
	b.between = append(b.between, r)
	return true
}

func (b *burst) serve(h *burstHome) {
	h.running = slices.DeleteFunc(h.running, func(r *burstRun) bool { return r.until <= b.now && b.finish(r) })
	h.queue = slices.DeleteFunc(h.queue, func(r *burstRun) bool { return r.until <= b.now && b.end(r, false) })
	slices.SortStableFunc(h.queue, func(a, c *burstRun) int {
		return cmp.Or(cmp.Compare(a.rank.Level, c.rank.Level), cmp.Compare(c.prior, a.prior), cmp.Compare(a.rank.Cohort, c.rank.Cohort))
	})
	for ; len(h.running) < burstSlots && len(h.queue) > 0; h.queue = h.queue[1:] {
		r := h.queue[0]
		r.until = b.now + time.Duration(b.random.ExpFloat64()*float64(r.callTime*time.Millisecond)/h.speed) - burstStep/2
		h.running = append(h.running, r)
		h.served++
	}
	if b.inBurst(b.now, 0) {
		b.used += float64(len(h.running)) * h.speed / b.capacity * burstStep.Seconds() / b.length.Seconds()
	}
	if !slices.ContainsFunc(h.queue, func(r *burstRun) bool { return b.now-r.arrived > 20*time.Millisecond }) {
		h.shortUntil = b.now
	}
}

// tick updates the thresholds of the homes. The entry node applies those of the tick before.
func (b *burst) tick() {
	b.entry.Merge(b.onWay)
	b.onWay = nil
	for i, h := range b.homes {
		h.controller.Tick(b.clock(), shed.State{InFlight: len(h.running), Limit: burstSlots, Queued: len(h.queue), Served: h.served, Overloaded: b.now-h.shortUntil >= 100*time.Millisecond})
		b.onWay = append(b.onWay, shortage.Report{Service: "last", Home: strconv.Itoa(i), Threshold: h.controller.Threshold(), Weight: burstSlots})
	}
}

// TestBurstBeyondCapacity guards against thresholds that readmit too many ranks, again and again, so that
// started runs fail. Applied after 100 ms, the configuration for slow propagation lets more than 2.5 times
// as many runs fail. Less than a twentieth of the started runs may fail for lack of capacity, and less
// than 0.02 of the urgent requests, which fit, may be refused.
func TestBurstBeyondCapacity(t *testing.T) {
	slow := shed.Config{Floor: shedFloor}
	for _, c := range []struct {
		name   string
		kinds  []burstKind
		length time.Duration
	}{
		{"all kinds", []burstKind{{criticality.Critical, 1, 41, 120, 0.25, 1.7}, {criticality.CriticalPlus, 4, 30, 500, 0.25, 1.7}, {criticality.Sheddable, 8, 30, 500, 0.40, 1.7}}, 18 * time.Second},
		{"one kind", []burstKind{{criticality.Critical, 1, 31, 120, 0.30, 1}, {criticality.Sheddable, 4, 19, 500, 0.30, 2.4}, {criticality.SheddablePlus, 8, 19, 500, 0.25, 1}}, 6 * time.Second},
	} {
		failedShare := func(config shed.Config) (failed float64) {
			const seeds = 3
			for seed := range uint64(seeds) {
				b := playBurst(config, c.kinds, c.length, seed)
				failed += b.runs[false] / (b.runs[true] + b.runs[false]) / seeds
				assert.Assert(t, b.used >= 0.95, "%.3f of the capacity is used", b.used)
				assert.Assert(t, b.urgent[false] < 0.02*b.urgent[true] || config == slow, "%.0f urgent requests are refused", b.urgent[false])
				assert.Equal(t, b.entry.Threshold("last"), shed.None, "the threshold ends with the burst")
			}
			t.Logf("%s: %.3f of the runs fail with %+v", c.name, failed, config)
			return failed
		}
		failed := failedShare(fastShedConfig)
		assert.Assert(t, failed < 0.05 && failed*2.5 < failedShare(slow))
	}
}
