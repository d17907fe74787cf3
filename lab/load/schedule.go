package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lugspur/lugspur/lab/mesh"
)

// arrival is one call that is to be made.
type arrival struct {
	offset  time.Duration // from the start of the run
	kind    int           // index into the mesh's kinds
	caller  string
	zone    string
	address string
	nonce   string
	key     string // Idempotency-Key, or ""
}

// schedule draws the arrivals of a plan: a Poisson process with the rate of
// each phase. The same plan gives the same arrivals. It is for one goroutine.
type schedule struct {
	plan       *Plan
	random     *rand.Rand
	zones      []string
	nextEdge   map[string]int
	phase      int
	phaseStart time.Duration
	now        time.Duration
	count      int
	weights    []float64 // cumulated shares in the phase
	rate       float64   // calls a second in the phase
}

func newSchedule(plan *Plan) *schedule {
	s := &schedule{
		plan:     plan,
		random:   rand.New(rand.NewPCG(plan.Seed, 0x6c6f6164)),
		zones:    slices.Sorted(maps.Keys(plan.Edges)),
		nextEdge: make(map[string]int),
	}
	s.enterPhase()
	return s
}

// enterPhase computes the rate and weights of the current phase.
func (s *schedule) enterPhase() {
	phase := s.plan.Phases[s.phase]
	baseTotal, total := 0.0, 0.0
	s.weights = s.weights[:0]
	for _, kind := range s.plan.Mesh.Kinds {
		baseTotal += kind.Share
		total += kind.Share * kindMultiplier(phase, kind)
		s.weights = append(s.weights, total)
	}
	s.rate = s.plan.Rate * phase.Multiplier * total / baseTotal
}

func kindMultiplier(phase Phase, kind mesh.Kind) float64 {
	if multiplier, ok := phase.KindMultipliers[kind.Name]; ok {
		return multiplier
	}
	return 1
}

// next returns the next arrival; false means that the plan is at its end.
func (s *schedule) next() (arrival, bool) {
	for s.phase < len(s.plan.Phases) {
		end := s.phaseStart + s.plan.Phases[s.phase].Duration
		if at, ok := s.drawTime(); ok && at < end {
			s.now = at
			return s.draw(), true
		}
		s.leavePhase(end)
	}
	return arrival{}, false
}

func (s *schedule) drawTime() (time.Duration, bool) {
	if s.rate <= 0 {
		return 0, false
	}
	gap := s.random.ExpFloat64() / s.rate
	return s.now + time.Duration(gap*float64(time.Second)), true
}

// leavePhase drops the arrival that would have been after the end: a Poisson
// process has no memory, so the next phase draws anew.
func (s *schedule) leavePhase(end time.Duration) {
	s.now, s.phaseStart = end, end
	s.phase++
	if s.phase < len(s.plan.Phases) {
		s.enterPhase()
	}
}

func (s *schedule) draw() arrival {
	kindIndex := s.drawKind()
	kind := s.plan.Mesh.Kinds[kindIndex]
	zone := s.zones[s.random.IntN(len(s.zones))]
	addresses := s.plan.Edges[zone]
	address := addresses[s.nextEdge[zone]%len(addresses)]
	s.nextEdge[zone]++
	s.count++
	group := kind.Callers[s.random.IntN(len(kind.Callers))]
	drawn := arrival{
		offset:  s.now,
		kind:    kindIndex,
		caller:  fmt.Sprintf("%s-%d", group, s.random.IntN(kind.CallersEach)),
		zone:    zone,
		address: address,
		nonce:   fmt.Sprintf("%08x-%016x", s.count, s.random.Uint64()),
	}
	if kind.Keyed {
		drawn.key = "key-" + drawn.nonce
	}
	return drawn
}

func (s *schedule) drawKind() int {
	total := s.weights[len(s.weights)-1]
	point := s.random.Float64() * total
	for i, cumulated := range s.weights {
		if point < cumulated {
			return i
		}
	}
	return len(s.weights) - 1
}
