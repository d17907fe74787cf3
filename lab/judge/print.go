package judge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// WriteText writes the report for people: the counts, and for each kind the
// breach with the shortest evidence.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "judged %d calls with %d tries, %d executions and %d observations\n", r.Calls, r.Tries, r.Executions, r.Observations)
	if err != nil {
		return err
	}
	e := r.Exercised
	_, err = fmt.Fprintf(w, "put to the test by: %d retried requests (most retries %d), %d shed orders, %d told not run, "+
		"%d keys sent again (%d duplicates refused), %d drains, %d planned stops with %d open calls, %d accepted changes\n",
		e.RetriedRequests, e.MostRetries, e.ShedOrders, e.ToldNotRun, e.KeysSentAgain, e.DuplicatesCaught,
		e.Drains, e.PlannedStops, e.OpenAtStop, e.AcceptedChanges)
	if err != nil {
		return err
	}
	if r.Clean() {
		_, err = fmt.Fprintln(w, "no promise was broken")
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

// maxPrintedEvidence bounds the records that are printed for one breach.
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
