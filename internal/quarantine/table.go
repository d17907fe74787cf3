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
	// quarantineCrashes is the number of crashes in a row after which a request is
	// refused. One or two happen to requests that were open beside a query of death or
	// while targets crashed for other reasons. Three did to none of 0.4 million harmless
	// requests while 20 targets crashed once a minute each, and to one request in 1,401
	// crashes while they did so every twenty seconds (virtual time, 8 seeds of 120 s each).
	quarantineCrashes = 3
	// isolationCrashes is the number of crashes in a row after which a request runs
	// alone.
	isolationCrashes = 2
	// remembered is for how long a suspect is remembered after its last crash. It bounds
	// what a query of death that comes seldom may do: one that comes less often begins
	// anew.
	remembered = 10 * time.Minute
	// maxSuspects bounds the suspects; beyond it those with the fewest and oldest crashes
	// are dropped. Some 150 bytes each.
	maxSuspects = 4096
	// maxQuarantined bounds the requests that are refused, and with them what lies in the
	// store: a service all of whose targets crash for a reason of their own makes suspects
	// of all requests.
	maxQuarantined = 256
	// firstTrialPause is the time from a verdict until its first trial run, which may cost
	// a target. Each trial that fails doubles it, up to longestTrialPause, which is shorter
	// than verdicts are remembered.
	firstTrialPause   = time.Minute
	longestTrialPause = 8 * time.Minute
)

// State is what is known of a request.
type State struct {
	// Crashes is the number of targets in a row that crashed under the request.
	Crashes int
	// Quarantined tells that the request is refused, for RetryAfter if nothing changes.
	Quarantined bool
	RetryAfter  time.Duration
	// Cleared tells that the request brought an answer after all crashes that are known.
	Cleared bool
	// TrialDue tells that a trial run may be made once a transaction allows it.
	TrialDue bool
}

// Suspected reports whether tries of the request run one after the other.
func (s State) Suspected() bool { return s.Crashes > 0 }

// Isolated reports whether the request runs beside no other suspect.
func (s State) Isolated() bool { return s.Crashes >= isolationCrashes }

// Suspicion is a request whose call broke off as a target crashed.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint fingerprint.Fingerprint
	// Crashes counts the targets in a row that crashed under the request, with this one.
	Crashes int
}

// Crash is a report of one target's end.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the target that crashed.
	Instance string
	Suspects []Suspicion
}

// Clearance tells that a request ran to an answer after the crashes of the instances.
type Clearance struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint fingerprint.Fingerprint
	Instances   []string
}

// suspect is a request under which targets crashed.
type suspect struct {
	crashes   int
	instances map[string]bool
	// at is when the last crash was learned.
	at      time.Time
	verdict *verdict
}

// verdict keeps a request from targets.
type verdict struct {
	// trials is the number of trial runs so far, and nextTrial when another is due.
	trials    int
	nextTrial time.Time
}

// clearance remembers which crashes a request was cleared of, for reports that arrive
// late.
type clearance struct {
	instances map[string]bool
	at        time.Time
}

// Table holds the suspects. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	// size is the number of suspects, so that it is read without the lock: as long as
	// there are none, no request's fingerprint is worked out.
	size    atomic.Int64
	mutex   sync.Mutex
	known   map[fingerprint.Fingerprint]*suspect
	cleared map[fingerprint.Fingerprint]clearance
	// quarantined is the number of suspects with a verdict, and unplaced that of verdicts
	// that found no place.
	quarantined int
	unplaced    atomic.Uint64
}

// NewTable returns a table without suspects.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, known: make(map[fingerprint.Fingerprint]*suspect), cleared: make(map[fingerprint.Fingerprint]clearance)}
}

// Empty reports whether there are no suspects.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Quarantined returns the number of requests that are refused.
func (t *Table) Quarantined() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quarantined
}

// Unplaced returns the number of verdicts that were not taken because there were too
// many.
func (t *Table) Unplaced() uint64 { return t.unplaced.Load() }

// Standing returns what is known of a request.
func (t *Table) Standing(hash fingerprint.Fingerprint) State {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.known[hash]
	if known == nil || t.expired(known) {
		_, cleared := t.cleared[hash]
		return State{Cleared: cleared}
	}
	standing := State{Crashes: known.crashes}
	if known.verdict != nil {
		standing.Quarantined = true
		standing.RetryAfter = max(known.verdict.nextTrial.Sub(t.now()), 0)
		standing.TrialDue = standing.RetryAfter == 0
	}
	return standing
}

// Crashed takes a report. It returns the requests that are quarantined from now on.
func (t *Table) Crashed(crash Crash) []fingerprint.Fingerprint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var convicted []fingerprint.Fingerprint
	for _, suspicion := range crash.Suspects {
		if t.raise(crash.Instance, suspicion) {
			convicted = append(convicted, suspicion.Fingerprint)
		}
	}
	t.bound()
	t.size.Store(int64(len(t.known)))
	return convicted
}

