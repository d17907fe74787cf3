package judge

import (
	"time"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Call is a call as its caller saw it. A caller that sends a call again to
// another edge makes a further Call with the same nonce and key.
type Call struct {
	load.Call
	// RefusedBy names the service at which the last try was refused for load, by
	// the edge or further down its chain; empty means that it isn't known.
	RefusedBy string `json:"refused_by,omitempty"`
}

// Settings are the bounds that the promises name.
type Settings struct {
	// RetryBound is the most retries of one request in the whole chain.
	RetryBound int
	// InversionTolerance is how far apart in time two calls may be seen and
	// still count as being in the same moment.
	InversionTolerance time.Duration
	// DrainAllowance is how long after the acceptance of its drain a target may
	// get new work.
	DrainAllowance time.Duration
	// ConfigurationAllowance is how long after its acceptance a change may not
	// be in force at a node that runs and is connected.
	ConfigurationAllowance time.Duration
}

// DefaultSettings are the bounds that the project promises.
func DefaultSettings() Settings {
	return Settings{
		RetryBound:             3,
		InversionTolerance:     20 * time.Millisecond,
		DrainAllowance:         5 * time.Second,
		ConfigurationAllowance: 8 * time.Second,
	}
}

// Input is what was recorded of a run.
type Input struct {
	Mesh     *mesh.Mesh
	Calls    []Call
	Records  []emulator.Record
	Events   []Event
	Settings Settings
}

// Judge checks every promise.
func Judge(input Input) Report {
	report := Report{
		Calls:      len(input.Calls),
		Executions: len(input.Records),
		Counts:     map[BreachKind]int{},
		Breaches:   []Breach{},
	}
	for _, call := range input.Calls {
		report.Tries += len(call.Attempts)
	}
	for _, event := range input.Events {
		if event.Kind == Observed {
			report.Observations++
		}
	}
	recorded := newIndex(input)
	report.Exercised = recorded.exercised()
	for _, check := range []func(*index) []Breach{
		checkRetries, checkInversion, checkAnswers, checkNotExecuted, checkKeys,
		checkDrains, checkStops, checkInForce, checkReversal, checkHistory,
	} {
		report.add(check(recorded))
	}
	return report
}

// index finds the records of a run.
type index struct {
	Input
	byRequest map[string][]emulator.Record
	// kinds are the kinds of calls by name.
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
	return evidence(record.Start, "%s ran %s %s of request %s (%s)",
		record.Target, record.Method, record.Path, record.RequestID, record.Outcome)
}

func sent(call Call, attempt load.Attempt) Evidence {
	return evidence(attempt.Start, "%s of %s was sent to edge %s in zone %s", call.Kind, call.Caller, call.Edge, call.Zone)
}

func ended(attempt load.Attempt) Evidence {
	switch attempt.Verdict {
	case load.VerdictRefused:
		return evidence(attempt.End, "its caller was told: %s, executed: %s (request %s)", attempt.Reason, attempt.Executed, attempt.RequestID)
	case load.VerdictWrong:
		return evidence(attempt.End, "its caller got a faulty answer to request %s: %v", attempt.RequestID, attempt.Faults)
	}
	return evidence(attempt.End, "it ended for its caller: %s, status %d, %s (request %s)", attempt.Verdict, attempt.Status, attempt.Error, attempt.RequestID)
}
