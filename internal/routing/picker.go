package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	DefaultWarmup         = 10 * time.Second
	DefaultSpillThreshold = 0.8
	DefaultReportDecay    = 2 * time.Second
)

// warmupFloor is the share of a target's capacity at the start of its warm-up.
const warmupFloor = 0.1

// Config configures a Picker. Fields that are zero get their defaults.
type Config struct {
	// Warmup is the time that a new target takes to reach its full capacity.
	Warmup time.Duration
	// SpillThreshold is the load of the caller's zone above which calls spill over to
	// other zones, between 0 and 1.
	SpillThreshold float64
	// ReportDecay is the time over which a reported load decays to zero.
	ReportDecay time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// Picker balances calls over the targets of one service. It is safe for concurrent
// use. Pick does not allocate memory.
type Picker struct {
	config Config
	now    func() time.Time
	table  atomic.Pointer[Table]

	updateMutex sync.Mutex

	randomMutex sync.Mutex
	random      *rand.Rand
}

// NewPicker returns a picker without candidates. It uses now to timestamp load
// reports.
func NewPicker(config Config, now func() time.Time) *Picker {
	if config.Warmup <= 0 {
		config.Warmup = DefaultWarmup
	}
	if !(config.SpillThreshold > 0 && config.SpillThreshold < 1) {
		config.SpillThreshold = DefaultSpillThreshold
	}
	if config.ReportDecay <= 0 {
		config.ReportDecay = DefaultReportDecay
	}
	p := &Picker{
		config: config,
		now:    now,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	p.table.Store(newTable(nil, nil))
	return p
}

// Update replaces the candidates. Targets that remain keep their count of outstanding
// calls and their reported load. If candidates have the same name, the first is used.
func (p *Picker) Update(candidates []Candidate) {
	p.updateMutex.Lock()
	defer p.updateMutex.Unlock()
	p.table.Store(newTable(candidates, p.table.Load()))
}

// Table returns the current snapshot of the candidates.
func (p *Picker) Table() *Table { return p.table.Load() }

// Pick returns the target for a call that entered in the given zone. It returns false
// if all targets are draining or excluded.
func (p *Picker) Pick(zoneName string, exclude []string, now time.Time) (Candidate, bool) {
	table := p.table.Load()
	e := evaluator{config: &p.config, exclude: exclude, now: now}
	chosen, found := p.chooseZone(table, zoneName, e)
	if !found {
		return Candidate{}, false
	}
	return p.chooseTarget(chosen, e), true
}

// Begin adds an outstanding call to the target.
func (p *Picker) Begin(targetName string) {
	if s := p.table.Load().states[targetName]; s != nil {
		s.outstanding.Add(1)
	}
}

// Done removes an outstanding call added by Begin.
func (p *Picker) Done(targetName string) {
	s := p.table.Load().states[targetName]
	if s == nil {
		return
	}
	if s.outstanding.Add(-1) < 0 {
		s.outstanding.Add(1)
	}
}

// Outstanding returns the number of outstanding calls to the target.
func (p *Picker) Outstanding(targetName string) int {
	s := p.table.Load().states[targetName]
	if s == nil {
		return 0
	}
	return int(s.outstanding.Load())
}

// Report records the load that the target's home node reported in a response: the
// number of calls in flight and queued, divided by the concurrency limit. 1 is full
// load; a higher load means that calls are queued.
func (p *Picker) Report(targetName string, load float64) {
	if math.IsNaN(load) || load < 0 {
		return
	}
	if s := p.table.Load().states[targetName]; s != nil {
		s.report.Store(&report{load: load, time: p.now()})
	}
}

// chooseTarget draws two targets of a zone and returns the less loaded one, or the
// first if both loads are equal, so that idle targets share calls by capacity. The
// zone must have an eligible target.
func (p *Picker) chooseTarget(chosen *zone, e evaluator) Candidate {
	first := p.drawTarget(chosen, nil, e)
	second := p.drawTarget(chosen, first, e)
	if second != nil && e.loadOf(second) < e.loadOf(first) {
		return second.candidate
	}
	return first.candidate
}

// drawTarget draws an eligible target other than skip at random, weighted by
// capacity. It returns nil if there is none.
func (p *Picker) drawTarget(chosen *zone, skip *target, e evaluator) *target {
	total := 0.0
	for i := range chosen.targets {
		if t := &chosen.targets[i]; t != skip && e.eligible(t) {
			total += e.capacity(t)
		}
	}
	if total <= 0 {
		return nil
	}
	point := p.draw(total)
	var last *target
	for i := range chosen.targets {
		t := &chosen.targets[i]
		if t == skip || !e.eligible(t) {
			continue
		}
		last = t
		point -= e.capacity(t)
		if point < 0 {
			break
		}
	}
	return last
}

// draw returns a random number in [0, bound).
func (p *Picker) draw(bound float64) float64 {
	p.randomMutex.Lock()
	defer p.randomMutex.Unlock()
	return p.random.Float64() * bound
}
