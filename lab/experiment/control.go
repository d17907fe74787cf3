package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
)

// sampleInterval is the time between two samples of nodes and targets.
const sampleInterval = 100 * time.Millisecond

// event is something that happens at a moment of the run.
type event struct {
	offset time.Duration // from the start of the load
	do     func(ctx context.Context) error
}

// controller makes the scenario's events happen and samples nodes and targets.
// Everything is done by one goroutine, as a cluster is for one at a time.
type controller struct {
	experiment *experiment
	start      time.Time
	events     []event
	// active are the faults that last now.
	active  []Fault
	down    []string // zones
	sampler *sampler
	samples []Sample
}

func newController(e *experiment) *controller {
	c := &controller{experiment: e, start: time.Now(), sampler: newSampler(e.cluster)}
	overload := seconds(e.scenario.WarmUpSeconds + e.scenario.Before.Seconds)
	for _, fault := range e.scenario.Faults {
		c.schedule(overload, fault.Interval, c.beginFault(fault), c.endFault(fault))
	}
	for _, loss := range e.scenario.ZoneLosses {
		c.schedule(overload, loss.Interval, c.loseZone(loss.Zone), c.restoreZone(loss.Zone))
	}
	slices.SortStableFunc(c.events, func(a, b event) int { return int(a.offset - b.offset) })
	return c
}

func (c *controller) schedule(overload time.Duration, interval Interval, begin, end func(context.Context) error) {
	c.events = append(c.events,
		event{offset: overload + seconds(interval.FromSeconds), do: begin},
		event{offset: overload + seconds(interval.end(c.experiment.scenario.During)), do: end})
}

// run works until the context ends, which is not an error.
func (c *controller) run(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if err := c.happen(ctx); err != nil && ctx.Err() == nil {
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

// happen does the events that are due.
func (c *controller) happen(ctx context.Context) error {
	for len(c.events) > 0 && time.Since(c.start) >= c.events[0].offset {
		due := c.events[0]
		c.events = c.events[1:]
		if err := due.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *controller) beginFault(fault Fault) func(context.Context) error {
	return func(ctx context.Context) error {
		c.active = append(c.active, fault)
		if err := c.setFaults(ctx); err != nil || !fault.Restart {
			return err
		}
		return c.restartTargets(ctx, fault.targetsOf(c.experiment.mesh))
	}
}

func (c *controller) endFault(fault Fault) func(context.Context) error {
	return func(ctx context.Context) error {
		c.active = slices.DeleteFunc(c.active, func(each Fault) bool { return each.sameAs(fault) })
		return c.setFaults(ctx)
	}
}

func (f Fault) sameAs(other Fault) bool {
	return f.Interval == other.Interval && f.SlowFactor == other.SlowFactor && f.Restart == other.Restart &&
		slices.Equal(f.Targets, other.Targets) && slices.Equal(f.Services, other.Services) && slices.Equal(f.Zones, other.Zones)
}

// setFaults gives each target the faults that last now.
func (c *controller) setFaults(ctx context.Context) error {
	e := c.experiment
	for _, target := range e.mesh.Targets {
		faults := e.baseFaults()
		for _, fault := range c.active {
			if slices.Contains(fault.targetsOf(e.mesh), target.Name) {
				faults = combine(faults, fault.emulated())
			}
		}
		faults.Down = slices.Contains(c.down, target.Zone)
		if err := e.cluster.SetTargetFaults(ctx, target.Name, faults); err != nil {
			return err
		}
	}
	return nil
}

// combine adds faults to others: factors multiply, of the rest the added wins.
func combine(faults, added emulator.Faults) emulator.Faults {
	if added.SlowFactor > 0 {
		faults.SlowFactor = max(faults.SlowFactor, 1) * added.SlowFactor
	}
	faults.ErrorRate = max(faults.ErrorRate, added.ErrorRate)
	faults.ResetRate = max(faults.ResetRate, added.ResetRate)
	if added.LoadOverride != nil {
		faults.LoadOverride = added.LoadOverride
	}
	if added.HealthOverride != "" {
		faults.HealthOverride = added.HealthOverride
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

// loseZone kills the zone's nodes and takes its targets away.
func (c *controller) loseZone(zone string) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, node := range c.nodesOf(zone) {
			node.Kill()
		}
		c.down = append(c.down, zone)
		return c.setFaults(ctx)
	}
}

// restoreZone starts the zone's nodes and brings its targets back, cold.
func (c *controller) restoreZone(zone string) func(context.Context) error {
	return func(ctx context.Context) error {
		c.down = slices.DeleteFunc(c.down, func(each string) bool { return each == zone })
		if err := c.setFaults(ctx); err != nil {
			return err
		}
		if err := c.restartTargets(ctx, Fault{Zones: []string{zone}}.targetsOf(c.experiment.mesh)); err != nil {
			return err
		}
		for _, node := range c.nodesOf(zone) {
			if err := c.experiment.cluster.StartNode(node); err != nil {
				return err
			}
		}
		return nil
	}
}

func (c *controller) nodesOf(zone string) []*cluster.Node {
	var nodes []*cluster.Node
	for _, node := range c.experiment.cluster.Nodes {
		if node.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
