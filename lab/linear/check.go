package linear

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samber/oops"
)

// CheckTimeout limits the search for a linearization of the writes.
const CheckTimeout = 30 * time.Second

// Result is the result of a check.
type Result struct {
	// Violations describes contradictions between responses, and reads that went back
	// to an older version.
	Violations []string
	// Linearizability reports whether a linearization of the writes exists;
	// porcupine.Unknown means that the search timed out.
	Linearizability porcupine.CheckResult

	linearization porcupine.LinearizationInfo
}

// Check checks a history against the guarantees of the administration API.
func Check(history History) Result {
	reconciled := reconcile(history)
	monotonic := checkMonotonic(history, reconciled)
	result := Result{Violations: append(reconciled.violations, monotonic...)}
	result.Linearizability, result.linearization = porcupine.CheckOperationsVerbose(model(), modelOperations(history, reconciled), CheckTimeout)
	return result
}

// OK reports whether the history satisfies all guarantees. A search that timed
// out is inconclusive and is not OK.
func (r Result) OK() bool { return len(r.Violations) == 0 && r.Linearizability == porcupine.Ok }

// Visualize writes an HTML file that shows the operations and the partial
// linearizations that were found.
func (r Result) Visualize(path string) error {
	if err := porcupine.VisualizePath(model(), r.linearization, path); err != nil {
		return oops.In("linear").With("step", "visualize").Wrapf(err, "write %s", path)
	}
	return nil
}
