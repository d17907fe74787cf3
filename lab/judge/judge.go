package judge

import (
	"time"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Call is a call as seen by its caller. When a caller resends a call to another
// edge, that is recorded as a further Call with the same nonce and idempotency
// key.
type Call struct {
	load.Call
	// RefusedBy is the service for which the last attempt was refused because of
	// overload, by the edge or by a downstream call. It is empty if unknown.
	RefusedBy string `json:"refused_by,omitempty"`
}

// Settings are the thresholds of the guarantees.
type Settings struct {
	// RetryBound is the maximum number of retries of one request over its whole
	// call chain.
	RetryBound int
	// InversionTolerance is the time difference up to which two calls count as
	// simultaneous.
	InversionTolerance time.Duration
	// DrainAllowance is how long a target may still receive new work after its
	// drain was accepted.
	DrainAllowance time.Duration
	// ConfigurationAllowance is the time within which an accepted change must
	// take effect at every node that is running and connected.
	ConfigurationAllowance time.Duration
}

// DefaultSettings returns the thresholds that the project guarantees.
func DefaultSettings() Settings {
	return Settings{
		RetryBound:             3,
		InversionTolerance:     20 * time.Millisecond,
		DrainAllowance:         5 * time.Second,
		ConfigurationAllowance: 8 * time.Second,
	}
}

// Input is the recording of a run.
type Input struct {
	Mesh     *mesh.Mesh
	Calls    []Call
	Records  []emulator.Record
	Events   []Event
	Settings Settings
}

// Judge checks all guarantees.
func Judge(input Input) Report {
	report := Report{
		Calls:      len(input.Calls),
		Executions: len(input.Records),
		Counts:     map[BreachKind]int{},
		Breaches:   []Breach{},
	}
	for _, call := range input.Calls {
		report.Attempts += len(call.Attempts)
	}
	for _, event := range input.Events {
		if event.Kind == RevisionObserved {
			report.Observations++
		}
	}
	indexed := newIndex(input)
	report.Coverage = indexed.coverage()
	for _, check := range []func(*index) []Breach{
		checkRetries, checkInversion, checkResponses, checkNotExecuted, checkDuplicateExecutions,
		checkDrains, checkStops, checkChangesInEffect, checkRevisionOrder, checkHistory,
	} {
		report.addBreaches(check(indexed))
	}
	return report
}

// index provides lookups into the recording of a run.
type index struct {
	Input
	byRequest map[string][]emulator.Record
	// kinds holds the call kinds by name.
	kinds map[string]mesh.Kind
}

func newIndex(input Input) *index {
	i := &index{Input: input, byRequest: map[string][]emulator.Record{}, kinds: map[string]mesh.Kind{}}
	for _, record := range input.Records {
		i.byRequest[record.RequestID] = append(i.byRequest[record.RequestID], record)
	}
	if input.Mesh != nil {
		for _, kind := range input.Mesh.Kinds {
			i.kinds[kind.Name] = kind
		}
	}
	return i
}

func executed(record emulator.Record) Evidence {
	return evidence(record.Start, "%s executed %s %s of request %s (%s)",
		record.Target, record.Method, record.Path, record.RequestID, record.Outcome)
}

func sent(call Call, attempt load.Attempt) Evidence {
	return evidence(attempt.Start, "%s of %s was sent to edge %s in zone %s", call.Kind, call.Caller, call.Edge, call.Zone)
}

func ended(attempt load.Attempt) Evidence {
	switch attempt.Verdict {
	case load.VerdictRefused:
		return evidence(attempt.End, "its caller was refused: %s, executed: %s (request %s)", attempt.Reason, attempt.Executed, attempt.RequestID)
	case load.VerdictWrong:
		return evidence(attempt.End, "its caller got an incorrect response to request %s: %v", attempt.RequestID, attempt.Faults)
	}
	return evidence(attempt.End, "outcome for its caller: %s, status %d, %s (request %s)", attempt.Verdict, attempt.Status, attempt.Error, attempt.RequestID)
}
