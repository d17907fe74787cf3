package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/fingerprint"
)

const (
	// quarantineCrashes is the number of consecutive crashes after which a request is
	// quarantined. Harmless requests reach one or two when they run together with a query of
	// death or when targets crash for other reasons. With three, none of 0.4 million harmless
	// requests was quarantined while 20 targets crashed once a minute each, and one in 1,401
	// crashes while they crashed every 20 s (simulation, 8 seeds of 120 s each).
	quarantineCrashes = 3
	// isolationCrashes is the number of consecutive crashes after which a request runs
	// isolated, with no other suspect on the same target.
	isolationCrashes = 2
	// suspectTTL is how long a suspect is kept after its last crash. A query of death that
	// recurs less often than that starts again at zero crashes each time.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the suspects, which take some 150 bytes each. Above it, those with the
	// fewest and then oldest crashes are evicted.
	maxSuspects = 4096
	// maxQuarantined bounds the quarantined requests, and with them the records in the store:
	// if all targets of a service crash for another reason, all its requests become suspects.
	maxQuarantined = 256
	// initialTrialDelay is the time from the quarantine to the first trial run, which may
	// crash a target. It doubles with each failed trial, up to maxTrialDelay, which is less
	// than suspectTTL so that a quarantine does not expire between trials.
	initialTrialDelay = time.Minute
	maxTrialDelay     = 8 * time.Minute
)

// State holds the crashes and the quarantine state of a request.
type State struct {
	// Crashes is the number of consecutive crashes of targets that ran the request.
	Crashes int
	// Quarantined reports that the request is refused. RetryAfter is the time until its next
	// trial.
	Quarantined bool
	RetryAfter  time.Duration
	// Cleared reports that a target answered the request after all known crashes.
	Cleared bool
	// TrialDue reports that a trial may run once a transaction has claimed it.
	TrialDue bool
}

// Suspected reports whether attempts of the request run one at a time on a target.
func (s State) Suspected() bool { return s.Crashes > 0 }

// Isolated reports whether the request may not run together with another suspect.
func (s State) Isolated() bool { return s.Crashes >= isolationCrashes }

// SuspectReport is a request that was running when a target crashed.
type SuspectReport struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint fingerprint.Fingerprint
	// Crashes is the number of consecutive crashes of the request, including this one.
	Crashes int
}

// Crash is a report of the crash of one target.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the instance ID of the target.
	Instance string
	Suspects []SuspectReport
}

// Clearance reports that a target answered a request after the crashes of the instances.
type Clearance struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint fingerprint.Fingerprint
	Instances   []string
}

// suspect is a request that was running when targets crashed.
type suspect struct {
	crashes   int
	instances map[string]bool
	// lastCrash is when the node learned of the last crash.
	lastCrash time.Time
	// quarantine is nil unless the request is quarantined.
	quarantine *quarantineEntry
}

// quarantineEntry is the trial schedule of a quarantined request.
type quarantineEntry struct {
	// trials is the number of trial runs so far, and nextTrial when the next one is due.
	trials    int
	nextTrial time.Time
}

// clearance holds the instances whose crashes a request did not cause. Delayed reports of these
// crashes are ignored.
type clearance struct {
	instances map[string]bool
	at        time.Time
}

// Table holds the suspects. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	// size is the number of suspects, which Empty reads without the lock: while there are
	// none, no request's fingerprint is computed.
	size     atomic.Int64
	mutex    sync.Mutex
	suspects map[fingerprint.Fingerprint]*suspect
	cleared  map[fingerprint.Fingerprint]clearance
	// quarantined is the number of quarantined suspects, and overflowCount that of requests that
	// were not quarantined because of maxQuarantined.
	quarantined   int
	overflowCount atomic.Uint64
}

// NewTable returns a table without suspects.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, suspects: make(map[fingerprint.Fingerprint]*suspect), cleared: make(map[fingerprint.Fingerprint]clearance)}
}

// Empty reports whether there are no suspects.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Quarantined returns the number of quarantined requests.
func (t *Table) Quarantined() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quarantined
}

// OverflowCount returns the number of requests that were not quarantined because maxQuarantined
// was reached.
func (t *Table) OverflowCount() uint64 { return t.overflowCount.Load() }

// State returns the crashes and the quarantine state of a request.
func (t *Table) State(hash fingerprint.Fingerprint) State {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[hash]
	if entry == nil || t.expired(entry) {
		_, cleared := t.cleared[hash]
		return State{Cleared: cleared}
	}
	state := State{Crashes: entry.crashes}
	if entry.quarantine != nil {
		state.Quarantined = true
		state.RetryAfter = max(entry.quarantine.nextTrial.Sub(t.now()), 0)
		state.TrialDue = state.RetryAfter == 0
	}
	return state
}

// RecordCrash processes a crash report. It returns the requests that it quarantined.
func (t *Table) RecordCrash(crash Crash) []fingerprint.Fingerprint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var quarantined []fingerprint.Fingerprint
	for _, report := range crash.Suspects {
		if t.recordSuspect(crash.Instance, report) {
			quarantined = append(quarantined, report.Fingerprint)
		}
	}
	t.enforceLimits()
	t.size.Store(int64(len(t.suspects)))
	return quarantined
}

