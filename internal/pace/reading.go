package pace

import "time"

// MaxAge is the age from which a pace counts as usual.
const MaxAge = 600 * time.Millisecond

// Reading is a pace with its age. The zero value means that the pace is unknown.
type Reading struct {
	// Percent is the duration of work in percent of its usual duration, zero if unknown.
	Percent int
	// Age is the time since the home received the pace.
	Age time.Duration
}

// Checked returns the reading, or the zero value if it is out of range.
func (r Reading) Checked() Reading {
	if r.Percent <= 0 || r.Percent > MaxPercent || r.Age < 0 {
		return Reading{}
	}
	return r
}

// Known reports whether the pace is known.
func (r Reading) Known() bool { return r.Percent > 0 }

// Factor returns the factor by which work takes longer than usual, given the time since the
// reading was received. It is 1 if the pace is unknown.
func (r Reading) Factor(sinceReceived time.Duration) float64 {
	if r.Percent == 0 {
		return 1
	}
	return factor(float64(r.Percent), r.Age+sinceReceived)
}

// minFactor is the least factor. A lower one would let a single sample, divided by it, raise the
// latency of a home beyond all deadlines.
const minFactor = 0.1

// factor weights the deviation of a pace from the usual one by its age, linearly from its whole
// at the age zero to nothing at MaxAge.
func factor(percent float64, age time.Duration) float64 {
	if age >= MaxAge {
		return 1
	}
	weight := 1 - float64(max(age, 0))/float64(MaxAge)
	return max(1+weight*(percent/Usual-1), minFactor)
}
