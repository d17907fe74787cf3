package kvstore

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// Outage is a way of being out of service.
type Outage string

// The outages.
const (
	// OutageNone is normal service.
	OutageNone Outage = ""
	// OutageRefuse refuses connections. Where the listener belongs to somebody
	// else, connections are closed instead.
	OutageRefuse Outage = "refuse"
	// OutageUnavailable answers 503.
	OutageUnavailable Outage = "unavailable"
	// OutageHang holds requests, and runs them when the outage ends.
	OutageHang Outage = "hang"
)

func (o Outage) valid() bool {
	switch o {
	case OutageNone, OutageRefuse, OutageUnavailable, OutageHang:
		return true
	default:
		return false
	}
}

// Faults are the faults in force.
type Faults struct {
	Outage Outage `json:"outage"`
	// LatencyMillis delays each request and each message with events, in
	// milliseconds.
	LatencyMillis int64 `json:"latency_ms"`
	// DropAnswers is the number of further writes whose answers are dropped
	// after they took effect.
	DropAnswers int `json:"drop_answers"`
	// DropProbability drops the answers of other writes at random, 0 to 1.
	DropProbability float64 `json:"drop_probability"`
}

// counters count since the start.
type counters struct {
	requests       atomic.Int64
	writes         atomic.Int64
	rateLimited    atomic.Int64
	answersDropped atomic.Int64
	watches        atomic.Int64
}

// faultState holds the faults in force. It is safe for concurrent use.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	cut     chan struct{}
	random  *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	return &faultState{
		changed: make(chan struct{}),
		cut:     make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// current returns the faults and a channel that is closed when they change.
func (f *faultState) current() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

// watchCut returns a channel that is closed when the open watches are cut.
func (f *faultState) watchCut() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

func (f *faultState) cutWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.cut)
	f.cut = make(chan struct{})
}

// dropAnswer decides about the answer of one write that took effect.
func (f *faultState) dropAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DropAnswers > 0 {
		f.faults.DropAnswers--
		return true
	}
	return f.faults.DropProbability > 0 && f.random.Float64() < f.faults.DropProbability
}
