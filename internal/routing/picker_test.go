package routing_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/routing"
)

var testTime = time.Unix(1000, 0)

func newPicker(candidates ...routing.Candidate) *routing.Picker {
	p := routing.NewPicker(routing.Config{Seed: 7}, func() time.Time { return testTime })
	p.Update(candidates)
	return p
}

func candidate(name, zone string, slots int) routing.Candidate {
	return routing.Candidate{Name: name, Address: "127.0.0.1:1", Zone: zone, HomeNode: "node-" + name, Slots: slots}
}

// countPicks picks many times from zone "a", without adding outstanding calls, and
// returns how often each target was picked.
func countPicks(p *routing.Picker, now time.Time, exclude ...string) map[string]int {
	counts := make(map[string]int)
	for range pickCount {
		if c, found := p.Pick("a", exclude, now); found {
			counts[c.Name]++
		}
	}
	return counts
}

const pickCount = 10000

func TestNeverPicksDrainingOrExcluded(t *testing.T) {
	draining := candidate("draining", "a", 100)
	draining.Draining = true
	p := newPicker(draining, candidate("near", "a", 2), candidate("far", "b", 2))
	assert.DeepEqual(t, countPicks(p, testTime), map[string]int{"near": pickCount})
	assert.DeepEqual(t, countPicks(p, testTime, "near"), map[string]int{"far": pickCount})
	assert.DeepEqual(t, countPicks(p, testTime, "near", "far"), map[string]int{})
}

func TestPicksLessLoadedOfTwo(t *testing.T) {
	p := newPicker(candidate("busy", "a", 10), candidate("idle", "a", 10))
	for range 5 {
		p.Begin("busy")
	}
	assert.DeepEqual(t, countPicks(p, testTime), map[string]int{"idle": pickCount})
	for range 7 {
		p.Done("busy")
	}
	assert.Equal(t, p.Outstanding("busy"), 0)
	assert.Assert(t, countPicks(p, testTime)["busy"] > pickCount/3)
}

func TestBalancesBySlots(t *testing.T) {
	p := newPicker(candidate("small", "a", 6), candidate("middle", "a", 12), candidate("large", "a", 24))
	for range 30 {
		c, found := p.Pick("a", nil, testTime)
		assert.Assert(t, found)
		p.Begin(c.Name)
	}
	for name, slots := range map[string]int{"small": 6, "middle": 12, "large": 24} {
		load := float64(p.Outstanding(name)) / float64(slots)
		assert.Assert(t, load > 0.5 && load < 0.9, "%s has load %.2f", name, load)
	}
}

func TestSpillsBySpareCapacity(t *testing.T) {
	p := newPicker(candidate("near", "a", 10), candidate("b", "b", 10), candidate("c", "c", 30))
	for range 8 {
		p.Begin("near")
	}
	assert.DeepEqual(t, countPicks(p, testTime), map[string]int{"near": pickCount})
	p.Begin("near")
	spilling := countPicks(p, testTime)
	assert.Assert(t, spilling["near"] > pickCount*45/100 && spilling["near"] < pickCount*57/100, "%v", spilling)
	p.Begin("near")
	full := countPicks(p, testTime)
	assert.Equal(t, full["near"], 0)
	assert.Assert(t, full["c"] > 2*full["b"], "%v", full)
	p.Report("b", 1)
	p.Report("c", 3)
	assert.DeepEqual(t, countPicks(p, testTime), map[string]int{"near": pickCount})
}

func TestDrawsZoneByCapacityWithoutSpare(t *testing.T) {
	p := newPicker(candidate("b", "b", 10), candidate("c", "c", 30))
	p.Report("b", 2)
	p.Report("c", 2)
	counts := countPicks(p, testTime)
	assert.Assert(t, counts["c"] > 2*counts["b"] && counts["b"] > 0, "%v", counts)
}

func TestReportedLoadDecays(t *testing.T) {
	p := newPicker(candidate("reported", "a", 10), candidate("other", "a", 10))
	p.Report("reported", 0.5)
	p.Report("unknown", 0.5)
	assert.DeepEqual(t, countPicks(p, testTime), map[string]int{"other": pickCount})
	assert.Assert(t, countPicks(p, testTime.Add(routing.DefaultReportDecay))["reported"] > pickCount/3)
}

