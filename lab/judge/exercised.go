package judge

import (
	"github.com/lugspur/lugspur/internal/problem"
)

// Exercised counts how often a run put each promise to the test. A promise
// that a run never tested is not proved by its clean report.
type Exercised struct {
	// RetriedRequests are requests whose executions prove a retry.
	RetriedRequests int `json:"retried_requests"`
	// MostRetries is the largest number of proven retries of one request.
	MostRetries int `json:"most_retries"`
	// ShedOrders are tries of critical-plus calls that were refused for load.
	ShedOrders int `json:"shed_orders"`
	// ToldNotRun are tries that were told "executed: no".
	ToldNotRun int `json:"told_not_run"`
	// KeysSentAgain are keys that were sent more than once, and DuplicatesCaught
	// the tries that were refused as duplicates.
	KeysSentAgain    int `json:"keys_sent_again"`
	DuplicatesCaught int `json:"duplicates_caught"`
	// Drains are drains that lasted longer than the allowance.
	Drains int `json:"drains"`
	// PlannedStops are planned stops, and OpenAtStop the tries that were open at
	// a node when its stop began.
	PlannedStops int `json:"planned_stops"`
	OpenAtStop   int `json:"open_at_stop"`
	// AcceptedChanges are changes that operators were told to be accepted.
	AcceptedChanges int `json:"accepted_changes"`
}

func (i *index) exercised() Exercised {
	counts := Exercised{ShedOrders: len(i.shedOrders())}
	i.countRetries(&counts)
	i.countTries(&counts)
	for _, spans := range i.drainSpans() {
		for _, drained := range spans {
			if drained.until.IsZero() || drained.until.Sub(drained.from) > i.Settings.DrainAllowance {
				counts.Drains++
			}
		}
	}
	for _, event := range i.Events {
		if event.Kind == ChangeAccepted {
			counts.AcceptedChanges++
		}
	}
	return counts
}

func (i *index) countRetries(counts *Exercised) {
	if i.Mesh == nil {
		return
	}
	for request, records := range i.byRequest {
		if request == "" {
			continue
		}
		if retries := i.provenRetries(records); retries > 0 {
			counts.RetriedRequests++
			counts.MostRetries = max(counts.MostRetries, retries)
		}
	}
}

func (i *index) countTries(counts *Exercised) {
	stops := i.plannedStops()
	counts.PlannedStops = len(stops)
	sends := map[string]int{}
	for _, call := range i.Calls {
		for _, attempt := range call.Attempts {
			if attempt.Executed == problem.ExecutedNo {
				counts.ToldNotRun++
			}
			if attempt.Reason == problem.DuplicateRequest {
				counts.DuplicatesCaught++
			}
			for _, stop := range stops {
				if call.Edge == stop.edge && attempt.Start.Before(stop.asked) && attempt.End.After(stop.asked) {
					counts.OpenAtStop++
				}
			}
			if call.IdempotencyKey == "" {
				continue
			}
			if sends[call.IdempotencyKey]++; sends[call.IdempotencyKey] == 2 {
				counts.KeysSentAgain++
			}
		}
	}
}
