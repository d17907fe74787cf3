package judge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// WriteText writes a human-readable report: the counts and, for each kind, the
// breach with the least evidence.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "checked %d calls with %d attempts, %d executions and %d observations\n", r.Calls, r.Attempts, r.Executions, r.Observations)
	if err != nil {
		return err
	}
	e := r.Coverage
	_, err = fmt.Fprintf(w, "guarantees exercised by: %d retried requests (at most %d retries), %d shed critical-plus calls, %d attempts reported as not executed, "+
		"%d reused idempotency keys (%d duplicates refused), %d drains, %d graceful stops with %d calls in flight, %d accepted changes\n",
		e.RetriedRequests, e.MaxRetries, e.ShedCriticalCalls, e.ReportedNotExecuted, e.ReusedKeys, e.DuplicatesRefused,
		e.Drains, e.GracefulStops, e.InFlightAtStop, e.AcceptedChanges)
	if err != nil {
		return err
	}
	if r.Clean() {
		_, err = fmt.Fprintln(w, "no guarantee was violated")
		return err
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Counts)) {
		if _, err := fmt.Fprintf(w, "BROKEN %s: %d\n", kind, r.Counts[kind]); err != nil {
			return err
		}
		if err := r.writeFirst(w, kind); err != nil {
			return err
		}
	}
	return nil
}

// maxPrintedEvidence limits the evidence that is printed for one breach.
const maxPrintedEvidence = 12

func (r Report) writeFirst(w io.Writer, kind BreachKind) error {
	for _, breach := range r.Breaches {
		if breach.Kind != kind {
			continue
		}
		if _, err := fmt.Fprintf(w, "  %s\n", breach.Summary); err != nil {
			return err
		}
		for _, fact := range breach.Evidence[:min(len(breach.Evidence), maxPrintedEvidence)] {
			if _, err := fmt.Fprintf(w, "    %s %s\n", fact.At.Format(time.RFC3339Nano), fact.Fact); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}
