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

// MaxTraceBytes is the maximum size of a trace file.
const MaxTraceBytes = 16 << 20

// ReadFile reads a trace file.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.In("replay").With("step", "open").With("file", path).Wrap(err)
	}
	defer func() { _ = file.Close() }()
	trace, err := Read(file)
	return trace, oops.In("replay").With("step", "read").With("file", path).Wrapf(err, "read %s", path)
}

// Read reads a trace: a header and events, one JSON object per line. Empty lines and
// lines that start with # are skipped.
func Read(source io.Reader) (*Trace, error) {
	content, err := io.ReadAll(io.LimitReader(source, MaxTraceBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > MaxTraceBytes {
		return nil, fmt.Errorf("trace is longer than %d bytes", MaxTraceBytes)
	}
	trace := &Trace{}
	headerRead := false
	for index, line := range bytes.Split(content, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		if !headerRead {
			err = decodeLine(line, &trace.Header)
			headerRead = true
		} else {
			err = trace.addEvent(line, index+1)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", index+1, err)
		}
	}
	if trace.Header.Name == "" {
		return nil, errors.New("the first line must be a header with the name of the trace")
	}
	return trace, nil
}

func decodeLine(line []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}

func (t *Trace) addEvent(line []byte, lineNumber int) error {
	event := Event{Line: lineNumber}
	if err := decodeLine(line, &event); err != nil {
		return err
	}
	if err := event.validate(); err != nil {
		return err
	}
	if len(t.Events) > 0 && event.At < t.Events[len(t.Events)-1].At {
		return errors.New("the event is earlier than the previous event")
	}
	t.Events = append(t.Events, event)
	return nil
}

func (e Event) validate() error {
	memberCount := countTrue(e.Call != nil, e.DefaultResponse != nil, e.Apply != nil, e.EmergencyDrain != nil,
		e.ShedReport != nil, e.GrantRequest != nil, e.Claim != nil, e.Delivery != nil, e.Restart != nil, e.Rejoin != nil, e.Check != nil)
	switch {
	case memberCount != 1:
		return fmt.Errorf("an event must have exactly one member besides at_ms; it has %d", memberCount)
	case e.Call != nil:
		return e.Call.validate()
	case e.DefaultResponse != nil:
		return e.DefaultResponse.Response.validate()
	case e.Check != nil:
		return e.Check.validate()
	}
	return nil
}

func (e CallEvent) validate() error {
	if e.ID == "" || e.Service == "" {
		return errors.New("a call must have an id and a service")
	}
	for _, response := range e.Responses {
		if err := response.validate(); err != nil {
			return err
		}
	}
	return nil
}

var validOutcomes = []string{"", OutcomeComplete, OutcomeRefused, OutcomeFailedUnsent, OutcomeFailedSent, OutcomeIncomplete}

func (r Response) validate() error {
	if !slices.Contains(validOutcomes, r.Outcome) {
		return fmt.Errorf("unknown outcome %q: allowed are %q", r.Outcome, validOutcomes[1:])
	}
	return nil
}

func (c Check) validate() error {
	memberCount := countTrue(c.Limit != nil, c.Threshold != nil, c.Overloaded != nil, c.Revision != nil, c.GrantedRetries != nil,
		c.Order != nil, c.Count != nil, c.Claim != nil, c.GrantedClaims != nil)
	if memberCount != 1 {
		return fmt.Errorf("a check must have exactly one member; it has %d", memberCount)
	}
	return nil
}

// countTrue returns the number of conditions that are true.
func countTrue(conditions ...bool) int {
	total := 0
	for _, condition := range conditions {
		if condition {
			total++
		}
	}
	return total
}
