package experiment

import (
	"fmt"
	"slices"
)

// System is what stands between the clients and the targets.
type System struct {
	Name string
	// Description says what the system does, for reports.
	Description string
	// NodeFlags are the flags of the nodes.
	NodeFlags []string
	// PlainPolicies replaces the operators' policies by ones that admit all
	// calls, rank them alike and retry at each hop.
	PlainPolicies bool
	// Unlimited declares targets without bounds on calls and connections.
	Unlimited bool
	// TargetAttempts is how often targets try their own calls.
	TargetAttempts int
	// NoPropagation has targets learn of no deadline and of no caller that left.
	NoPropagation bool
}

const (
	// plainRetries is the number of retries at each hop in the baselines.
	plainRetries = 3
	// unlimited is a number of slots and connections that is never reached.
	unlimited = 100_000
	// noneAttempts is how often targets try their own calls where nothing
	// bounds retries.
	noneAttempts = 3
)

// retriesWithoutBound lift every bound on retries that settings can lift.
var retriesWithoutBound = []string{
	"-features-retry-ratio=false",
	"-retries-max-per-request=20",
}

// withoutControl turns off everything that reacts to load.
var withoutControl = []string{
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
			Description: "each node on its own: no home nodes, no shed levels passed on",
			NodeFlags:   []string{"-features-homes=false", "-features-shed-levels=false"},
		},
		{
			Name:          "static",
			Description:   "each node limits each target to its slots, first in first out, three retries a hop",
			NodeFlags:     slices.Concat(withoutControl, retriesWithoutBound),
			PlainPolicies: true,
		},
		{
			Name: "none",
			Description: "plain routing without limits; nodes retry three times a hop, targets try their own calls three times; " +
				"no deadline and no cancellation reaches targets",
			NodeFlags:      slices.Concat(withoutControl, retriesWithoutBound, []string{"-limits-max-concurrent-calls=1000000"}),
			PlainPolicies:  true,
			Unlimited:      true,
			TargetAttempts: noneAttempts,
			NoPropagation:  true,
		},
	}
}

// SystemNamed returns the system with the given name.
func SystemNamed(name string) (System, error) {
	var names []string
	for _, system := range Systems() {
		if system.Name == name {
			return system, nil
		}
		names = append(names, system.Name)
	}
	return System{}, fmt.Errorf("unknown system %q: allowed are %v", name, names)
}
