package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault or of planned work.
type Kind string

// The kinds.
const (
	// Signals to processes.
	Kill      Kind = "kill"
	KillAll   Kind = "kill-all"
	Freeze    Kind = "freeze"
	Terminate Kind = "terminate"
	// Faults of the store for all machines.
	StoreDown               Kind = "store-down"
	StoreThrottled          Kind = "store-throttled"
	StoreWriteResponsesLost Kind = "store-lost-writes"
	StoreWritesDelayed      Kind = "store-late-writes"
	StoreWatchesExpired     Kind = "store-forgets"
	// StoreRestored restores the store from a backup whose age is the fault's duration.
	StoreRestored Kind = "store-restored"
	// Faults on the connections of one machine.
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
	ResponsesLost      Kind = "answers-lost"
	ResponsesTruncated Kind = "answers-spoilt"
	TargetRejects      Kind = "target-rejects"
	TargetReplaced     Kind = "target-replaced"
	// TargetRateLimited makes a target announce a rate limit in its responses, which it lowers
	// and then lifts. TargetLeaving makes it announce that it is leaving while its
	// heartbeats report it as ready.
	TargetRateLimited Kind = "target-rate-limited"
	TargetLeaving     Kind = "target-leaving"
	// ResponsesEndless makes a target send responses without end, and StatusesInvalid responses whose
	// status is not valid.
	ResponsesEndless Kind = "endless-responses"
	StatusesInvalid  Kind = "invalid-statuses"
	// SlowReaders request large responses from a machine and read them slowly, and LargeBodies send
	// requests with large bodies to it.
	SlowReaders Kind = "slow-readers"
	LargeBodies Kind = "large-bodies"
	// OddEntries writes entries that no node wrote under the prefixes of nodes' entries.
	OddEntries Kind = "odd-entries"
	// AddressInUse kills a node and starts it again while another socket uses one of its addresses.
	AddressInUse Kind = "address-in-use"
	// CrashingRequest repeats a request that crashes each target that runs it.
	CrashingRequest Kind = "deadly-request"
	// Drain drains a target; DrainAndKill also kills the node right after it has
	// acknowledged the drain.
	Drain        Kind = "drain"
	DrainAndKill Kind = "drain-and-kill"
	// Configure changes the configuration; ConfigureAndKill also kills a node right
	// afterwards.
	Configure        Kind = "configure"
	ConfigureAndKill Kind = "configure-and-kill"
)

// kinds lists the kinds that are drawn; frequent ones occur more than once.
var kinds = []Kind{
	Kill, KillAll, Freeze, Freeze, Terminate, Terminate, StoreDown, StoreThrottled, StoreWriteResponsesLost, StoreWritesDelayed, StoreWatchesExpired, StoreCut, StoreReset, StoreOneWay,
	StoreSlow, PeerCut, PeerReset, PeerOneWay, PeerSlow, TargetSlow, TargetReset, ResponsesLost, ResponsesTruncated, TargetRejects, TargetReplaced, CrashingRequest, CrashingRequest,
	Drain, Drain, DrainAndKill, Configure, Configure, Configure, ConfigureAndKill,
}

// Fault is one entry of a schedule.
type Fault struct {
	Kind Kind `json:"kind"`
	// At is the time from the start of the schedule, and For the duration of the fault.
	At  time.Duration `json:"at_ns"`
	For time.Duration `json:"for_ns"`
	// Machine is the index of the affected machine.
	Machine int `json:"machine"`
	// Rate is the first rate limit that the target announces, in requests per second.
	Rate float64 `json:"rate,omitempty"`
}

// Ranges of the pauses between faults and of their durations.
const (
	minPause  = 300 * time.Millisecond
	maxPause  = 2500 * time.Millisecond
	minLength = 500 * time.Millisecond
	maxLength = 4 * time.Second
)

// NewSchedule generates the faults of a run from its seed.
func NewSchedule(seed uint64, machines int, duration time.Duration) []Fault {
	const stream = 0x736f616b
	random := rand.New(rand.NewPCG(seed, stream))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
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

// addRestores adds restores of the store to a schedule. Their times come from a separate
// random stream, so that they are independent of the other faults.
func addRestores(schedule []Fault, seed uint64, restores int, duration time.Duration) []Fault {
	const stream = 0x72657374
	random := rand.New(rand.NewPCG(seed, stream))
	for range restores {
		schedule = append(schedule, Fault{
			Kind: StoreRestored,
			At:   time.Duration(random.Int64N(int64(duration))),
			For:  time.Duration(random.Int64N(int64(maxBackups * backupInterval))),
		})
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// addAnnouncements adds announcements of targets to a schedule. Like the times of restores,
// they are independent of the other faults.
func addAnnouncements(schedule []Fault, seed uint64, announcements, machines int, duration time.Duration) []Fault {
	const stream = 0x616e6e6f
	random := rand.New(rand.NewPCG(seed, stream))
	for range announcements {
		fault := Fault{Kind: TargetRateLimited, At: time.Duration(random.Int64N(int64(duration))), Machine: random.IntN(machines),
			For: minLimited + time.Duration(random.Int64N(int64(maxLength))), Rate: maxAnnouncedRate * random.Float64() * random.Float64()}
		if random.IntN(leavingShare) == 0 {
			fault.Kind = TargetLeaving
		}
		schedule = append(schedule, fault)
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// resourceKinds are the kinds of faults that use up the resources of nodes, or that are input which
// no sound peer sends.
var resourceKinds = []Kind{ResponsesEndless, ResponsesEndless, StatusesInvalid, SlowReaders, SlowReaders, LargeBodies, LargeBodies, OddEntries, AddressInUse}

// addResourceFaults adds faults of resourceKinds to a schedule. Like the times of restores, they are
// independent of the other faults.
func addResourceFaults(schedule []Fault, seed uint64, count, machines int, duration time.Duration) []Fault {
	const stream = 0x7265736f
	random := rand.New(rand.NewPCG(seed, stream))
	for range count {
		schedule = append(schedule, Fault{
			Kind:    resourceKinds[random.IntN(len(resourceKinds))],
			At:      time.Duration(random.Int64N(int64(duration))),
			For:     minLength + time.Duration(random.Int64N(int64(maxLength-minLength))),
			Machine: random.IntN(machines),
		})
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

const (
	// minLimited is the least time for which a target announces a rate limit, so that
	// whole windows lie in it.
	minLimited = rateStart + 2*rateWindow
	// maxAnnouncedRate is the highest announced rate limit, in requests per second.
	maxAnnouncedRate = 40.0
	// One of leavingShare announcements is that the target is leaving.
	leavingShare = 3
)
