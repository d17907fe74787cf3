package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// BreachKind names the promise that was broken.
type BreachKind string

// The promises.
const (
	// RetriesOverBound is a request with more retries than the bound.
	RetriesOverBound BreachKind = "retries-over-bound"
	// CriticalityInversion is an order that was shed while a less important
	// call got what it needed.
	CriticalityInversion BreachKind = "criticality-inversion"
	// WrongAnswer is an answer that is not the complete one to the call.
	WrongAnswer BreachKind = "wrong-answer"
	// ExecutedAfterAll is a call that ran although its caller was told that it
	// had not.
	ExecutedAfterAll BreachKind = "executed-after-all"
	// ExecutedTwice is a keyed call that ran more than once.
	ExecutedTwice BreachKind = "executed-twice"
	// WorkAfterDrain is new work at a target that was leaving.
	WorkAfterDrain BreachKind = "work-after-drain"
	// CutByStop is a call that a planned stop cut off.
	CutByStop BreachKind = "cut-by-stop"
	// StopFailed is a planned stop that did not end by itself in time.
	StopFailed BreachKind = "stop-failed"
	// ChangeNotInForce is an accepted change that a node did not have in time.
	ChangeNotInForce BreachKind = "change-not-in-force"
	// RevisionReverted is an older revision in force after a newer one.
	RevisionReverted BreachKind = "revision-reverted"
	// ChangeLost is an accepted change that the history does not hold, or a
	// refused one that it does.
	ChangeLost BreachKind = "change-lost"
)

// Breach is one broken promise with its evidence.
type Breach struct {
	Kind    BreachKind `json:"kind"`
	At      time.Time  `json:"at"`
	Summary string     `json:"summary"`
	// RequestID, Node and Target say whom it concerns, where known.
	RequestID string `json:"request_id,omitempty"`
	Node      string `json:"node,omitempty"`
	Target    string `json:"target,omitempty"`
	// Evidence is the shortest list of records that proves it, in the order of
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

// maxKeptBreaches bounds the breaches of one kind that a report holds; Counts
// has them all.
const maxKeptBreaches = 50

// Report is the judgement of a run.
type Report struct {
	// Calls, Tries, Executions and Observations count what was judged.
	Calls        int `json:"calls"`
	Tries        int `json:"tries"`
	Executions   int `json:"executions"`
	Observations int `json:"observations"`
	// Exercised tells how often each promise was put to the test.
	Exercised Exercised `json:"exercised"`
	// Counts are the breaches of each kind.
	Counts map[BreachKind]int `json:"counts"`
	// Breaches are those with the shortest evidence first, at most 50 a kind.
	Breaches []Breach `json:"breaches"`
}

// Clean reports whether no promise was broken.
func (r Report) Clean() bool { return len(r.Breaches) == 0 }

// add takes in the breaches of one check.
func (r *Report) add(found []Breach) {
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
