package routing

import (
	"slices"
	"time"
)

// view is how one call sees the targets: at one moment, without those excluded.
type view struct {
	config  *Config
	exclude []string
	now     time.Time
}

func (v view) eligible(t *target) bool {
	return len(v.exclude) == 0 || !slices.Contains(v.exclude, t.candidate.Name)
}

// local returns the zone of the given name and its load, nil if no target of it
// is eligible.
func (v view) local(table *Table, name string) (*zone, float64) {
	index, known := table.zoneIndex[name]
	if !known {
		return nil, 0
	}
	own := &table.zones[index]
	capacity, spare := v.room(own)
	if capacity <= 0 {
		return nil, 0
	}
	return own, 1 - spare/capacity
}

// room returns the capacity of a zone's eligible targets and what is left of it.
func (v view) room(z *zone) (capacity, spare float64) {
	for i := range z.targets {
		t := &z.targets[i]
		if !v.eligible(t) {
			continue
		}
		own := v.capacity(t)
		capacity += own
		spare += own * max(1-v.load(t, own), 0)
	}
	return capacity, spare
}

// capacity returns the calls that the target carries now, warm-up considered.
func (v view) capacity(t *target) float64 {
	start := t.candidate.WarmupStart
	if start.IsZero() {
		return t.capacity
	}
	warm := float64(v.now.Sub(start)) / float64(v.config.Warmup)
	return t.capacity * min(max(warmupFloor+(1-warmupFloor)*warm, warmupFloor), 1)
}

// loadOf returns the present load of a target, 1 being full.
func (v view) loadOf(t *target) float64 { return v.load(t, v.capacity(t)) }

// load returns the load of a target with the given capacity, 1 being full.
func (v view) load(t *target, capacity float64) float64 {
	return max(float64(t.state.outstanding.Load())/capacity, v.reported(t))
}

// reported returns the last reported load, faded with its age.
func (v view) reported(t *target) float64 {
	last := t.state.report.Load()
	if last == nil {
		return 0
	}
	fresh := 1 - float64(v.now.Sub(last.time))/float64(v.config.ReportDecay)
	return last.load * min(max(fresh, 0), 1)
}
