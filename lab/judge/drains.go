package judge

import (
	"fmt"
	"time"
)

// span is the interval of a drain. A zero until means that the drain is still
// active.
type span struct{ from, until time.Time }

func (s span) contains(at time.Time) bool {
	return at.After(s.from) && (s.until.IsZero() || at.Before(s.until))
}

// checkDrains finds work that a target began more than DrainAllowance after its
// drain was accepted and before it was asked to join again.
func checkDrains(i *index) []Breach {
	spans := i.drainSpans()
	var found []Breach
	for _, record := range i.Records {
		for _, drain := range spans[record.Target] {
			late := span{from: drain.from.Add(i.Settings.DrainAllowance), until: drain.until}
			if !late.contains(record.Start) {
				continue
			}
			found = append(found, Breach{
				Kind: WorkAfterDrain,
				At:   record.Start,
				Summary: fmt.Sprintf("%s began new work %s after its drain was accepted",
					record.Target, record.Start.Sub(drain.from).Round(time.Millisecond)),
				RequestID: record.RequestID,
				Target:    record.Target,
				Evidence:  []Evidence{evidence(drain.from, "the drain of %s was accepted", record.Target), executed(record)},
			})
		}
	}
	return found
}

// drainSpans returns the drain intervals of each target. Draining a target again
// while it is being drained has no effect.
func (i *index) drainSpans() map[string][]span {
	spans := map[string][]span{}
	for _, event := range i.Events {
		known := spans[event.Target]
		open := len(known) > 0 && known[len(known)-1].until.IsZero()
		switch {
		case event.Kind == DrainAccepted && !open:
			spans[event.Target] = append(known, span{from: event.At})
		case event.Kind == JoinRequested && open:
			known[len(known)-1].until = event.At
		}
	}
	return spans
}
