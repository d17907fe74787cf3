package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault or planned work.
type Kind string

// The kinds.
const (
	// Signals to processes.
	Kill      Kind = "kill"
	KillAll   Kind = "kill-all"
	Freeze    Kind = "freeze"
	Terminate Kind = "terminate"
	// Faults of the store for all machines.
	StoreDown       Kind = "store-down"
	StoreThrottled  Kind = "store-throttled"
	StoreLostWrites Kind = "store-lost-writes"
	StoreLateWrites Kind = "store-late-writes"
	StoreForgets    Kind = "store-forgets"
	// StoreRestored has the store come back from a copy as old as the fault is long.
	StoreRestored Kind = "store-restored"
	// Faults on links of one machine.
	StoreCut    Kind = "store-cut"
	StoreReset  Kind = "store-reset"
	StoreOneWay Kind = "store-one-way"
	StoreSlow   Kind = "store-slow"
	PeerCut     Kind = "peer-cut"
	PeerReset   Kind = "peer-reset"
	PeerOneWay  Kind = "peer-one-way"
	PeerSlow    Kind = "peer-slow"
	TargetSlow  Kind = "target-slow"
	TargetReset Kind = "target-reset"
	// Faults of a target.
	AnswersLost    Kind = "answers-lost"
	AnswersSpoilt  Kind = "answers-spoilt"
	TargetRejects  Kind = "target-rejects"
	TargetReplaced Kind = "target-replaced"
	// DeadlyRequest sends a request that ends each target which runs it, again and again.
	DeadlyRequest Kind = "deadly-request"
	// Drain has a target say that it leaves, DrainAndKill kills the node that
	// acknowledged it right afterwards.
	Drain        Kind = "drain"
	DrainAndKill Kind = "drain-and-kill"
	// Configure changes the configuration, ConfigureAndKill kills a node right
	// afterwards.
	Configure        Kind = "configure"
	ConfigureAndKill Kind = "configure-and-kill"
)

// kinds holds every kind, the frequent ones more than once.
var kinds = []Kind{
	Kill, KillAll, Freeze, Freeze, Terminate, Terminate, StoreDown, StoreThrottled, StoreLostWrites, StoreLateWrites, StoreForgets, StoreCut, StoreReset, StoreOneWay,
	StoreSlow, PeerCut, PeerReset, PeerOneWay, PeerSlow, TargetSlow, TargetReset, AnswersLost, AnswersSpoilt, TargetRejects, TargetReplaced, DeadlyRequest, DeadlyRequest,
	Drain, Drain, DrainAndKill, Configure, Configure, Configure, ConfigureAndKill,
}

// Fault is one entry of a schedule.
type Fault struct {
	Kind Kind `json:"kind"`
	// At is the time from the beginning of the run, For how long the fault lasts.
	At  time.Duration `json:"at_ns"`
	For time.Duration `json:"for_ns"`
	// Machine is the number of the machine that is struck.
	Machine int `json:"machine"`
}

// Pauses between faults and their lengths.
const (
	minPause  = 300 * time.Millisecond
	maxPause  = 2500 * time.Millisecond
	minLength = 500 * time.Millisecond
	maxLength = 4 * time.Second
)

// NewSchedule draws the faults of a run from its seed.
func NewSchedule(seed uint64, machines int, duration time.Duration) []Fault {
	const stream = 0x736f616b
	random := rand.New(rand.NewPCG(seed, stream))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var schedule []Fault
	for at := between(minPause, maxPause); at < duration; at += between(minPause, maxPause) {
		schedule = append(schedule, Fault{
			Kind:    kinds[random.IntN(len(kinds))],
			At:      at,
			For:     between(minLength, maxLength),
			Machine: random.IntN(machines),
		})
	}
	return schedule
}

// addRestores adds so many returns of the store from copies to a schedule, at moments of a
// stream of their own, so that they come beside whatever else is struck.
func addRestores(schedule []Fault, seed uint64, restores int, duration time.Duration) []Fault {
	const stream = 0x72657374
	random := rand.New(rand.NewPCG(seed, stream))
	for range restores {
		schedule = append(schedule, Fault{
			Kind: StoreRestored,
			At:   time.Duration(random.Int64N(int64(duration))),
			For:  time.Duration(random.Int64N(int64(maxCopies * copyPeriod))),
		})
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}
