package routing

import (
	"slices"
	"time"
)

// view provides the loads and capacities of targets as of one time, without the
// excluded targets, for one call to Pick.
type view struct {
	config  *Config
	exclude []string
	now     time.Time
}

func (v view) eligible(t *target) bool {
	return len(v.exclude) == 0 || !slices.Contains(v.exclude, t.candidate.Name)
}

// localZone returns the zone of the given name and its load, or nil if none of its
// targets is eligible.
func (v view) localZone(table *Table, name string) (*zone, float64) {
	index, known := table.zoneIndex[name]
	if !known {
		return nil, 0
	}
	local := &table.zones[index]
	capacity, spare := v.zoneCapacity(local)
	if capacity <= 0 {
		return nil, 0
	}
	return local, 1 - spare/capacity
}

// zoneCapacity returns the total and the spare capacity of a zone's eligible
// targets.
func (v view) zoneCapacity(z *zone) (capacity, spare float64) {
	for i := range z.targets {
		t := &z.targets[i]
		if !v.eligible(t) {
			continue
		}
		targetCapacity := v.capacity(t)
		capacity += targetCapacity
		spare += targetCapacity * max(1-v.load(t, targetCapacity), 0)
	}
	return capacity, spare
}

// capacity returns the target's current capacity in concurrent calls, reduced during
// warm-up.
func (v view) capacity(t *target) float64 {
	start := t.candidate.WarmupStart
	if start.IsZero() {
		return t.capacity
	}
	progress := float64(v.now.Sub(start)) / float64(v.config.Warmup)
	return t.capacity * min(max(warmupFloor+(1-warmupFloor)*progress, warmupFloor), 1)
}

// loadOf returns the current load of a target; 1 is full load.
func (v view) loadOf(t *target) float64 { return v.load(t, v.capacity(t)) }

// load returns the load of a target with the given capacity; 1 is full load.
func (v view) load(t *target, capacity float64) float64 {
	return max(float64(t.state.outstanding.Load())/capacity, v.reportedLoad(t))
}

// reportedLoad returns the last reported load, reduced by its age.
func (v view) reportedLoad(t *target) float64 {
	last := t.state.report.Load()
	if last == nil {
		return 0
	}
	remaining := 1 - float64(v.now.Sub(last.time))/float64(v.config.ReportDecay)
	return last.load * min(max(remaining, 0), 1)
}
