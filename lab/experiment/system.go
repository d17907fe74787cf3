package experiment

import (
	"fmt"
	"slices"
)

// System is a configuration of nodes and targets whose results are compared with
// those of other systems.
type System struct {
	Name string
	// Description is a short description for reports.
	Description string
	// NodeFlags are additional flags of the nodes.
	NodeFlags []string
	// PlainPolicies replaces the operators' policies with ones that admit all
	// calls, give them the same rank and retry at each hop.
	PlainPolicies bool
	// Unlimited configures targets without effective limits on calls and
	// connections.
	Unlimited bool
	// TargetAttempts is the maximum number of attempts of targets for their
	// downstream calls.
	TargetAttempts int
	// NoPropagation makes targets complete executions after their callers have
	// disconnected or their deadlines have passed.
	NoPropagation bool
}

const (
	// baselineRetries is the number of retries at each hop in the baselines.
	baselineRetries = 3
	// unlimitedCapacity is a number of slots and connections that no run reaches.
	unlimitedCapacity = 100_000
	// noneTargetAttempts is the value of TargetAttempts in the system none, which
	// doesn't limit retries.
	noneTargetAttempts = 3
)

// unboundedRetryFlags disable or raise the limits on retries, as far as settings
// allow it.
var unboundedRetryFlags = []string{
	"-features-retry-ratio=false",
	"-retries-max-per-request=20",
}

// noLoadControlFlags disable all mechanisms that react to load.
var noLoadControlFlags = []string{
	"-features-homes=false",
	"-features-shed-levels=false",
	"-features-adaptive-limit=false",
	"-features-priority-queue=false",
	"-features-warmup=false",
}

// Systems returns the systems that can be measured.
func Systems() []System {
	return []System{
		{
			Name:        "lugspur",
			Description: "all mechanisms",
		},
		{
			Name:        "local",
			Description: "no coordination between nodes: no home nodes, no propagation of shed levels",
			NodeFlags:   []string{"-features-homes=false", "-features-shed-levels=false"},
		},
		{
			Name:          "static",
			Description:   "each node limits each target to its slots, queues in FIFO order, three retries per hop",
			NodeFlags:     slices.Concat(noLoadControlFlags, unboundedRetryFlags),
			PlainPolicies: true,
		},
		{
			Name: "none",
			Description: "routing without limits; nodes retry three times per hop, targets attempt their downstream calls three times; " +
				"targets ignore deadlines and cancellations",
			NodeFlags:      slices.Concat(noLoadControlFlags, unboundedRetryFlags, []string{"-limits-max-concurrent-calls=1000000"}),
			PlainPolicies:  true,
			Unlimited:      true,
			TargetAttempts: noneTargetAttempts,
			NoPropagation:  true,
		},
	}
}

// SystemByName returns the system with the given name.
func SystemByName(name string) (System, error) {
	var names []string
	for _, system := range Systems() {
		if system.Name == name {
			return system, nil
		}
		names = append(names, system.Name)
	}
	return System{}, fmt.Errorf("unknown system %q, must be one of %v", name, names)
}
