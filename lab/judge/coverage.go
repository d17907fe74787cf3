package judge

import (
	"github.com/lugspur/lugspur/internal/problem"
)

// Coverage counts how often a run exercised each guarantee. A report without
// breaches proves nothing about a guarantee that the run did not exercise.
type Coverage struct {
	// RetriedRequests counts requests whose executions prove a retry.
	RetriedRequests int `json:"retried_requests"`
	// MaxRetries is the largest number of proven retries of one request.
	MaxRetries int `json:"most_retries"`
	// ShedCriticalCalls counts attempts of critical-plus calls that were refused
	// because of overload.
	ShedCriticalCalls int `json:"shed_orders"`
	// ReportedNotExecuted counts attempts that were refused with "executed: no".
	ReportedNotExecuted int `json:"told_not_run"`
	// ReusedKeys counts idempotency keys that were sent more than once, and
	// DuplicatesRefused the attempts that were refused as duplicates.
	ReusedKeys        int `json:"keys_sent_again"`
	DuplicatesRefused int `json:"duplicates_caught"`
	// Drains counts drains that lasted longer than Settings.DrainAllowance.
	Drains int `json:"drains"`
	// GracefulStops counts graceful stops, and InFlightAtStop the attempts
	// that were in flight at a node when its stop began.
	GracefulStops  int `json:"planned_stops"`
	InFlightAtStop int `json:"open_at_stop"`
	// AcceptedChanges counts changes that were reported to operators as accepted.
	AcceptedChanges int `json:"accepted_changes"`
}

func (i *index) coverage() Coverage {
	counts := Coverage{ShedCriticalCalls: len(i.shedCalls())}
	i.countRetries(&counts)
	i.countAttempts(&counts)
	for _, spans := range i.drainSpans() {
		for _, drain := range spans {
			if drain.until.IsZero() || drain.until.Sub(drain.from) > i.Settings.DrainAllowance {
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

func (i *index) countRetries(counts *Coverage) {
	if i.Mesh == nil {
		return
	}
	for request, records := range i.byRequest {
		if request == "" {
			continue
		}
		if retries := i.provenRetries(records); retries > 0 {
			counts.RetriedRequests++
			counts.MaxRetries = max(counts.MaxRetries, retries)
		}
	}
}

func (i *index) countAttempts(counts *Coverage) {
	stops := i.gracefulStops()
	counts.GracefulStops = len(stops)
	sends := map[string]int{}
	for _, call := range i.Calls {
		for _, attempt := range call.Attempts {
			if attempt.Executed == problem.ExecutedNo {
				counts.ReportedNotExecuted++
			}
			if attempt.Reason == problem.DuplicateRequest {
				counts.DuplicatesRefused++
			}
			for _, stop := range stops {
				if call.Edge == stop.edge && attempt.Start.Before(stop.requested) && attempt.End.After(stop.requested) {
					counts.InFlightAtStop++
				}
			}
			if call.IdempotencyKey == "" {
				continue
			}
			if sends[call.IdempotencyKey]++; sends[call.IdempotencyKey] == 2 {
				counts.ReusedKeys++
			}
		}
	}
}
