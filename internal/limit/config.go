package limit

import "time"

// Default values of Config.
const (
	DefaultWindow         = 100 * time.Millisecond
	DefaultRampTime       = time.Second
	DefaultBackoff        = 0.7
	DefaultGradientCut    = 0.85
	DefaultTolerance      = 2.0
	DefaultGradientFloor  = 0.5
	DefaultTimeoutFloor   = 0.25
	DefaultTimeoutShare   = 0.1
	DefaultBaselineMemory = 30 * time.Second
	DefaultHintFloor      = 0.5
	DefaultHintDecay      = 2 * time.Second
)

// Config configures a Limiter. A zero field takes its default.
type Config struct {
	// Ceiling is the largest limit in calls: the smaller of slots and connections. At least 1.
	Ceiling int
	// Initial is the initial limit in calls; default half the ceiling, at least Minimum.
	Initial int
	// Minimum is the smallest limit in calls; default 1.
	Minimum int
	// Window is the minimum time between two cuts and the interval between increases.
	Window time.Duration
	// RampTime is the time in which continuous success raises the limit by the value of the ceiling.
	RampTime time.Duration
	// Backoff is the factor applied to the limit on overload or timeouts, between 0 and 1.
	Backoff float64
	// GradientCut is the factor applied to the limit on rising latency, between 0 and 1.
	GradientCut float64
	// Tolerance is the ratio of the median latency of recent calls to the normal latency above which the limit is cut.
	Tolerance float64
	// GradientFloor is the fraction of the ceiling below which latency alone never cuts the limit.
	GradientFloor float64
	// TimeoutFloor is the fraction of the ceiling below which timeouts mixed with successes never cut the limit.
	TimeoutFloor float64
	// TimeoutShare is the fraction of timeouts among recent calls from which on they count as congestion.
	TimeoutShare float64
	// BaselineMemory is the time constant with which the normal latency follows a higher one; it follows a lower one within a few batches.
	BaselineMemory time.Duration
	// HintFloor is the smallest factor that a reported load can apply to the limit.
	HintFloor float64
	// HintDecay is the time after which a reported load no longer has any effect.
	HintDecay time.Duration
}

// withDefaults returns the configuration with defaults for zero and invalid fields.
func (c Config) withDefaults() Config {
	c.Ceiling = max(c.Ceiling, 1)
	c.Minimum = min(max(c.Minimum, 1), c.Ceiling)
	if c.Initial <= 0 {
		c.Initial = c.Ceiling / 2
	}
	c.Initial = min(max(c.Initial, c.Minimum), c.Ceiling)
	c.Window = durationOr(c.Window, DefaultWindow)
	c.RampTime = durationOr(c.RampTime, DefaultRampTime)
	c.BaselineMemory = durationOr(c.BaselineMemory, DefaultBaselineMemory)
	c.HintDecay = durationOr(c.HintDecay, DefaultHintDecay)
	c.Backoff = factorOr(c.Backoff, DefaultBackoff)
	c.GradientCut = factorOr(c.GradientCut, DefaultGradientCut)
	c.GradientFloor = factorOr(c.GradientFloor, DefaultGradientFloor)
	c.TimeoutFloor = factorOr(c.TimeoutFloor, DefaultTimeoutFloor)
	c.TimeoutShare = factorOr(c.TimeoutShare, DefaultTimeoutShare)
	c.HintFloor = factorOr(c.HintFloor, DefaultHintFloor)
	if !(c.Tolerance > 1) {
		c.Tolerance = DefaultTolerance
	}
	return c
}

func durationOr(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

func factorOr(value, fallback float64) float64 {
	if value > 0 && value <= 1 {
		return value
	}
	return fallback
}
