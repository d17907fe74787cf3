package targetrate

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Announcement is what one response says about the target's rate limit. The zero value
// means that the target announces none.
type Announcement struct {
	// Limited reports whether there is a limit.
	Limited bool
	// Rate is the limit in calls per second, finite and not negative.
	Rate float64
}

// String returns the limit as written to logs.
func (a Announcement) String() string {
	if !a.Limited {
		return "none"
	}
	return strconv.FormatFloat(a.Rate, 'g', -1, 64) + "/s"
}

// stricterThan reports whether the announcement allows fewer calls than the other.
func (a Announcement) stricterThan(other Announcement) bool {
	return a.Limited && (!other.Limited || a.Rate < other.Rate)
}

// ErrMalformed means that an announcement is not a finite, non-negative decimal number.
// Such a response neither sets nor lifts a limit.
var ErrMalformed = errors.New("malformed rate limit")

// Parse parses the values of the header that announces the limit. Several values, in one
// or more fields, announce the lowest of them. If any value is malformed, so is the
// announcement.
func Parse(fields []string) (Announcement, error) {
	if len(fields) == 0 {
		return Announcement{}, nil
	}
	announcement := Announcement{Limited: true, Rate: math.Inf(1)}
	for _, value := range strings.Split(strings.Join(fields, ","), ",") {
		rate, err := parseRate(strings.TrimSpace(value))
		if err != nil {
			return Announcement{}, err
		}
		announcement.Rate = min(announcement.Rate, rate)
	}
	return announcement, nil
}

// decimalCharacters are the characters of a decimal number, with an optional exponent.
// They exclude other forms that strconv accepts: hexadecimal numbers and names.
const decimalCharacters = "0123456789.eE+-"

func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, decimalCharacters) != "" || math.Signbit(rate) {
		return 0, fmt.Errorf("%w: %q", ErrMalformed, text)
	}
	return rate, nil
}

// LeavingValue is the value of the header by which a target announces that it is leaving.
const LeavingValue = "1"