// raise takes one suspicion and reports whether it convicts the request.
func (t *Table) raise(instance string, suspicion Suspicion) bool {
	if t.cleared[suspicion.Fingerprint].instances[instance] {
		return false
	}
	known := t.known[suspicion.Fingerprint]
	if known == nil || t.expired(known) {
		t.forget(suspicion.Fingerprint)
		known = &suspect{instances: make(map[string]bool)}
		t.known[suspicion.Fingerprint] = known
	}
	if known.instances[instance] && suspicion.Crashes <= known.crashes {
		return false
	}
	known.instances[instance] = true
	known.crashes = max(known.crashes, suspicion.Crashes)
	known.at = t.now()
	if known.crashes < quarantineCrashes || known.verdict != nil {
		return false
	}
	return t.convict(known, 0)
}

// convict refuses a request from now on, if there is room for one more.
func (t *Table) convict(known *suspect, trials int) bool {
	if t.quarantined >= maxQuarantined {
		t.unplaced.Add(1)
		return false
	}
	t.quarantined++
	known.verdict = &verdict{trials: trials, nextTrial: t.now().Add(trialPause(trials))}
	return true
}

// trialPause returns the time until the next trial after so many.
func trialPause(trials int) time.Duration {
	pause := firstTrialPause
	for range trials {
		pause = min(2*pause, longestTrialPause)
	}
	return pause
}

// Answered notes that a target answered the request, so that it is no query of death. It
// returns what others are to be told, false if that is not worth a message.
func (t *Table) Answered(hash fingerprint.Fingerprint) (Clearance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.known[hash]
	if known == nil {
		return Clearance{}, false
	}
	cleared := Clearance{Fingerprint: hash, Instances: slices.Sorted(maps.Keys(known.instances))}
	worthTelling := known.crashes >= isolationCrashes
	t.clear(cleared)
	return cleared, worthTelling
}

// Cleared takes what another node learned. It reports whether a verdict ends by it.
func (t *Table) Cleared(cleared Clearance) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.known[cleared.Fingerprint]
	ends := known != nil && known.verdict != nil
	t.clear(cleared)
	return ends
}

// Lift ends a verdict, as an operator wants it or as a trial run was answered elsewhere.
// It reports whether there was one.
func (t *Table) Lift(hash fingerprint.Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.known[hash]
	if known == nil {
		return false
	}
	t.clear(Clearance{Fingerprint: hash, Instances: slices.Collect(maps.Keys(known.instances))})
	return known.verdict != nil
}

func (t *Table) clear(cleared Clearance) {
	late := t.cleared[cleared.Fingerprint]
	if late.instances == nil {
		late.instances = make(map[string]bool)
	}
	for _, instance := range cleared.Instances {
		late.instances[instance] = true
	}
	late.at = t.now()
	t.cleared[cleared.Fingerprint] = late
	t.forget(cleared.Fingerprint)
	t.bound()
	t.size.Store(int64(len(t.known)))
}

// Convict takes a verdict that the store holds, with the trials that were made so far.
func (t *Table) Convict(hash fingerprint.Fingerprint, trials int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.known[hash]
	if known == nil || t.expired(known) {
		t.forget(hash)
		known = &suspect{instances: make(map[string]bool)}
		t.known[hash] = known
	}
	known.crashes = max(known.crashes, quarantineCrashes)
	known.at = t.now()
	switch {
	case known.verdict == nil:
		t.convict(known, trials)
	case trials > known.verdict.trials:
		known.verdict.trials = trials
		known.verdict.nextTrial = t.now().Add(trialPause(trials))
	}
	t.size.Store(int64(len(t.known)))
}

// trials returns the number of trial runs that a quarantined request has had.
func (t *Table) trials(hash fingerprint.Fingerprint) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.known[hash]
	if known == nil || known.verdict == nil {
		return 0
	}
	return known.verdict.trials
}

// forget drops a suspect.
func (t *Table) forget(hash fingerprint.Fingerprint) {
	known := t.known[hash]
	if known == nil {
		return
	}
	if known.verdict != nil {
		t.quarantined--
	}
	delete(t.known, hash)
}

func (t *Table) expired(known *suspect) bool { return t.now().Sub(known.at) >= remembered }

// Expire drops what is no longer remembered.
func (t *Table) Expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for hash, known := range t.known {
		if t.expired(known) {
			t.forget(hash)
		}
	}
	for hash, late := range t.cleared {
		if t.now().Sub(late.at) >= remembered {
			delete(t.cleared, hash)
		}
	}
	t.size.Store(int64(len(t.known)))
}

// bound drops suspects and clearances beyond the bounds. Verdicts stay.
func (t *Table) bound() {
	if len(t.known) > maxSuspects {
		t.dropLeast()
	}
	for hash := range t.cleared {
		if len(t.cleared) <= maxSuspects {
			break
		}
		delete(t.cleared, hash)
	}
}

// dropLeast drops the quarter of the suspects with the fewest crashes, the oldest first.
func (t *Table) dropLeast() {
	hashes := slices.Collect(maps.Keys(t.known))
	slices.SortFunc(hashes, func(a, b fingerprint.Fingerprint) int {
		first, second := t.known[a], t.known[b]
		if first.crashes != second.crashes {
			return first.crashes - second.crashes
		}
		return first.at.Compare(second.at)
	})
	for _, hash := range hashes[:len(hashes)/4] {
		if t.known[hash].verdict == nil {
			t.forget(hash)
		}
	}
}
