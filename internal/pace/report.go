package pace

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// Usual is the pace, in percent, of a target whose calls take as long as usual.
	Usual = 100
	// MaxPercent is the highest pace that is accepted, in percent.
	MaxPercent = 10_000
)

// Report is the pace that one response of a target reports.
type Report struct {
	// Kind tells whether the response reports its load, and whether with a pace.
	Kind Kind
	// Percent is the current duration of work in percent of its usual duration, greater than 0
	// and at most MaxPercent. It is zero unless Kind is WithPace.
	Percent float64
}

// Kind is the kind of a load report.
type Kind uint8

// Kinds of load reports.
const (
	// None means that the response reports no load.
	None Kind = iota
	// WithPace means that the report is valid and has a pace.
	WithPace
	// WithoutPace means that the report is valid and has no pace.
	WithoutPace
	// Malformed means that the report is invalid.
	Malformed
)

var kindNames = [...]string{"none", "pace", "no-pace", "malformed"}

// String returns the label value used in metrics.
func (k Kind) String() string { return kindNames[k] }

// Numbers of figures of a load report: running calls, waiting calls and slots, and the pace.
const (
	figuresWithoutPace = 3
	figuresWithPace    = 4
)

// ErrMalformed means that a load report does not consist of three or four decimal numbers, or
// that one of them is out of range.
var ErrMalformed = errors.New("malformed load report")

// Parse parses the fields of the header in which a target reports its load. It returns
// ErrMalformed if the report must be ignored.
func Parse(fields []string) (Report, error) {
	switch len(fields) {
	case 0:
		return Report{}, nil
	case 1:
		return parseField(fields[0])
	}
	return Report{Kind: Malformed}, fmt.Errorf("%w: %d header fields", ErrMalformed, len(fields))
}

// maxFieldLength is the length in bytes above which a report is malformed. It bounds the text of
// the error.
const maxFieldLength = 128

func parseField(field string) (Report, error) {
	if len(field) > maxFieldLength {
		return Report{Kind: Malformed}, fmt.Errorf("%w: %d bytes", ErrMalformed, len(field))
	}
	count, last := 0, 0.0
	for text := range strings.SplitSeq(field, ",") {
		figure, valid := parseFigure(strings.TrimSpace(text))
		if !valid {
			return Report{Kind: Malformed}, fmt.Errorf("%w: %q", ErrMalformed, field)
		}
		count, last = count+1, figure
	}
	switch {
	case count == figuresWithoutPace:
		return Report{Kind: WithoutPace}, nil
	case count == figuresWithPace && last > 0 && last <= MaxPercent:
		return Report{Kind: WithPace, Percent: last}, nil
	}
	return Report{Kind: Malformed}, fmt.Errorf("%w: %q", ErrMalformed, field)
}

// decimalCharacters are the characters of a decimal number, with an optional exponent. They
// exclude other forms that strconv accepts: hexadecimal numbers, underscores and names.
const decimalCharacters = "0123456789.eE+-"

// parseFigure returns a finite, non-negative decimal number.
func parseFigure(text string) (float64, bool) {
	if strings.Trim(text, decimalCharacters) != "" {
		return 0, false
	}
	figure, err := strconv.ParseFloat(text, 64)
	return figure, err == nil && !math.Signbit(figure)
}
