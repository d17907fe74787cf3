package kvstore

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// Outage is a kind of unavailability.
type Outage string

// The outages.
const (
	// OutageNone is normal service.
	OutageNone Outage = ""
	// OutageRefuse refuses connections. If the server doesn't own the listener,
	// connections are closed instead.
	OutageRefuse Outage = "refuse"
	// OutageUnavailable responds with 503.
	OutageUnavailable Outage = "unavailable"
	// OutageHang blocks requests and processes them when the outage ends.
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

// Faults are the current faults.
type Faults struct {
	Outage Outage `json:"outage"`
	// LatencyMillis delays each request and each message with events, in
	// milliseconds.
	LatencyMillis int64 `json:"latency_ms"`
	// DropResponses is the number of next writes whose responses are dropped after
	// the write is applied.
	DropResponses int `json:"drop_answers"`
	// DropProbability is the probability of dropping the responses of other writes, 0 to 1.
	DropProbability float64 `json:"drop_probability"`
}

// counters count events since the start.
type counters struct {
	requests         atomic.Int64
	writes           atomic.Int64
	rateLimited      atomic.Int64
	responsesDropped atomic.Int64
	watches          atomic.Int64
}

// faultState holds the current faults. It is safe for concurrent use.
type faultState struct {
	mu         sync.Mutex
	faults     Faults
	changed    chan struct{}
	watchesCut chan struct{}
	random     *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	return &faultState{
		changed:    make(chan struct{}),
		watchesCut: make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// currentFaults returns the faults and a channel that is closed when they change.
func (f *faultState) currentFaults() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

func (f *faultState) setFaults(faults Faults) {
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
	return f.watchesCut
}

func (f *faultState) cutWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.watchesCut)
	f.watchesCut = make(chan struct{})
}

// shouldDropResponse decides whether to drop the response of an applied write.
func (f *faultState) shouldDropResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DropResponses > 0 {
		f.faults.DropResponses--
		return true
	}
	return f.faults.DropProbability > 0 && f.random.Float64() < f.faults.DropProbability
}
