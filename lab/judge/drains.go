package judge

import (
	"fmt"
	"time"
)

// span is a time in which a drain holds. It is open when until is zero.
type span struct{ from, until time.Time }

func (s span) holds(at time.Time) bool {
	return at.After(s.from) && (s.until.IsZero() || at.Before(s.until))
}

// checkDrains looks for work that began at a target later than allowed after
// its drain was accepted and before it was asked to join.
func checkDrains(i *index) []Breach {
	spans := i.drainSpans()
	var found []Breach
	for _, record := range i.Records {
		for _, drained := range spans[record.Target] {
			late := span{from: drained.from.Add(i.Settings.DrainAllowance), until: drained.until}
			if !late.holds(record.Start) {
				continue
			}
			found = append(found, Breach{
				Kind: WorkAfterDrain,
				At:   record.Start,
				Summary: fmt.Sprintf("%s began new work %s after its drain was accepted",
					record.Target, record.Start.Sub(drained.from).Round(time.Millisecond)),
				RequestID: record.RequestID,
				Target:    record.Target,
				Evidence:  []Evidence{evidence(drained.from, "the drain of %s was accepted", record.Target), executed(record)},
			})
		}
	}
	return found
}

// drainSpans returns when each target was leaving. A second drain of a target
// that is leaving changes nothing.
func (i *index) drainSpans() map[string][]span {
	spans := map[string][]span{}
	for _, event := range i.Events {
		known := spans[event.Target]
		open := len(known) > 0 && known[len(known)-1].until.IsZero()
		switch {
		case event.Kind == DrainAccepted && !open:
			spans[event.Target] = append(known, span{from: event.At})
		case event.Kind == JoinAsked && open:
			known[len(known)-1].until = event.At
		}
	}
	return spans
}
