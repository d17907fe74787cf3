package emulator

import (
	"errors"
	"time"

	"github.com/lugspur/lugspur/lab/mesh"
)

// Faults is what is wrong with a target. The zero value is a sound target.
type Faults struct {
	// SlowFactor multiplies service times; zero means one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ErrorRate is the fraction of calls answered 500 after their work.
	ErrorRate float64 `json:"error_rate,omitempty"`
	// ResetRate is the fraction of calls whose connection is reset after
	// their work, in place of an answer.
	ResetRate float64 `json:"reset_rate,omitempty"`
	// TruncateRate is the fraction of answers cut in the middle.
	TruncateRate float64 `json:"truncate_rate,omitempty"`
	// Chunked answers carry no Content-Length.
	Chunked bool `json:"chunked,omitempty"`
	// FreezeAnswers holds finished answers back until it is lifted.
	FreezeAnswers bool `json:"freeze_answers,omitempty"`
	// Down resets open connections and refuses new ones.
	Down bool `json:"down,omitempty"`
	// HealthOverride replaces the reported health; empty means the truth.
	HealthOverride Health `json:"health_lie,omitempty"`
	// LoadOverride replaces the reported load; nil means the truth.
	LoadOverride *float64 `json:"load_lie,omitempty"`
	// ReportLagMs replaces the lag of the reports; nil means the mesh's.
	ReportLagMs *float64 `json:"report_lag_ms,omitempty"`
	// ShedWaiting replaces the bound on waiting calls; nil means the mesh's.
	ShedWaiting *int `json:"shed_waiting,omitempty"`
	// IgnoreCancellation makes the target finish work nobody waits for.
	IgnoreCancellation bool `json:"ignore_cancellation,omitempty"`
}

// Health is what a target says of itself.
type Health string

// The reported states of health.
const (
	Healthy   Health = "healthy"
	Draining  Health = "draining"
	Unhealthy Health = "unhealthy"
)

var errFaultRange = errors.New("rates and loads go from 0 to 1, factors and lags aren't negative")

// Validate reports values out of range.
func (f Faults) Validate() error {
	for _, rate := range []float64{f.ErrorRate, f.ResetRate, f.TruncateRate} {
		if rate < 0 || rate > 1 {
			return errFaultRange
		}
	}
	if f.SlowFactor < 0 {
		return errFaultRange
	}
	if f.LoadOverride != nil && (*f.LoadOverride < 0 || *f.LoadOverride > 1) {
		return errFaultRange
	}
	if f.ReportLagMs != nil && (*f.ReportLagMs < 0 || mesh.Milliseconds(*f.ReportLagMs) > maxReportLag) {
		return errFaultRange
	}
	switch f.HealthOverride {
	case "", Healthy, Draining, Unhealthy:
		return nil
	}
	return errors.New("health_lie is healthy, draining or unhealthy")
}

func (f Faults) slowFactor() float64 {
	if f.SlowFactor == 0 {
		return 1
	}
	return f.SlowFactor
}

// coldFactor returns how much slower a target is at the given age.
func coldFactor(cold mesh.ColdStart, age time.Duration) float64 {
	duration := mesh.Milliseconds(cold.DurationMs)
	if duration == 0 || cold.SlowFactor <= 1 || age >= duration {
		return 1
	}
	left := 1 - age.Seconds()/duration.Seconds()
	return 1 + (cold.SlowFactor-1)*left
}
