package scheduler

import "time"

// Defaults of Config.
const (
	DefaultMaxQueue = 128
	DefaultMaxWait  = 500 * time.Millisecond
	DefaultTarget   = 20 * time.Millisecond
	DefaultInterval = 100 * time.Millisecond
	// DefaultServiceQuantile is the quantile of recent latencies used as the expected service time.
	DefaultServiceQuantile = 0.25
)

// Bounds of Refusal.RetryAfter.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 5 * time.Second
)

// Config configures a Scheduler. A zero field takes its default.
type Config struct {
	// MaxQueue is the largest number of waiters. A negative value means no queue.
	MaxQueue int
	// MaxWait is the longest time that a call waits.
	MaxWait time.Duration
	// Target is the acceptable queueing delay.
	Target time.Duration
	// Interval is how long the delay must stay above Target to count as overload.
	Interval time.Duration
	// ServiceQuantile is the quantile of recent latencies used as the expected service time, between 0 and 1.
	ServiceQuantile float64
	// ByRank orders the calls of one level by the prior calls of their requests
	// and then by rank, instead of by round-robin over callers. When requests
	// consist of many calls, some requests then complete and others fail entirely,
	// instead of each request losing some of its calls.
	ByRank bool
	// Factor returns the factor by which calls currently take longer than usual; nil means 1.
	Factor func(now time.Time) float64
	// FirstInFirstOut serves calls in order of arrival and evicts none. It is the
	// baseline for measuring the priority queue; late calls are still dropped.
	FirstInFirstOut bool
}

func (c Config) withDefaults() Config {
	if c.MaxQueue == 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	c.MaxQueue = max(c.MaxQueue, 0)
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Target <= 0 {
		c.Target = DefaultTarget
	}
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if !(c.ServiceQuantile > 0 && c.ServiceQuantile < 1) {
		c.ServiceQuantile = DefaultServiceQuantile
	}
	return c
}
