package replay

import (
	"fmt"
	"io"
	"time"
)

// Report is what came of a trace.
type Report struct {
	// Trace is the trace's name.
	Trace string
	// Verdicts are in the order of the events and then of the calls.
	Verdicts []Verdict
	// Notes are what a node would log.
	Notes []string

	calls []*call
	spent map[string]int
}

// Verdict is one stated outcome with what happened.
type Verdict struct {
	// Line is the line of the trace that states the outcome.
	Line int
	// At is the time of the comparison since the trace's start.
	At time.Duration
	// Subject says what is compared.
	Subject        string
	Stated, Actual string
	Holds          bool
}

// Holds reports whether all stated outcomes were met.
func (r *Report) Holds() bool { return r.Failures() == 0 }

// Failures returns the number of stated outcomes that were not met.
func (r *Report) Failures() int {
	failures := 0
	for _, verdict := range r.Verdicts {
		if !verdict.Holds {
			failures++
		}
	}
	return failures
}

// WriteText prints all verdicts, or just those that don't hold, with a summary.
func (r *Report) WriteText(to io.Writer, all bool) error {
	for _, note := range r.Notes {
		if _, err := fmt.Fprintf(to, "%s: note: %s\n", r.Trace, note); err != nil {
			return err
		}
	}
	for _, verdict := range r.Verdicts {
		if verdict.Holds && !all {
			continue
		}
		if _, err := fmt.Fprintf(to, "%s: %s\n", r.Trace, verdict); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(to, "%s: %d outcomes stated, %d failed\n", r.Trace, len(r.Verdicts), r.Failures())
	return err
}

// String returns the verdict as one line.
func (v Verdict) String() string {
	word := "ok"
	if !v.Holds {
		word = "FAIL"
	}
	return fmt.Sprintf("line %d, at %s: %s: %s: stated %s, found %s", v.Line, v.At, word, v.Subject, v.Stated, v.Actual)
}

func (r *Report) note(p *player, format string, arguments ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("at %s: ", p.elapsed())+fmt.Sprintf(format, arguments...))
}

func (r *Report) add(p *player, line int, subject, stated, actual string, holds bool) {
	r.Verdicts = append(r.Verdicts, Verdict{
		Line: line, At: p.elapsed(), Subject: subject, Stated: stated, Actual: actual, Holds: holds,
	})
}

// compare compares two values.
func (r *Report) compare(p *player, line int, subject string, stated, actual any) {
	r.add(p, line, subject, fmt.Sprint(stated), fmt.Sprint(actual), fmt.Sprint(stated) == fmt.Sprint(actual))
}

// within compares a value with a range.
func (r *Report) within(p *player, line int, subject string, least, most *int, actual int) {
	stated, holds := "", true
	if least != nil {
		stated = fmt.Sprintf("at least %d", *least)
		holds = actual >= *least
	}
	if most != nil {
		if stated != "" {
			stated += ", "
		}
		stated += fmt.Sprintf("at most %d", *most)
		holds = holds && actual <= *most
	}
	r.add(p, line, subject, stated, fmt.Sprint(actual), holds && stated != "")
}

// unknown notes that a check names something that doesn't exist.
func (r *Report) unknown(p *player, line int, subject string) {
	r.add(p, line, subject, "it exists", "it does not", false)
}
