package chaos

import "time"

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	// Kill ends a node's process at once and starts a new one after the
	// duration, with the same name and addresses and no memory.
	Kill FaultKind = "kill"
	// Freeze stops a node's process and lets it go on after the duration.
	Freeze FaultKind = "freeze"
	// Stop stops a node as planned and starts a new process, the duration after
	// the old one's end.
	Stop FaultKind = "stop"
	// CutZone cuts the nodes of one zone off: what other nodes send them, and
	// their answers, gets lost.
	CutZone FaultKind = "cut-zone"
	// CutAll cuts every node off from every other.
	CutAll FaultKind = "cut-all"
	// LoseAnswers loses what a node answers to others, and nothing else.
	LoseAnswers FaultKind = "lose-answers"
	// LoseDatagrams loses a part of the datagrams to a node.
	LoseDatagrams FaultKind = "lose-datagrams"
	// StoreRefuse, StoreHang and StoreUnavailable are outages of the store.
	StoreRefuse      FaultKind = "store-refuse"
	StoreHang        FaultKind = "store-hang"
	StoreUnavailable FaultKind = "store-unavailable"
	// StoreLostAnswers loses the answers to most writes after they took effect.
	StoreLostAnswers FaultKind = "store-lost-answers"
	// Race has two operators change one policy at two nodes at once.
	Race FaultKind = "race"
	// Drain has an operator drain a target, and let it join after the duration.
	Drain FaultKind = "drain"
	// Surge multiplies the rate of calls.
	Surge FaultKind = "surge"
	// SlowService slows all targets of a service down.
	SlowService FaultKind = "slow-service"
	// The faults of single targets.
	TargetSlow     FaultKind = "target-slow"
	TargetTruncate FaultKind = "target-truncate"
	TargetReset    FaultKind = "target-reset"
	TargetFreeze   FaultKind = "target-freeze"
	TargetDown     FaultKind = "target-down"
	// TargetLie has a busy target report that it is idle, and then go on working
	// for callers that have left.
	TargetLie FaultKind = "target-lie"
)

// Fault is one entry of a schedule.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// At is when it begins, from the start of the load, and For how long it
	// lasts, both in milliseconds.
	At  int64 `json:"at_ms"`
	For int64 `json:"for_ms"`
	// Nodes are the nodes that it concerns: those of a zone, or the two that
	// racing operators write at.
	Nodes   []string `json:"nodes,omitempty"`
	Target  string   `json:"target,omitempty"`
	Service string   `json:"service,omitempty"`
	// Factor is how much slower a target or how many more the calls get, or the
	// fraction of what is spoilt or lost.
	Factor float64 `json:"factor,omitempty"`
}

func (f Fault) begin() time.Duration  { return time.Duration(f.At) * time.Millisecond }
func (f Fault) length() time.Duration { return time.Duration(f.For) * time.Millisecond }

// kindSettings say how a kind of fault is drawn.
type kindSettings struct {
	kind FaultKind
	// weight is the share among all faults.
	weight int
	// shortest and longest bound the duration.
	shortest, longest time.Duration
	// least and most bound the factor.
	least, most float64
}

// drawn are all kinds of faults. A drain lasts longer than a target may get new
// work after it, so that the promise is put to the test.
var drawn = []kindSettings{
	{kind: Kill, weight: 4, shortest: 300 * time.Millisecond, longest: 4 * time.Second},
	{kind: Freeze, weight: 3, shortest: 1500 * time.Millisecond, longest: 7 * time.Second},
	{kind: Stop, weight: 4, shortest: 300 * time.Millisecond, longest: 2 * time.Second},
	{kind: CutZone, weight: 3, shortest: 2 * time.Second, longest: 7 * time.Second},
	{kind: CutAll, weight: 1, shortest: time.Second, longest: 4 * time.Second},
	{kind: LoseAnswers, weight: 2, shortest: 2 * time.Second, longest: 6 * time.Second},
	{kind: LoseDatagrams, weight: 2, shortest: 2 * time.Second, longest: 6 * time.Second, least: 0.3, most: 1},
	{kind: StoreRefuse, weight: 1, shortest: 2 * time.Second, longest: 9 * time.Second},
	{kind: StoreHang, weight: 1, shortest: 2 * time.Second, longest: 9 * time.Second},
	{kind: StoreUnavailable, weight: 1, shortest: 2 * time.Second, longest: 9 * time.Second},
	{kind: StoreLostAnswers, weight: 2, shortest: 2 * time.Second, longest: 5 * time.Second, least: 0.5, most: 1},
	{kind: Race, weight: 4},
	{kind: Drain, weight: 4, shortest: 6 * time.Second, longest: 11 * time.Second},
	{kind: Surge, weight: 2, shortest: 2 * time.Second, longest: 4 * time.Second, least: 2, most: 5},
	{kind: SlowService, weight: 3, shortest: 2 * time.Second, longest: 6 * time.Second, least: 8, most: 40},
	{kind: TargetSlow, weight: 2, shortest: 2 * time.Second, longest: 6 * time.Second, least: 4, most: 15},
	{kind: TargetTruncate, weight: 1, shortest: 2 * time.Second, longest: 6 * time.Second, least: 0.3, most: 1},
	{kind: TargetReset, weight: 1, shortest: 2 * time.Second, longest: 6 * time.Second, least: 0.3, most: 1},
	{kind: TargetFreeze, weight: 1, shortest: time.Second, longest: 4 * time.Second},
	{kind: TargetDown, weight: 1, shortest: time.Second, longest: 4 * time.Second},
	{kind: TargetLie, weight: 1, shortest: 2 * time.Second, longest: 6 * time.Second, least: 4, most: 10},
}
