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

// recordedRetention is the retention of a recorded trace's claim replicas.
const recordedRetention = Millis(10 * time.Minute / time.Millisecond)

// recordedMaxRetries is the product's default budget of a request.
const recordedMaxRetries = 3

// Recording is what a trace is made from.
type Recording struct {
	Mesh    *mesh.Mesh
	Objects []resource.Envelope
	Calls   []judge.Call
	Records []emulator.Record
}

// Cut says which part of a recording becomes a trace.
type Cut struct {
	Name, Promise string
	// Zone is the zone whose edge took the calls.
	Zone string
	// From is the time from the first call to the trace's start, For its length.
	From, For time.Duration
}

// ErrNothingRecorded tells that no call lies in the cut.
var ErrNothingRecorded = errors.New("no call of the zone was recorded in that time")

// Record makes a trace from the recorded calls at the edge of a zone: each try of a
// client with what the targets of its own service did. The time that a target
// spent on calls further down is part of its latency. Each call states the criticality
// that the mesh expects; those that were run once and answered state that, too.
func Record(recording Recording, cut Cut) (*Trace, error) {
	trace := &Trace{Header: recording.header(cut)}
	executions := recording.executions()
	start := recording.start().Add(cut.From)
	for _, recorded := range recording.Calls {
		kind, known := recording.kind(recorded.Kind)
		if !known || recorded.Zone != cut.Zone {
			continue
		}
		for _, try := range recorded.Attempts {
			at := try.Start.Sub(start)
			if at < 0 || at >= cut.For {
				continue
			}
			event := &CallEvent{
				ID: kind.Name, Service: kind.Service, Method: kind.Method, Path: kind.Path,
				Caller: recorded.Caller, Timeout: Millis(kind.DeadlineMs), Key: recorded.IdempotencyKey,
			}
			event.tell(executions[execution{try.RequestID, kind.Service}], try, kind)
			trace.Events = append(trace.Events, Event{At: millisOf(at), Call: event})
		}
	}
	trace.order()
	if len(trace.Events) == 0 {
		return nil, oops.In("replay").With("step", "record").With("zone", cut.Zone).Wrap(ErrNothingRecorded)
	}
	return trace, nil
}

// execution names what a request did at a service.
type execution struct{ request, service string }

func (r Recording) executions() map[execution][]emulator.Record {
	executions := map[execution][]emulator.Record{}
	for _, record := range r.Records {
		key := execution{record.RequestID, record.Service}
		executions[key] = append(executions[key], record)
	}
	for _, records := range executions {
		slices.SortFunc(records, func(a, b emulator.Record) int { return a.Start.Compare(b.Start) })
	}
	return executions
}

func (r Recording) start() time.Time {
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

func (r Recording) header(cut Cut) Header {
	header := Header{
		Trace: cut.Name, Promise: cut.Promise, Zone: cut.Zone, MaxRetries: recordedMaxRetries,
		Services: map[string]resource.Service{},
		Policies: map[string]resource.Policy{},
		Targets:  map[string]resource.Target{},
		Claims:   &ClaimReplicas{Replicas: []string{"r1", "r2", "r3"}, Retention: recordedRetention},
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

// tell adds what the targets did, and what the recording lets state.
func (e *CallEvent) tell(records []emulator.Record, try load.Attempt, kind mesh.Kind) {
	for _, record := range records {
		e.Does = append(e.Does, answerOf(record, kind))
	}
	e.Expect = &CallExpectation{Level: kind.Criticality}
	if len(records) == 1 && records[0].Outcome == emulator.OutcomeComplete && try.Verdict == load.VerdictComplete {
		once := 1
		e.Expect.Result = resultAnswered
		e.Expect.Sent = &once
	}
}

func answerOf(record emulator.Record, kind mesh.Kind) Answer {
	answer := Answer{Latency: millisOf(record.End.Sub(record.Start))}
	switch record.Outcome {
	case emulator.OutcomeCancelled, emulator.OutcomeRunning:
		// Nobody waited for the end, which came after the deadline.
		answer.Latency = Millis(kind.DeadlineMs) + 1
	case emulator.OutcomeChildFailed:
		answer.Status = http.StatusBadGateway
	case emulator.OutcomeTruncated:
		answer.Outcome = OutcomeIncomplete
	case emulator.OutcomeFault:
		answer.Outcome = OutcomeSent
	}
	return answer
}

// millisOf rounds to a microsecond.
func millisOf(d time.Duration) Millis { return Millis(d.Microseconds()) / 1000 }

// order sorts the events by time and numbers the calls of each kind.
func (t *Trace) order() {
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	numbers := map[string]int{}
	for _, event := range t.Events {
		kind := event.Call.ID
		numbers[kind]++
		event.Call.ID = fmt.Sprintf("%s-%d", kind, numbers[kind])
	}
}

// Write writes the trace as JSON lines.
func (t *Trace) Write(to io.Writer) error {
	encoder := json.NewEncoder(to)
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
