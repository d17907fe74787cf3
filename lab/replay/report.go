package replay

import (
	"fmt"
	"io"
	"time"
)

// Report is the result of playing a trace.
type Report struct {
	// TraceName is the trace's name.
	TraceName string
	// Comparisons has those of checks and other events first, in the order in which
	// the events were played, then those of calls in the order of the trace.
	Comparisons []Comparison
	// Notes are errors that a node would log.
	Notes []string

	calls          []*call
	retriesGranted map[string]int
}

// Comparison compares one expected outcome with the actual one.
type Comparison struct {
	// Line is the line number of the expectation in the trace.
	Line int
	// At is the time of the comparison since the trace's start.
	At time.Duration
	// Subject describes the compared value.
	Subject          string
	Expected, Actual string
	Passed           bool
}

// Passed reports whether all comparisons passed.
func (r *Report) Passed() bool { return r.Failures() == 0 }

// Failures returns the number of failed comparisons.
func (r *Report) Failures() int {
	failures := 0
	for _, comparison := range r.Comparisons {
		if !comparison.Passed {
			failures++
		}
	}
	return failures
}

// WriteText prints the notes, all comparisons or just the failed ones, and a summary.
func (r *Report) WriteText(writer io.Writer, all bool) error {
	for _, note := range r.Notes {
		if _, err := fmt.Fprintf(writer, "%s: note: %s\n", r.TraceName, note); err != nil {
			return err
		}
	}
	for _, comparison := range r.Comparisons {
		if comparison.Passed && !all {
			continue
		}
		if _, err := fmt.Fprintf(writer, "%s: %s\n", r.TraceName, comparison); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(writer, "%s: %d outcomes compared, %d failed\n", r.TraceName, len(r.Comparisons), r.Failures())
	return err
}

// String returns the comparison as one line.
func (c Comparison) String() string {
	status := "ok"
	if !c.Passed {
		status = "FAIL"
	}
	return fmt.Sprintf("line %d, at %s: %s: %s: expected %s, got %s", c.Line, c.At, status, c.Subject, c.Expected, c.Actual)
}

func (r *Report) addNote(p *player, format string, arguments ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("at %s: ", p.elapsed())+fmt.Sprintf(format, arguments...))
}

func (r *Report) addComparison(p *player, line int, subject, expected, actual string, passed bool) {
	r.Comparisons = append(r.Comparisons, Comparison{
		Line: line, At: p.elapsed(), Subject: subject, Expected: expected, Actual: actual, Passed: passed,
	})
}

// compare compares the texts of two values.
func (r *Report) compare(p *player, line int, subject string, expected, actual any) {
	r.addComparison(p, line, subject, fmt.Sprint(expected), fmt.Sprint(actual), fmt.Sprint(expected) == fmt.Sprint(actual))
}

// compareRange compares a value with a range. A range without bounds fails.
func (r *Report) compareRange(p *player, line int, subject string, minimum, maximum *int, actual int) {
	expected, passed := "", true
	if minimum != nil {
		expected = fmt.Sprintf("at least %d", *minimum)
		passed = actual >= *minimum
	}
	if maximum != nil {
		if expected != "" {
			expected += ", "
		}
		expected += fmt.Sprintf("at most %d", *maximum)
		passed = passed && actual <= *maximum
	}
	r.addComparison(p, line, subject, expected, fmt.Sprint(actual), passed && expected != "")
}

// addMissing adds a failed comparison for a check of something that does not exist.
func (r *Report) addMissing(p *player, line int, subject string) {
	r.addComparison(p, line, subject, "it exists", "it does not", false)
}
