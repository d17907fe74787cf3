package linear

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samber/oops"
)

// CheckTimeout bounds the search for an order of the writes.
const CheckTimeout = 30 * time.Second

// Result is what a check found.
type Result struct {
	// Faults are contradictions between answers, and reads that went back.
	Faults []string
	// Order says whether an order of the writes exists; porcupine.Unknown means
	// that the search ran out of time.
	Order porcupine.CheckResult

	information porcupine.LinearizationInfo
}

// Check checks a history against what the administration API promises.
func Check(history History) Result {
	found := findFates(history)
	monotonic := checkMonotonic(history, found)
	checked := Result{Faults: append(found.faults, monotonic...)}
	checked.Order, checked.information = porcupine.CheckOperationsVerbose(model(), operations(history, found), CheckTimeout)
	return checked
}

// OK reports whether the history keeps all promises. A search that ran out of
// time proves nothing and is not OK.
func (r Result) OK() bool { return len(r.Faults) == 0 && r.Order == porcupine.Ok }

// Visualize writes an HTML file that shows the operations and how far they
// could be put in order.
func (r Result) Visualize(path string) error {
	if err := porcupine.VisualizePath(model(), r.information, path); err != nil {
		return oops.In("linear").With("step", "visualize").Wrapf(err, "write %s", path)
	}
	return nil
}