// recordSuspect processes one suspect and reports whether the request was quarantined.
func (t *Table) recordSuspect(instance string, report SuspectReport) bool {
	if t.cleared[report.Fingerprint].instances[instance] {
		return false
	}
	entry := t.suspects[report.Fingerprint]
	if entry == nil || t.expired(entry) {
		t.remove(report.Fingerprint)
		entry = &suspect{instances: make(map[string]bool)}
		t.suspects[report.Fingerprint] = entry
	}
	if entry.instances[instance] && report.Crashes <= entry.crashes {
		return false
	}
	entry.instances[instance] = true
	entry.crashes = max(entry.crashes, report.Crashes)
	entry.lastCrash = t.now()
	if entry.crashes < quarantineCrashes || entry.quarantine != nil {
		return false
	}
	return t.startQuarantine(entry, 0)
}

// startQuarantine quarantines a request unless maxQuarantined is reached.
func (t *Table) startQuarantine(entry *suspect, trials int) bool {
	if t.quarantined >= maxQuarantined {
		t.overflowCount.Add(1)
		return false
	}
	t.quarantined++
	entry.quarantine = &quarantineEntry{trials: trials, nextTrial: t.now().Add(trialDelay(trials))}
	return true
}

// trialDelay returns the time until the next trial after the given number of trials.
func trialDelay(trials int) time.Duration {
	delay := initialTrialDelay
	for range trials {
		delay = min(2*delay, maxTrialDelay)
	}
	return delay
}

// RecordAnswer records that a target answered the request, which is thus no query of death. It
// returns the clearance, and whether it is to be broadcast.
func (t *Table) RecordAnswer(hash fingerprint.Fingerprint) (Clearance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[hash]
	if entry == nil {
		return Clearance{}, false
	}
	cleared := Clearance{Fingerprint: hash, Instances: slices.Sorted(maps.Keys(entry.instances))}
	broadcast := entry.crashes >= isolationCrashes
	t.clear(cleared)
	return cleared, broadcast
}

// ApplyClearance processes a peer's clearance. It reports whether it ended a quarantine.
func (t *Table) ApplyClearance(cleared Clearance) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[cleared.Fingerprint]
	quarantined := entry != nil && entry.quarantine != nil
	t.clear(cleared)
	return quarantined
}

// Lift ends a quarantine that an operator lifted or whose trial another node's target
// answered. It reports whether there was one.
func (t *Table) Lift(hash fingerprint.Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[hash]
	if entry == nil {
		return false
	}
	t.clear(Clearance{Fingerprint: hash, Instances: slices.Collect(maps.Keys(entry.instances))})
	return entry.quarantine != nil
}

func (t *Table) clear(cleared Clearance) {
	previous := t.cleared[cleared.Fingerprint]
	if previous.instances == nil {
		previous.instances = make(map[string]bool)
	}
	for _, instance := range cleared.Instances {
		previous.instances[instance] = true
	}
	previous.at = t.now()
	t.cleared[cleared.Fingerprint] = previous
	t.remove(cleared.Fingerprint)
	t.enforceLimits()
	t.size.Store(int64(len(t.suspects)))
}

// ApplyQuarantine applies a quarantine from the store, with its number of trials so far. It reports
// whether the request was quarantined by this call.
func (t *Table) ApplyQuarantine(hash fingerprint.Fingerprint, trials int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[hash]
	if entry == nil || t.expired(entry) {
		t.remove(hash)
		entry = &suspect{instances: make(map[string]bool)}
		t.suspects[hash] = entry
	}
	entry.crashes = max(entry.crashes, quarantineCrashes)
	entry.lastCrash = t.now()
	started := false
	switch {
	case entry.quarantine == nil:
		started = t.startQuarantine(entry, trials)
	case trials > entry.quarantine.trials:
		entry.quarantine.trials = trials
		entry.quarantine.nextTrial = t.now().Add(trialDelay(trials))
	}
	t.enforceLimits()
	t.size.Store(int64(len(t.suspects)))
	return started
}

// trials returns the number of trial runs of a quarantined request.
func (t *Table) trials(hash fingerprint.Fingerprint) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.suspects[hash]
	if entry == nil || entry.quarantine == nil {
		return 0
	}
	return entry.quarantine.trials
}

// remove removes a suspect and updates the number of quarantined requests.
func (t *Table) remove(hash fingerprint.Fingerprint) {
	entry := t.suspects[hash]
	if entry == nil {
		return
	}
	if entry.quarantine != nil {
		t.quarantined--
	}
	delete(t.suspects, hash)
}

func (t *Table) expired(entry *suspect) bool { return t.now().Sub(entry.lastCrash) >= suspectTTL }

// Expire removes expired suspects and clearances.
func (t *Table) Expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for hash, entry := range t.suspects {
		if t.expired(entry) {
			t.remove(hash)
		}
	}
	for hash, previous := range t.cleared {
		if t.now().Sub(previous.at) >= suspectTTL {
			delete(t.cleared, hash)
		}
	}
	t.size.Store(int64(len(t.suspects)))
}

// enforceLimits removes suspects and clearances beyond maxSuspects. Quarantines are kept.
func (t *Table) enforceLimits() {
	if len(t.suspects) > maxSuspects {
		t.evictSuspects()
	}
	for hash := range t.cleared {
		if len(t.cleared) <= maxSuspects {
			break
		}
		delete(t.cleared, hash)
	}
}

// evictSuspects removes the quarter of the suspects with the fewest and then oldest crashes,
// except quarantined ones.
func (t *Table) evictSuspects() {
	hashes := slices.Collect(maps.Keys(t.suspects))
	slices.SortFunc(hashes, func(a, b fingerprint.Fingerprint) int {
		first, second := t.suspects[a], t.suspects[b]
		if first.crashes != second.crashes {
			return first.crashes - second.crashes
		}
		return first.lastCrash.Compare(second.lastCrash)
	})
	for _, hash := range hashes[:len(hashes)/4] {
		if t.suspects[hash].quarantine == nil {
			t.remove(hash)
		}
	}
}