func TestWarmupRampsCapacity(t *testing.T) {
	cold := candidate("cold", "a", 10)
	cold.WarmupStart = testTime
	warm := candidate("warm", "a", 10)
	tests := []struct {
		age       time.Duration
		low, high int
	}{
		{0, 3, 12},
		{5 * time.Second, 20, 45},
		{10 * time.Second, 45, 55},
		{time.Hour, 45, 55},
	}
	for _, test := range tests {
		t.Run(test.age.String(), func(t *testing.T) {
			p := newPicker(cold, warm)
			now := testTime.Add(test.age)
			// Keep eight calls outstanding and record their targets.
			const calls = 1000
			picked := make([]string, 0, calls)
			for range calls {
				c, _ := p.Pick("a", nil, now)
				p.Begin(c.Name)
				picked = append(picked, c.Name)
				if len(picked) > 8 {
					p.Done(picked[len(picked)-9])
				}
			}
			got := 0
			for _, name := range picked {
				if name == "cold" {
					got += 100
				}
			}
			got /= calls
			assert.Assert(t, got >= test.low && got <= test.high, "%d%% of the calls went to the cold target", got)
		})
	}
}

func TestUpdateKeepsOutstanding(t *testing.T) {
	p := newPicker(candidate("stays", "a", 10), candidate("goes", "a", 10))
	p.Begin("stays")
	p.Begin("goes")
	p.Update([]routing.Candidate{candidate("stays", "a", 20)})
	assert.Equal(t, p.Table().Len(), 1)
	assert.Equal(t, p.Outstanding("stays"), 1)
	assert.DeepEqual(t, countPicks(p, testTime), map[string]int{"stays": pickCount})
	p.Update([]routing.Candidate{candidate("stays", "a", 20), candidate("goes", "a", 10)})
	assert.Equal(t, p.Outstanding("goes"), 1)
	p.Done("goes")
	p.Update(nil)
	assert.Equal(t, p.Outstanding("goes"), 0)
	_, found := p.Pick("a", nil, testTime)
	assert.Assert(t, !found)
}

func TestPicksAreDeterministicForSeed(t *testing.T) {
	firstPicker, secondPicker := newPicker(serviceCandidates()...), newPicker(serviceCandidates()...)
	for range 200 {
		first, _ := firstPicker.Pick("zone-1", nil, testTime)
		second, _ := secondPicker.Pick("zone-1", nil, testTime)
		assert.Equal(t, first.Name, second.Name)
		firstPicker.Begin(first.Name)
		secondPicker.Begin(second.Name)
	}
}

func TestPickFindsEligibleTargets(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		allowed := make(map[string]bool)
		var candidates []routing.Candidate
		var exclude []string
		for i := range rapid.IntRange(0, 8).Draw(r, "targets") {
			c := candidate(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "zone"), rapid.IntRange(0, 3).Draw(r, "slots"))
			c.Draining = rapid.Bool().Draw(r, "draining")
			c.Weight = rapid.Float64Range(-1, 2).Draw(r, "weight")
			excluded := rapid.Bool().Draw(r, "excluded")
			if excluded {
				exclude = append(exclude, c.Name)
			}
			allowed[c.Name] = !c.Draining && !excluded
			candidates = append(candidates, c)
		}
		p := newPicker(candidates...)
		available := false
		for name, ok := range allowed {
			available = available || ok
			p.Report(name, rapid.Float64Range(0, 3).Draw(r, "load"))
		}
		for range 50 {
			picked, found := p.Pick("a", exclude, testTime)
			if found != available {
				r.Fatalf("found is %t, but a target is available: %t", found, available)
			}
			if found && !allowed[picked.Name] {
				r.Fatalf("picked the draining or excluded target %s", picked.Name)
			}
			p.Begin(picked.Name)
		}
	})
}

func TestConcurrentUse(t *testing.T) {
	p := newPicker(serviceCandidates()...)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range 500 {
				c, _ := p.Pick("zone-0", nil, testTime)
				p.Begin(c.Name)
				p.Report(c.Name, 0.5)
				if i%50 == 0 {
					p.Update(serviceCandidates())
				}
				p.Done(c.Name)
			}
		})
	}
	group.Wait()
	for _, c := range serviceCandidates() {
		assert.Equal(t, p.Outstanding(c.Name), 0)
	}
}

// serviceCandidates returns the candidates of a service of the size that the system
// is designed for: 36 targets in 5 zones.
func serviceCandidates() []routing.Candidate {
	var candidates []routing.Candidate
	for i := range 36 {
		candidates = append(candidates, candidate(fmt.Sprint("target-", i), fmt.Sprint("zone-", i%5), 16))
	}
	return candidates
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := newPicker(serviceCandidates()...)
	exclude := []string{"target-0"}
	for range 200 {
		p.Begin("target-5")
	}
	allocations := testing.AllocsPerRun(1000, func() { p.Pick("zone-0", exclude, testTime) })
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkPick(b *testing.B) {
	p := newPicker(serviceCandidates()...)
	b.ReportAllocs()
	for b.Loop() {
		p.Pick("zone-0", nil, testTime)
	}
}

func BenchmarkPickSpilling(b *testing.B) {
	p := newPicker(serviceCandidates()...)
	for i := range 36 {
		if i%5 == 0 {
			p.Report(fmt.Sprint("target-", i), 1)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Pick("zone-0", nil, testTime)
	}
}
