package replay

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// recordedClaimRetention is the retention of the claim replicas in recorded traces.
const recordedClaimRetention = Millis(10 * time.Minute / time.Millisecond)

// recordedMaxRetries is the retry budget of requests in recorded traces. It equals
// the default of lugspur.
const recordedMaxRetries = 3

// Recording is the data of a run from which a trace is built.
type Recording struct {
	Mesh    *mesh.Mesh
	Objects []resource.Envelope
	Calls   []judge.Call
	Records []emulator.Record
}

// Selection selects the part of a recording from which a trace is built.
type Selection struct {
	// Name and Guarantee are those of the trace's header.
	Name, Guarantee string
	// Zone is the zone at whose edge the calls arrived.
	Zone string
	// Offset is the time from the first call of the recording to the start of the
	// trace, Duration the trace's length.
	Offset, Duration time.Duration
}

// ErrNoCalls is returned if the selection contains no calls.
var ErrNoCalls = errors.New("the recording has no calls at the zone's edge in the selected time")

// BuildTrace builds a trace from the recorded calls at the edge of a zone. It
// contains one call for each attempt of a client, with the responses of the targets
// of the called service; the time that a target spent on downstream calls is part of
// its latency. Each call expects the criticality that the mesh defines. Calls that
// were executed once and got a complete response also expect that.
func BuildTrace(recording Recording, selection Selection) (*Trace, error) {
	trace := &Trace{Header: recording.header(selection)}
	executions := recording.executions()
	start := recording.firstCallStart().Add(selection.Offset)
	for _, call := range recording.Calls {
		kind, known := recording.kind(call.Kind)
		if !known || call.Zone != selection.Zone {
			continue
		}
		for _, attempt := range call.Attempts {
			offset := attempt.Start.Sub(start)
			if offset < 0 || offset >= selection.Duration {
				continue
			}
			event := &CallEvent{
				ID: kind.Name, Service: kind.Service, Method: kind.Method, Path: kind.Path,
				Caller: call.Caller, Timeout: Millis(kind.DeadlineMs), Key: call.IdempotencyKey,
			}
			event.addRecorded(executions[executionKey{attempt.RequestID, kind.Service}], attempt, kind)
			trace.Events = append(trace.Events, Event{At: millisOf(offset), Call: event})
		}
	}
	trace.sortAndNumber()
	if len(trace.Events) == 0 {
		return nil, oops.In("replay").With("step", "record").With("zone", selection.Zone).Wrap(ErrNoCalls)
	}
	return trace, nil
}

// executionKey identifies the executions of a request at a service.
type executionKey struct{ requestID, service string }

func (r Recording) executions() map[executionKey][]emulator.Record {
	executions := map[executionKey][]emulator.Record{}
	for _, record := range r.Records {
		key := executionKey{record.RequestID, record.Service}
		executions[key] = append(executions[key], record)
	}
	for _, records := range executions {
		slices.SortFunc(records, func(a, b emulator.Record) int { return a.Start.Compare(b.Start) })
	}
	return executions
}

func (r Recording) firstCallStart() time.Time {
	var first time.Time
	for _, call := range r.Calls {
		if first.IsZero() || call.Intended.Before(first) {
			first = call.Intended
		}
	}
	return first
}

func (r Recording) kind(name string) (mesh.Kind, bool) {
	index := slices.IndexFunc(r.Mesh.Kinds, func(kind mesh.Kind) bool { return kind.Name == name })
	if index < 0 {
		return mesh.Kind{}, false
	}
	return r.Mesh.Kinds[index], true
}

func (r Recording) header(selection Selection) Header {
	header := Header{
		Name: selection.Name, Guarantee: selection.Guarantee, Zone: selection.Zone, MaxRetries: recordedMaxRetries,
		Services:      map[string]resource.Service{},
		Policies:      map[string]resource.Policy{},
		Targets:       map[string]resource.Target{},
		ClaimReplicas: &ClaimReplicas{Replicas: []string{"r1", "r2", "r3"}, Retention: recordedClaimRetention},
	}
	for _, object := range r.Objects {
		switch name := object.ID.Name; {
		case object.Service != nil:
			header.Services[name] = *object.Service
		case object.Policy != nil:
			header.Policies[name] = *object.Policy
		case object.Target != nil:
			header.Targets[name] = *object.Target
		}
	}
	return header
}

// addRecorded adds the recorded responses of the targets, and the expectations that
// follow from the recording.
func (e *CallEvent) addRecorded(records []emulator.Record, attempt load.Attempt, kind mesh.Kind) {
	for _, record := range records {
		e.Responses = append(e.Responses, responseOf(record, kind))
	}
	e.Expect = &CallExpectation{Level: kind.Criticality}
	if len(records) == 1 && records[0].Outcome == emulator.OutcomeComplete && attempt.Verdict == load.VerdictComplete {
		one := 1
		e.Expect.Result = resultAnswered
		e.Expect.SendCount = &one
	}
}

func responseOf(record emulator.Record, kind mesh.Kind) Response {
	response := Response{Latency: millisOf(record.End.Sub(record.Start))}
	switch record.Outcome {
	case emulator.OutcomeCancelled, emulator.OutcomeRunning:
		// The caller did not wait for the response. A latency beyond the deadline makes
		// the call time out in the trace, too.
		response.Latency = Millis(kind.DeadlineMs) + 1
	case emulator.OutcomeChildFailed:
		response.Status = http.StatusBadGateway
	case emulator.OutcomeTruncated:
		response.Outcome = OutcomeIncomplete
	case emulator.OutcomeFault:
		response.Outcome = OutcomeFailedSent
	}
	return response
}

// millisOf converts a duration to milliseconds, truncated to a microsecond.
func millisOf(d time.Duration) Millis { return Millis(d.Microseconds()) / 1000 }

// sortAndNumber sorts the events by time and numbers the calls of each kind.
func (t *Trace) sortAndNumber() {
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	numbers := map[string]int{}
	for _, event := range t.Events {
		kind := event.Call.ID
		numbers[kind]++
		event.Call.ID = fmt.Sprintf("%s-%d", kind, numbers[kind])
	}
}

// Write writes the trace in the format that Read reads.
func (t *Trace) Write(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	if err := encoder.Encode(t.Header); err != nil {
		return err
	}
	for _, event := range t.Events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}
