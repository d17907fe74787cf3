package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// BreachKind identifies the violated guarantee.
type BreachKind string

// Breach kinds.
const (
	// RetriesOverBound is a request with more retries than Settings.RetryBound.
	RetriesOverBound BreachKind = "retries-over-bound"
	// CriticalityInversion is a critical-plus call that was shed while a call of
	// lower criticality was executed.
	CriticalityInversion BreachKind = "criticality-inversion"
	// IncorrectResponse is a response that is incomplete or belongs to another
	// call.
	IncorrectResponse BreachKind = "wrong-answer"
	// ExecutedDespiteRefusal is a call that was executed although its caller was
	// told that it was not.
	ExecutedDespiteRefusal BreachKind = "executed-after-all"
	// ExecutedTwice is a call with an idempotency key that was executed more than
	// once.
	ExecutedTwice BreachKind = "executed-twice"
	// WorkAfterDrain is new work at a target that was being drained.
	WorkAfterDrain BreachKind = "work-after-drain"
	// AbortedByStop is a call that was aborted by a graceful stop.
	AbortedByStop BreachKind = "cut-by-stop"
	// StopFailed is a graceful stop that did not complete in time or ended
	// with an error.
	StopFailed BreachKind = "stop-failed"
	// ChangeNotInEffect is an accepted change that a node did not apply in time.
	ChangeNotInEffect BreachKind = "change-not-in-force"
	// RevisionReverted is an older revision that replaced a newer one at a node.
	RevisionReverted BreachKind = "revision-reverted"
	// HistoryMismatch is an accepted change that is missing from the history, or a
	// refused one that is in it.
	HistoryMismatch BreachKind = "change-lost"
)

// Breach is one violation of a guarantee, with its evidence.
type Breach struct {
	Kind    BreachKind `json:"kind"`
	At      time.Time  `json:"at"`
	Summary string     `json:"summary"`
	// RequestID, Node and Target identify what is affected, where known.
	RequestID string `json:"request_id,omitempty"`
	Node      string `json:"node,omitempty"`
	Target    string `json:"target,omitempty"`
	// Evidence lists the recorded facts that prove the violation, sorted by
	// time.
	Evidence []Evidence `json:"evidence"`
}

// Evidence is one recorded fact.
type Evidence struct {
	At   time.Time `json:"at"`
	Fact string    `json:"fact"`
}

func evidence(at time.Time, format string, values ...any) Evidence {
	return Evidence{At: at, Fact: fmt.Sprintf(format, values...)}
}

// maxKeptBreaches limits the breaches of one kind that a report contains; Counts
// includes all of them.
const maxKeptBreaches = 50

// Report is the result of checking a run.
type Report struct {
	// Calls, Attempts, Executions and Observations count the checked records.
	Calls        int `json:"calls"`
	Attempts     int `json:"tries"`
	Executions   int `json:"executions"`
	Observations int `json:"observations"`
	// Coverage counts how often each guarantee was exercised.
	Coverage Coverage `json:"exercised"`
	// Counts holds the number of breaches of each kind.
	Counts map[BreachKind]int `json:"counts"`
	// Breaches holds at most 50 breaches of each kind, those with the least
	// evidence first.
	Breaches []Breach `json:"breaches"`
}

// Clean reports whether all guarantees held.
func (r Report) Clean() bool { return len(r.Breaches) == 0 }

// addBreaches adds the breaches found by one check.
func (r *Report) addBreaches(found []Breach) {
	for _, breach := range found {
		r.Counts[breach.Kind]++
	}
	slices.SortStableFunc(found, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(len(a.Evidence), len(b.Evidence)), a.At.Compare(b.At))
	})
	kept := map[BreachKind]int{}
	for _, breach := range found {
		if kept[breach.Kind]++; kept[breach.Kind] > maxKeptBreaches {
			continue
		}
		slices.SortStableFunc(breach.Evidence, func(a, b Evidence) int { return a.At.Compare(b.At) })
		r.Breaches = append(r.Breaches, breach)
	}
}
