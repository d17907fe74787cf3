package emulator

import (
	"errors"
	"time"

	"github.com/lugspur/lugspur/lab/mesh"
)

// Faults are the injected faults of a target. The zero value injects none.
type Faults struct {
	// SlowFactor multiplies service times; zero means one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ErrorRate is the fraction of calls answered with status 500 after their
	// work.
	ErrorRate float64 `json:"error_rate,omitempty"`
	// ResetRate is the fraction of calls whose connection is reset after
	// their work instead of an answer.
	ResetRate float64 `json:"reset_rate,omitempty"`
	// TruncateRate is the fraction of answers of which only the first half is
	// sent.
	TruncateRate float64 `json:"truncate_rate,omitempty"`
	// Chunked sends answers with chunked encoding, without Content-Length.
	Chunked bool `json:"chunked,omitempty"`
	// FreezeAnswers delays finished answers until it is cleared.
	FreezeAnswers bool `json:"freeze_answers,omitempty"`
	// Down resets open connections and refuses new ones.
	Down bool `json:"down,omitempty"`
	// HealthOverride replaces the reported health; empty means the actual health.
	HealthOverride Health `json:"health_lie,omitempty"`
	// LoadOverride replaces the reported load; nil means the actual load.
	LoadOverride *float64 `json:"load_lie,omitempty"`
	// ReportLagMs replaces the lag of reports; nil means the service's value.
	ReportLagMs *float64 `json:"report_lag_ms,omitempty"`
	// ShedWaiting replaces the limit of waiting calls; nil means the service's
	// value.
	ShedWaiting *int `json:"shed_waiting,omitempty"`
	// IgnoreCancellation makes the target complete executions after their
	// callers have disconnected or their deadlines have passed.
	IgnoreCancellation bool `json:"ignore_cancellation,omitempty"`
}

// Health is the health that a target reports.
type Health string

// Values of Health.
const (
	Healthy   Health = "healthy"
	Draining  Health = "draining"
	Unhealthy Health = "unhealthy"
)

var errFaultRange = errors.New("rates and loads go from 0 to 1, factors and lags aren't negative")

// Validate returns an error if a value is out of range.
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

// coldFactor returns the factor by which a cold start increases service times,
// given the time since the start.
func coldFactor(cold mesh.ColdStart, age time.Duration) float64 {
	duration := mesh.Milliseconds(cold.DurationMs)
	if duration == 0 || cold.SlowFactor <= 1 || age >= duration {
		return 1
	}
	remaining := 1 - age.Seconds()/duration.Seconds()
	return 1 + (cold.SlowFactor-1)*remaining
}
