package routing

import (
	"slices"
	"time"
)

// evaluator computes the loads and capacities of targets for one call to Pick: at
// a fixed time and without the excluded targets.
type evaluator struct {
	config  *Config
	exclude []string
	now     time.Time
}

func (e evaluator) eligible(t *target) bool {
	return len(e.exclude) == 0 || !slices.Contains(e.exclude, t.candidate.Name)
}

// localZone returns the zone with the given name and its load, or nil if none of its
// targets is eligible.
func (e evaluator) localZone(table *Table, name string) (*zone, float64) {
	index, known := table.zoneIndex[name]
	if !known {
		return nil, 0
	}
	local := &table.zones[index]
	capacity, spare := e.zoneCapacity(local)
	if capacity <= 0 {
		return nil, 0
	}
	return local, 1 - spare/capacity
}

// zoneCapacity returns the total and the spare capacity of a zone's eligible
// targets.
func (e evaluator) zoneCapacity(z *zone) (capacity, spare float64) {
	for i := range z.targets {
		t := &z.targets[i]
		if !e.eligible(t) {
			continue
		}
		targetCapacity := e.capacity(t)
		capacity += targetCapacity
		spare += targetCapacity * max(1-e.load(t, targetCapacity), 0)
	}
	return capacity, spare
}

// capacity returns the target's current capacity in concurrent calls, reduced during
// warm-up.
func (e evaluator) capacity(t *target) float64 {
	start := t.candidate.WarmupStart
	if start.IsZero() {
		return t.capacity
	}
	progress := float64(e.now.Sub(start)) / float64(e.config.Warmup)
	return t.capacity * min(max(warmupFloor+(1-warmupFloor)*progress, warmupFloor), 1)
}

// loadOf returns the current load of a target; 1 is full load.
func (e evaluator) loadOf(t *target) float64 { return e.load(t, e.capacity(t)) }

// load returns the load of a target with the given capacity; 1 is full load.
func (e evaluator) load(t *target, capacity float64) float64 {
	return max(float64(t.state.outstanding.Load())/capacity, e.reportedLoad(t))
}

// reportedLoad returns the last reported load, reduced by its age.
func (e evaluator) reportedLoad(t *target) float64 {
	last := t.state.report.Load()
	if last == nil {
		return 0
	}
	remaining := 1 - float64(e.now.Sub(last.time))/float64(e.config.ReportDecay)
	return last.load * min(max(remaining, 0), 1)
}
