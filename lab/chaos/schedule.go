package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Times of a schedule.
const (
	// firstFault is when the first fault begins.
	firstFault = 1500 * time.Millisecond
	// shortestGap and longestGap bound the time between the beginnings of
	// faults.
	shortestGap = 700 * time.Millisecond
	longestGap  = 2500 * time.Millisecond
	// raceDelay is when operators begin to race after a fault of the store has
	// begun.
	raceDelay = 150 * time.Millisecond
	// stopReserve is kept free for a planned stop besides its duration.
	stopReserve = 9 * time.Second
)

// pairProbability is how often two faults begin at once.
const pairProbability = 0.5

// maxDraws bounds how often a fault is drawn anew because what it concerns has
// another fault.
const maxDraws = 20

// NewSchedule draws the faults of a run, in the order of their beginnings. All
// of them end within the duration, apart from planned stops that take long. No
// two faults concern the same thing at the same time.
func NewSchedule(m *mesh.Mesh, nodesPerZone int, seed uint64, duration time.Duration) []Fault {
	d := &drawer{
		mesh:         m,
		nodesPerZone: nodesPerZone,
		random:       rand.New(rand.NewPCG(seed, 0x6368616f73)),
		end:          duration,
		busy:         map[string]time.Duration{},
	}
	var faults []Fault
	for at := firstFault; at < duration; at += d.between(shortestGap, longestGap) {
		faults = append(faults, d.draw(at)...)
		if d.random.Float64() < pairProbability {
			faults = append(faults, d.draw(at)...)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// drawer draws faults. Busy holds until when each thing has a fault.
type drawer struct {
	mesh         *mesh.Mesh
	nodesPerZone int
	random       *rand.Rand
	end          time.Duration
	busy         map[string]time.Duration
}

func (d *drawer) between(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(d.random.Int64N(int64(longest-shortest)))
}

// draw draws one fault that begins at a moment, with the race of operators that
// goes with a fault of the store. It returns nothing if nothing fits.
func (d *drawer) draw(at time.Duration) []Fault {
	for range maxDraws {
		settings := d.drawKind()
		length := d.between(settings.shortest, settings.longest)
		fault := Fault{Kind: settings.kind, At: at.Milliseconds(), For: length.Milliseconds()}
		if settings.most > 0 {
			fault.Factor = settings.least + d.random.Float64()*(settings.most-settings.least)
		}
		concerned := d.aim(&fault)
		if at+length > d.end || d.anyBusy(concerned, at) {
			continue
		}
		d.occupy(concerned, at+length+reserveOf(fault.Kind))
		if ofStore(fault.Kind) {
			return []Fault{fault, d.race(at + raceDelay)}
		}
		return []Fault{fault}
	}
	return nil
}

func (d *drawer) drawKind() kindSettings {
	total := 0
	for _, settings := range drawn {
		total += settings.weight
	}
	point := d.random.IntN(total)
	for _, settings := range drawn {
		if point < settings.weight {
			return settings
		}
		point -= settings.weight
	}
	return drawn[0]
}

func reserveOf(kind FaultKind) time.Duration {
	if kind == Stop {
		return stopReserve
	}
	return 0
}

func ofStore(kind FaultKind) bool {
	return kind == StoreRefuse || kind == StoreHang || kind == StoreUnavailable || kind == StoreLostAnswers
}

// aim chooses what the fault concerns and returns the names under which that is
// busy.
func (d *drawer) aim(fault *Fault) []string {
	switch fault.Kind {
	case Kill, Freeze, Stop:
		fault.Nodes = []string{pick(d, d.allNodes())}
		return []string{"process " + fault.Nodes[0]}
	case LoseAnswers, LoseDatagrams:
		fault.Nodes = []string{pick(d, d.allNodes())}
	case CutZone:
		fault.Nodes = d.nodesOf(pick(d, d.mesh.Zones).Name)
	case CutAll:
		fault.Nodes = d.allNodes()
	case StoreRefuse, StoreHang, StoreUnavailable, StoreLostAnswers:
		return []string{"store"}
	case Race:
		*fault = d.race(fault.begin())
		return nil
	case Surge:
		return []string{"load"}
	case Drain:
		target := pick(d, d.mesh.Targets)
		fault.Target = target.Name
		return []string{"drain of " + target.Service}
	case SlowService:
		fault.Service = pick(d, d.mesh.Services).Name
		return targetNames(d.mesh.TargetsOf(fault.Service))
	default:
		fault.Target = pick(d, d.mesh.Targets).Name
		return targetNames([]mesh.Target{{Name: fault.Target}})
	}
	var concerned []string
	for _, node := range fault.Nodes {
		concerned = append(concerned, "peer "+node)
	}
	return concerned
}

// targetNames are the names under which targets are busy.
func targetNames(targets []mesh.Target) []string {
	var names []string
	for _, target := range targets {
		names = append(names, "target "+target.Name)
	}
	return names
}

// race draws two operators at two nodes who change the same policy.
func (d *drawer) race(at time.Duration) Fault {
	nodes := d.allNodes()
	d.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return Fault{Kind: Race, At: at.Milliseconds(), Nodes: nodes[:min(2, len(nodes))], Service: pick(d, d.mesh.Services).Name}
}

func (d *drawer) anyBusy(concerned []string, at time.Duration) bool {
	return slices.ContainsFunc(concerned, func(name string) bool { return d.busy[name] > at })
}

func (d *drawer) occupy(concerned []string, until time.Duration) {
	for _, name := range concerned {
		d.busy[name] = until
	}
}

func (d *drawer) allNodes() []string {
	var names []string
	for _, zone := range d.mesh.Zones {
		names = append(names, d.nodesOf(zone.Name)...)
	}
	return names
}

func (d *drawer) nodesOf(zone string) []string {
	var names []string
	for index := range d.nodesPerZone {
		names = append(names, cluster.NodeName(zone, index))
	}
	return names
}

func pick[T any](d *drawer, from []T) T { return from[d.random.IntN(len(from))] }
