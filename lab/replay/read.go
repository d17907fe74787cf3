package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/samber/oops"
)

// MaxTraceBytes bounds the size of a trace's file.
const MaxTraceBytes = 16 << 20

// ReadFile reads the trace in a file.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.In("replay").With("step", "open").With("file", path).Wrap(err)
	}
	defer func() { _ = file.Close() }()
	trace, err := Read(file)
	return trace, oops.In("replay").With("step", "read").With("file", path).Wrapf(err, "read %s", path)
}

// Read reads a trace: a header and events, one JSON object a line. Empty lines
// and lines that start with # are passed over.
func Read(from io.Reader) (*Trace, error) {
	content, err := io.ReadAll(io.LimitReader(from, MaxTraceBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > MaxTraceBytes {
		return nil, fmt.Errorf("trace is longer than %d bytes", MaxTraceBytes)
	}
	trace := &Trace{}
	haveHeader := false
	for index, line := range bytes.Split(content, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		if !haveHeader {
			err = decodeLine(line, &trace.Header)
			haveHeader = true
		} else {
			err = trace.addEvent(line, index+1)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", index+1, err)
		}
	}
	if trace.Header.Trace == "" {
		return nil, errors.New("the first line must be a header with the trace's name")
	}
	return trace, nil
}

func decodeLine(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}

func (t *Trace) addEvent(line []byte, number int) error {
	event := Event{Line: number}
	if err := decodeLine(line, &event); err != nil {
		return err
	}
	if err := event.validate(); err != nil {
		return err
	}
	if len(t.Events) > 0 && event.At < t.Events[len(t.Events)-1].At {
		return errors.New("the event is earlier than the one before")
	}
	t.Events = append(t.Events, event)
	return nil
}

func (e Event) validate() error {
	members := count(e.Call != nil, e.Answers != nil, e.Apply != nil, e.Mark != nil, e.ShedReport != nil, e.Grant != nil,
		e.Claim != nil, e.Deliver != nil, e.Restart != nil, e.Rejoin != nil, e.Check != nil)
	switch {
	case members != 1:
		return fmt.Errorf("an event has exactly one member beside at_ms, not %d", members)
	case e.Call != nil:
		return e.Call.validate()
	case e.Answers != nil:
		return e.Answers.Answer.validate()
	case e.Check != nil:
		return e.Check.validate()
	}
	return nil
}

func (e CallEvent) validate() error {
	if e.ID == "" || e.Service == "" {
		return errors.New("a call needs id and service")
	}
	for _, answer := range e.Does {
		if err := answer.validate(); err != nil {
			return err
		}
	}
	return nil
}

var outcomes = []string{"", OutcomeComplete, OutcomeRefused, OutcomeUnsent, OutcomeSent, OutcomeIncomplete}

func (a Answer) validate() error {
	if !slices.Contains(outcomes, a.Outcome) {
		return fmt.Errorf("unknown outcome %q: allowed are %q", a.Outcome, outcomes[1:])
	}
	return nil
}

func (c Check) validate() error {
	members := count(c.Limit != nil, c.Threshold != nil, c.Overloaded != nil, c.Revision != nil, c.Spent != nil,
		c.Order != nil, c.Count != nil, c.Claim != nil, c.Claimed != nil)
	if members != 1 {
		return fmt.Errorf("a check has exactly one member, not %d", members)
	}
	return nil
}

func count(conditions ...bool) int {
	holding := 0
	for _, holds := range conditions {
		if holds {
			holding++
		}
	}
	return holding
}
