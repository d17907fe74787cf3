package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lugspur/lugspur/lab/mesh"
)

// arrival is a scheduled call.
type arrival struct {
	offset  time.Duration // from the start of the run
	kind    int           // index into the mesh's kinds
	caller  string
	zone    string
	address string
	nonce   string
	key     string // Idempotency-Key, or ""
}

// schedule generates the arrivals of a plan: a Poisson process with the rate of
// each phase. The same plan gives the same arrivals. It is not safe for
// concurrent use.
type schedule struct {
	plan             *Plan
	random           *rand.Rand
	zones            []string
	nextEdge         map[string]int
	phase            int
	phaseStart       time.Duration
	now              time.Duration
	count            int
	cumulativeShares []float64 // by index of the kind, in the current phase
	rate             float64   // calls per second in the current phase
}

func newSchedule(plan *Plan) *schedule {
	s := &schedule{
		plan:     plan,
		random:   rand.New(rand.NewPCG(plan.Seed, 0x6c6f6164)),
		zones:    slices.Sorted(maps.Keys(plan.Edges)),
		nextEdge: make(map[string]int),
	}
	s.startPhase()
	return s
}

// startPhase computes the rate and the cumulative shares of the current phase.
func (s *schedule) startPhase() {
	phase := s.plan.Phases[s.phase]
	baseTotal, total := 0.0, 0.0
	s.cumulativeShares = s.cumulativeShares[:0]
	for _, kind := range s.plan.Mesh.Kinds {
		baseTotal += kind.Share
		total += kind.Share * kindMultiplier(phase, kind)
		s.cumulativeShares = append(s.cumulativeShares, total)
	}
	s.rate = s.plan.Rate * phase.Multiplier * total / baseTotal
}

func kindMultiplier(phase Phase, kind mesh.Kind) float64 {
	if multiplier, ok := phase.KindMultipliers[kind.Name]; ok {
		return multiplier
	}
	return 1
}

// next returns the next arrival, or false at the end of the plan.
func (s *schedule) next() (arrival, bool) {
	for s.phase < len(s.plan.Phases) {
		end := s.phaseStart + s.plan.Phases[s.phase].Duration
		if at, ok := s.drawArrivalTime(); ok && at < end {
			s.now = at
			return s.drawArrival(), true
		}
		s.endPhase(end)
	}
	return arrival{}, false
}

func (s *schedule) drawArrivalTime() (time.Duration, bool) {
	if s.rate <= 0 {
		return 0, false
	}
	gap := s.random.ExpFloat64() / s.rate
	return s.now + time.Duration(gap*float64(time.Second)), true
}

// endPhase starts the next phase at the end of the current one. The arrival that
// was drawn past the end is dropped: a Poisson process is memoryless, so the next
// phase can draw a new one.
func (s *schedule) endPhase(end time.Duration) {
	s.now, s.phaseStart = end, end
	s.phase++
	if s.phase < len(s.plan.Phases) {
		s.startPhase()
	}
}

func (s *schedule) drawArrival() arrival {
	kindIndex := s.drawKind()
	kind := s.plan.Mesh.Kinds[kindIndex]
	zone := s.zones[s.random.IntN(len(s.zones))]
	addresses := s.plan.Edges[zone]
	address := addresses[s.nextEdge[zone]%len(addresses)]
	s.nextEdge[zone]++
	s.count++
	group := kind.Callers[s.random.IntN(len(kind.Callers))]
	next := arrival{
		offset:  s.now,
		kind:    kindIndex,
		caller:  fmt.Sprintf("%s-%d", group, s.random.IntN(kind.CallersEach)),
		zone:    zone,
		address: address,
		nonce:   fmt.Sprintf("%08x-%016x", s.count, s.random.Uint64()),
	}
	if kind.Keyed {
		next.key = "key-" + next.nonce
	}
	return next
}

func (s *schedule) drawKind() int {
	total := s.cumulativeShares[len(s.cumulativeShares)-1]
	point := s.random.Float64() * total
	for i, cumulative := range s.cumulativeShares {
		if point < cumulative {
			return i
		}
	}
	return len(s.cumulativeShares) - 1
}
