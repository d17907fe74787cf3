package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
)

// sampleInterval is the interval between two samples of nodes and targets.
const sampleInterval = 100 * time.Millisecond

// event is an action at a scheduled time of the run.
type event struct {
	offset time.Duration // from the start of the load
	run    func(ctx context.Context) error
}

// controller executes the scenario's events and takes samples of nodes and targets. It
// does both in one goroutine, as a cluster isn't safe for concurrent use.
type controller struct {
	experiment *experiment
	start      time.Time
	events     []event
	// activeFaults are the faults whose interval has started and not ended.
	activeFaults []Fault
	lostZones    []string // names of the zones that have failed
	sampler      *sampler
	samples      []Sample
}

func newController(e *experiment) *controller {
	c := &controller{experiment: e, start: time.Now(), sampler: newSampler(e.cluster)}
	overloadStart := seconds(e.scenario.WarmUpSeconds + e.scenario.Before.Seconds)
	for _, fault := range e.scenario.Faults {
		c.schedule(overloadStart, fault.Interval, c.beginFault(fault), c.endFault(fault))
	}
	for _, loss := range e.scenario.ZoneLosses {
		c.schedule(overloadStart, loss.Interval, c.loseZone(loss.Zone), c.restoreZone(loss.Zone))
	}
	slices.SortStableFunc(c.events, func(a, b event) int { return int(a.offset - b.offset) })
	return c
}

// schedule adds the events for the start and the end of an interval. overloadStart is
// the time from the start of the load to that of the "during" phase.
func (c *controller) schedule(overloadStart time.Duration, interval Interval, begin, end func(context.Context) error) {
	c.events = append(c.events,
		event{offset: overloadStart + seconds(interval.FromSeconds), run: begin},
		event{offset: overloadStart + seconds(interval.end(c.experiment.scenario.During)), run: end})
}

// run executes events and takes samples until the context is canceled, for which it
// returns nil.
func (c *controller) run(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if err := c.runDueEvents(ctx); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.samples = append(c.samples, c.sampler.sample(ctx, c.start))
		}
	}
}

// runDueEvents executes the events that are due.
func (c *controller) runDueEvents(ctx context.Context) error {
	for len(c.events) > 0 && time.Since(c.start) >= c.events[0].offset {
		due := c.events[0]
		c.events = c.events[1:]
		if err := due.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *controller) beginFault(fault Fault) func(context.Context) error {
	return func(ctx context.Context) error {
		c.activeFaults = append(c.activeFaults, fault)
		if err := c.applyFaults(ctx); err != nil || !fault.Restart {
			return err
		}
		return c.restartTargets(ctx, fault.affectedTargets(c.experiment.mesh))
	}
}

func (c *controller) endFault(fault Fault) func(context.Context) error {
	return func(ctx context.Context) error {
		c.activeFaults = slices.DeleteFunc(c.activeFaults, func(active Fault) bool { return active.matches(fault) })
		return c.applyFaults(ctx)
	}
}

// matches reports whether both faults have the same interval, targets, slow factor and
// restart. It ignores error rates, reset rates and overrides.
func (f Fault) matches(other Fault) bool {
	return f.Interval == other.Interval && f.SlowFactor == other.SlowFactor && f.Restart == other.Restart &&
		slices.Equal(f.Targets, other.Targets) && slices.Equal(f.Services, other.Services) && slices.Equal(f.Zones, other.Zones)
}

// applyFaults sets the base faults and the active faults of each target.
func (c *controller) applyFaults(ctx context.Context) error {
	e := c.experiment
	for _, target := range e.mesh.Targets {
		faults := e.baseFaults()
		for _, fault := range c.activeFaults {
			if slices.Contains(fault.affectedTargets(e.mesh), target.Name) {
				faults = combineFaults(faults, fault.emulatorFaults())
			}
		}
		faults.Down = slices.Contains(c.lostZones, target.Zone)
		if err := e.cluster.SetTargetFaults(ctx, target.Name, faults); err != nil {
			return err
		}
	}
	return nil
}

// combineFaults merges two sets of faults: slow factors are multiplied, of rates the
// higher is used, and overrides in other replace those in faults.
func combineFaults(faults, other emulator.Faults) emulator.Faults {
	if other.SlowFactor > 0 {
		faults.SlowFactor = max(faults.SlowFactor, 1) * other.SlowFactor
	}
	faults.ErrorRate = max(faults.ErrorRate, other.ErrorRate)
	faults.ResetRate = max(faults.ResetRate, other.ResetRate)
	if other.LoadOverride != nil {
		faults.LoadOverride = other.LoadOverride
	}
	if other.HealthOverride != "" {
		faults.HealthOverride = other.HealthOverride
	}
	return faults
}

func (c *controller) restartTargets(ctx context.Context, targets []string) error {
	for _, target := range targets {
		if err := c.experiment.cluster.RestartTarget(ctx, target); err != nil {
			return err
		}
	}
	return nil
}

// loseZone kills the zone's nodes and makes its targets unreachable.
func (c *controller) loseZone(zone string) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, node := range c.nodesIn(zone) {
			node.Kill()
		}
		c.lostZones = append(c.lostZones, zone)
		return c.applyFaults(ctx)
	}
}

// restoreZone restarts the zone's targets, with a cold start, and then its nodes.
func (c *controller) restoreZone(zone string) func(context.Context) error {
	return func(ctx context.Context) error {
		c.lostZones = slices.DeleteFunc(c.lostZones, func(lost string) bool { return lost == zone })
		if err := c.applyFaults(ctx); err != nil {
			return err
		}
		if err := c.restartTargets(ctx, Fault{Zones: []string{zone}}.affectedTargets(c.experiment.mesh)); err != nil {
			return err
		}
		for _, node := range c.nodesIn(zone) {
			if err := c.experiment.cluster.StartNode(node); err != nil {
				return err
			}
		}
		return nil
	}
}

func (c *controller) nodesIn(zone string) []*cluster.Node {
	var nodes []*cluster.Node
	for _, node := range c.experiment.cluster.Nodes {
		if node.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
