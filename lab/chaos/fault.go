package chaos

import "time"

// FaultKind identifies a type of fault.
type FaultKind string

// Fault kinds.
const (
	// Kill kills a node's process and, after the duration, starts a new one with
	// the same name and addresses but none of its state.
	Kill FaultKind = "kill"
	// Freeze suspends a node's process and resumes it after the duration.
	Freeze FaultKind = "freeze"
	// Stop shuts a node down gracefully and starts a new process when the
	// duration has passed after the exit of the old one.
	Stop FaultKind = "stop"
	// PartitionZone drops what other nodes send to the nodes of one zone, and the
	// responses to it. What the nodes of the zone send to other nodes passes
	// through the proxies of the receivers and is not dropped.
	PartitionZone FaultKind = "cut-zone"
	// PartitionAll isolates every node from all others.
	PartitionAll FaultKind = "cut-all"
	// DropResponses drops only the responses of a node to other nodes. Requests
	// still reach it.
	DropResponses FaultKind = "lose-answers"
	// DropDatagrams drops a fraction of the datagrams sent to a node.
	DropDatagrams FaultKind = "lose-datagrams"
	// StoreRefuse, StoreHang and StoreUnavailable are outages of the store.
	StoreRefuse      FaultKind = "store-refuse"
	StoreHang        FaultKind = "store-hang"
	StoreUnavailable FaultKind = "store-unavailable"
	// StoreDropResponses drops the responses to most writes after the writes took
	// effect.
	StoreDropResponses FaultKind = "store-lost-answers"
	// Race has two operators change the same policy concurrently at two nodes.
	Race FaultKind = "race"
	// Drain has an operator drain a target and rejoin it after the duration.
	Drain FaultKind = "drain"
	// Surge multiplies the call rate.
	Surge FaultKind = "surge"
	// SlowService slows down all targets of a service.
	SlowService FaultKind = "slow-service"
	// The following faults affect a single target.
	TargetSlow     FaultKind = "target-slow"
	TargetTruncate FaultKind = "target-truncate"
	TargetReset    FaultKind = "target-reset"
	TargetFreeze   FaultKind = "target-freeze"
	TargetDown     FaultKind = "target-down"
	// TargetMisreport makes a slow target report that it is idle and healthy, and
	// ignore the cancellation of calls.
	TargetMisreport FaultKind = "target-lie"
)

// Fault is one entry of a schedule.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// StartMS is when the fault begins, relative to the start of the schedule,
	// and DurationMS how long it lasts, both in milliseconds.
	StartMS    int64 `json:"at_ms"`
	DurationMS int64 `json:"for_ms"`
	// Nodes lists the affected nodes. For a Race they are the two nodes at which
	// the operators write.
	Nodes   []string `json:"nodes,omitempty"`
	Target  string   `json:"target,omitempty"`
	Service string   `json:"service,omitempty"`
	// Factor is the slowdown of a target or the multiplier of the call rate, or
	// the fraction of responses or datagrams that are corrupted or lost.
	Factor float64 `json:"factor,omitempty"`
}

func (f Fault) start() time.Duration    { return time.Duration(f.StartMS) * time.Millisecond }
func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// kindSettings specifies how faults of a kind are generated.
type kindSettings struct {
	kind FaultKind
	// weight is the relative frequency of the kind.
	weight int
	// minDuration and maxDuration limit the duration.
	minDuration, maxDuration time.Duration
	// minFactor and maxFactor limit the factor. The kind has no factor if
	// maxFactor is zero.
	minFactor, maxFactor float64
}

// faultKinds lists all kinds of faults that a schedule may contain. A drain lasts
// longer than judge's DrainAllowance, so that the guarantee is exercised.
var faultKinds = []kindSettings{
	{kind: Kill, weight: 4, minDuration: 300 * time.Millisecond, maxDuration: 4 * time.Second},
	{kind: Freeze, weight: 3, minDuration: 1500 * time.Millisecond, maxDuration: 7 * time.Second},
	{kind: Stop, weight: 4, minDuration: 300 * time.Millisecond, maxDuration: 2 * time.Second},
	{kind: PartitionZone, weight: 3, minDuration: 2 * time.Second, maxDuration: 7 * time.Second},
	{kind: PartitionAll, weight: 1, minDuration: time.Second, maxDuration: 4 * time.Second},
	{kind: DropResponses, weight: 2, minDuration: 2 * time.Second, maxDuration: 6 * time.Second},
	{kind: DropDatagrams, weight: 2, minDuration: 2 * time.Second, maxDuration: 6 * time.Second, minFactor: 0.3, maxFactor: 1},
	{kind: StoreRefuse, weight: 1, minDuration: 2 * time.Second, maxDuration: 9 * time.Second},
	{kind: StoreHang, weight: 1, minDuration: 2 * time.Second, maxDuration: 9 * time.Second},
	{kind: StoreUnavailable, weight: 1, minDuration: 2 * time.Second, maxDuration: 9 * time.Second},
	{kind: StoreDropResponses, weight: 2, minDuration: 2 * time.Second, maxDuration: 5 * time.Second, minFactor: 0.5, maxFactor: 1},
	{kind: Race, weight: 4},
	{kind: Drain, weight: 4, minDuration: 6 * time.Second, maxDuration: 11 * time.Second},
	{kind: Surge, weight: 2, minDuration: 2 * time.Second, maxDuration: 4 * time.Second, minFactor: 2, maxFactor: 5},
	{kind: SlowService, weight: 3, minDuration: 2 * time.Second, maxDuration: 6 * time.Second, minFactor: 8, maxFactor: 40},
	{kind: TargetSlow, weight: 2, minDuration: 2 * time.Second, maxDuration: 6 * time.Second, minFactor: 4, maxFactor: 15},
	{kind: TargetTruncate, weight: 1, minDuration: 2 * time.Second, maxDuration: 6 * time.Second, minFactor: 0.3, maxFactor: 1},
	{kind: TargetReset, weight: 1, minDuration: 2 * time.Second, maxDuration: 6 * time.Second, minFactor: 0.3, maxFactor: 1},
	{kind: TargetFreeze, weight: 1, minDuration: time.Second, maxDuration: 4 * time.Second},
	{kind: TargetDown, weight: 1, minDuration: time.Second, maxDuration: 4 * time.Second},
	{kind: TargetMisreport, weight: 1, minDuration: 2 * time.Second, maxDuration: 6 * time.Second, minFactor: 4, maxFactor: 10},
}
