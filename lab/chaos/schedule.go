package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Timing of a schedule.
const (
	// firstFaultAt is when the first fault begins.
	firstFaultAt = 1500 * time.Millisecond
	// minGap and maxGap limit the time between the starts of consecutive faults.
	minGap = 700 * time.Millisecond
	maxGap = 2500 * time.Millisecond
	// raceDelay is the time from the start of a store fault to the Race that is
	// scheduled with it.
	raceDelay = 150 * time.Millisecond
	// stopReserve is the time that is reserved for a graceful stop in addition
	// to the duration of the fault.
	stopReserve = 9 * time.Second
)

// pairProbability is the probability that two faults begin at the same time.
const pairProbability = 0.5

// maxAttempts limits how often another fault is generated because the previous
// one did not fit into the schedule.
const maxAttempts = 20

// NewSchedule generates the faults of a run, sorted by start time. All of them
// end within the duration, except for graceful stops that take long. No two
// faults affect the same resource at the same time.
func NewSchedule(m *mesh.Mesh, nodesPerZone int, seed uint64, duration time.Duration) []Fault {
	g := &generator{
		mesh:          m,
		nodesPerZone:  nodesPerZone,
		random:        rand.New(rand.NewPCG(seed, 0x6368616f73)),
		end:           duration,
		reservedUntil: map[string]time.Duration{},
	}
	var faults []Fault
	for at := firstFaultAt; at < duration; at += g.durationBetween(minGap, maxGap) {
		faults = append(faults, g.generate(at)...)
		if g.random.Float64() < pairProbability {
			faults = append(faults, g.generate(at)...)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.StartMS, b.StartMS) })
	return faults
}

// generator generates random faults.
type generator struct {
	mesh         *mesh.Mesh
	nodesPerZone int
	random       *rand.Rand
	end          time.Duration
	// reservedUntil holds, by resource name, the time until which it is reserved
	// for a fault.
	reservedUntil map[string]time.Duration
}

func (g *generator) durationBetween(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(g.random.Int64N(int64(longest-shortest)))
}

// generate returns one fault that begins at the given time. A store fault is
// followed by a Race. It returns nothing if no generated fault fits into the
// schedule.
func (g *generator) generate(at time.Duration) []Fault {
	for range maxAttempts {
		settings := g.chooseKind()
		duration := g.durationBetween(settings.minDuration, settings.maxDuration)
		fault := Fault{Kind: settings.kind, StartMS: at.Milliseconds(), DurationMS: duration.Milliseconds()}
		if settings.maxFactor > 0 {
			fault.Factor = settings.minFactor + g.random.Float64()*(settings.maxFactor-settings.minFactor)
		}
		resources := g.chooseScope(&fault)
		if at+duration > g.end || g.anyReserved(resources, at) {
			continue
		}
		g.reserve(resources, at+duration+reserveAfter(fault.Kind))
		if isStoreFault(fault.Kind) {
			return []Fault{fault, g.race(at + raceDelay)}
		}
		return []Fault{fault}
	}
	return nil
}

func (g *generator) chooseKind() kindSettings {
	total := 0
	for _, settings := range faultKinds {
		total += settings.weight
	}
	point := g.random.IntN(total)
	for _, settings := range faultKinds {
		if point < settings.weight {
			return settings
		}
		point -= settings.weight
	}
	return faultKinds[0]
}

func reserveAfter(kind FaultKind) time.Duration {
	if kind == Stop {
		return stopReserve
	}
	return 0
}

func isStoreFault(kind FaultKind) bool {
	return kind == StoreRefuse || kind == StoreHang || kind == StoreUnavailable || kind == StoreDropResponses
}

// chooseScope chooses what the fault affects and returns the names of the
// resources that it occupies.
func (g *generator) chooseScope(fault *Fault) []string {
	switch fault.Kind {
	case Kill, Freeze, Stop:
		fault.Nodes = []string{pick(g, g.allNodes())}
		return []string{"process " + fault.Nodes[0]}
	case DropResponses, DropDatagrams:
		fault.Nodes = []string{pick(g, g.allNodes())}
	case PartitionZone:
		fault.Nodes = g.nodesOf(pick(g, g.mesh.Zones).Name)
	case PartitionAll:
		fault.Nodes = g.allNodes()
	case StoreRefuse, StoreHang, StoreUnavailable, StoreDropResponses:
		return []string{"store"}
	case Race:
		*fault = g.race(fault.start())
		return nil
	case Surge:
		return []string{"load"}
	case Drain:
		target := pick(g, g.mesh.Targets)
		fault.Target = target.Name
		return []string{"drain of " + target.Service}
	case SlowService:
		fault.Service = pick(g, g.mesh.Services).Name
		return targetResources(g.mesh.TargetsOf(fault.Service))
	default:
		fault.Target = pick(g, g.mesh.Targets).Name
		return targetResources([]mesh.Target{{Name: fault.Target}})
	}
	var resources []string
	for _, node := range fault.Nodes {
		resources = append(resources, "peer "+node)
	}
	return resources
}

// targetResources returns the resource names of targets.
func targetResources(targets []mesh.Target) []string {
	var names []string
	for _, target := range targets {
		names = append(names, "target "+target.Name)
	}
	return names
}

// race returns a Race that begins at the given time, for a random service and two
// random nodes.
func (g *generator) race(at time.Duration) Fault {
	nodes := g.allNodes()
	g.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return Fault{Kind: Race, StartMS: at.Milliseconds(), Nodes: nodes[:min(2, len(nodes))], Service: pick(g, g.mesh.Services).Name}
}

func (g *generator) anyReserved(resources []string, at time.Duration) bool {
	return slices.ContainsFunc(resources, func(name string) bool { return g.reservedUntil[name] > at })
}

func (g *generator) reserve(resources []string, until time.Duration) {
	for _, name := range resources {
		g.reservedUntil[name] = until
	}
}

func (g *generator) allNodes() []string {
	var names []string
	for _, zone := range g.mesh.Zones {
		names = append(names, g.nodesOf(zone.Name)...)
	}
	return names
}

func (g *generator) nodesOf(zone string) []string {
	var names []string
	for index := range g.nodesPerZone {
		names = append(names, cluster.NodeName(zone, index))
	}
	return names
}

func pick[T any](g *generator, from []T) T { return from[g.random.IntN(len(from))] }
