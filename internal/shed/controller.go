package shed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

// None is the threshold that refuses no call.
const None uint16 = criticality.RankCount

// Defaults of Config.
const (
	DefaultDrainTime            = time.Second
	DefaultQueueShare           = 0.75
	DefaultMinGrowth            = 0.02
	DefaultCapacityTimeConstant = 300 * time.Millisecond
	DefaultShedRateHalfLife     = time.Second
	// DefaultFloor always admits the level critical-plus.
	DefaultFloor uint16 = criticality.CohortCount
)

const (
	// rateTimeConstant is the time constant of the moving average of arrival rates.
	rateTimeConstant = 150 * time.Millisecond
	// maxGrowthFactor bounds the growth of the admitted rate in one tick.
	maxGrowthFactor = 2.0
	// minAdmittedShare is the least share of all arrivals from which the admitted rate grows.
	minAdmittedShare = 0.05
	// minRateShare and maxRateShare bound the admitted rate of a busy target, as
	// shares of the rate that it serves.
	minRateShare = 0.5
	maxRateShare = 1.25
	// highUtilization is the utilization from which on the admitted rate follows the
	// rate that the target serves instead of growing with each tick.
	highUtilization = 0.8
	// negligibleRate is the number of arrivals per second below which a rank counts as inactive.
	negligibleRate = 0.02
)

// Config configures a Controller. A zero field takes its default.
type Config struct {
	// DrainTime is the time in which a queue should shrink to its desired length.
	// It must be longer than a threshold takes to reach the nodes that refuse.
	DrainTime time.Duration
	// QueueShare is the desired length of the queue as a share of the limit: enough
	// that no slot is idle while thresholds are being distributed.
	QueueShare float64
	// MinGrowth is the least share by which the admitted rate grows per tick
	// while the target has spare capacity, between 0 and 1.
	MinGrowth float64
	// CapacityTimeConstant is the time constant of the moving average of the served rate.
	CapacityTimeConstant time.Duration
	// ShedRateHalfLife is the half-life of the rates of ranks that are being shed
	// while the target has spare capacity.
	ShedRateHalfLife time.Duration
	// SettleTime is the time for which the rate of a readmitted rank is not lowered. Requests of
	// the rank make their calls one after another, so that the first calls don't show the rate.
	// Zero lowers it at once.
	SettleTime time.Duration
	// DeductStarted deducts the calls that still arrive at ranks that are being shed from the rate
	// to admit. Where thresholds take effect quickly, they are calls of requests that started before.
	DeductStarted bool
	// WithinLevel keeps the corrections for the queue and for started requests within the level in
	// which the served rate is exceeded. It is for queues that serve one level after the other, in which
	// less important calls don't delay more important ones.
	WithinLevel bool
	// Floor is the lowest threshold ever set; ranks with a smaller key are always admitted. At least 1.
	Floor uint16
}

func (c Config) withDefaults() Config {
	if c.DrainTime <= 0 {
		c.DrainTime = DefaultDrainTime
	}
	if !(c.QueueShare > 0) {
		c.QueueShare = DefaultQueueShare
	}
	if !(c.MinGrowth > 0 && c.MinGrowth < 1) {
		c.MinGrowth = DefaultMinGrowth
	}
	if c.CapacityTimeConstant <= 0 {
		c.CapacityTimeConstant = DefaultCapacityTimeConstant
	}
	if c.ShedRateHalfLife <= 0 {
		c.ShedRateHalfLife = DefaultShedRateHalfLife
	}
	if c.Floor == 0 {
		c.Floor = DefaultFloor
	}
	c.Floor = min(c.Floor, None)
	return c
}

// State is the state of the target's queue at a tick.
type State struct {
	// InFlight, Limit and Queued are the number of calls in flight, the concurrency
	// limit and the number of waiting calls.
	InFlight, Limit, Queued int
	// Overloaded reports whether the queueing delay is too long.
	Overloaded bool
	// Served is the number of calls sent to the target since its guard was created.
	Served uint64
}

// busy reports whether calls are waiting or every slot is in use.
func (s State) busy() bool { return s.Queued > 0 || s.InFlight >= s.Limit }

// utilization is the number of calls in flight or waiting as a share of the limit.
func (s State) utilization() float64 {
	return float64(s.InFlight+s.Queued) / float64(max(s.Limit, 1))
}

// Controller computes the shed threshold of one target or service from the state
// of its queue. It is safe for concurrent use; Observe is lock-free.
type Controller struct {
	config    Config
	arrivals  [criticality.RankCount]atomic.Uint32
	threshold atomic.Uint32

	mu sync.Mutex
	// rates are the arrivals per second of each rank. Those of ranks that are being
	// shed were measured before the shedding.
	rates    [criticality.RankCount]float64
	lastTick time.Time
	// shedAt is when each rank was last being shed; nil if Config.SettleTime is zero.
	shedAt []time.Time
	served uint64
	// capacity is the moving average of calls served per second while busy, zero if
	// unknown.
	capacity float64
	// started is the moving average of arrivals per second at ranks that are being shed.
	started float64
}

// NewController returns a controller whose threshold is None.
func NewController(config Config) *Controller {
	c := &Controller{config: config.withDefaults()}
	c.threshold.Store(uint32(None))
	if c.config.SettleTime > 0 {
		c.shedAt = make([]time.Time, criticality.RankCount)
	}
	return c
}

// Observe counts an arrival, admitted or not.
func (c *Controller) Observe(rank criticality.Rank) {
	c.arrivals[min(rank.Key(), None-1)].Add(1)
}

// Threshold returns the current threshold, None if nothing is shed.
func (c *Controller) Threshold() uint16 { return uint16(c.threshold.Load()) }

// Refuses reports whether the threshold refuses a call of the given rank.
func (c *Controller) Refuses(rank criticality.Rank) bool { return rank.Key() >= c.Threshold() }

// Tick updates the threshold. It must be called at a constant interval of 50 to 250 ms.
//
// Nothing is shed before the target is overloaded. From then on, while utilization
// is high, the threshold admits the rate that the target serves, corrected to bring
// the queue to its desired length. While the target has spare capacity, it admits
// more with each tick.
func (c *Controller) Tick(now time.Time, state State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	threshold := c.Threshold()
	c.measure(now, threshold, state)
	switch {
	case threshold == None && state.Overloaded:
		threshold = max(min(c.correctedThreshold(state), c.leastImportantActive()), c.config.Floor)
	case threshold < None && state.utilization() >= highUtilization:
		threshold = c.correctedThreshold(state)
	case threshold < None:
		threshold = c.raise(threshold, state.utilization())
	}
	c.threshold.Store(uint32(threshold))
}

// measure updates the arrival rates and the capacity. The first tick only starts
// the measurement.
func (c *Controller) measure(now time.Time, threshold uint16, state State) {
	elapsed := now.Sub(c.lastTick).Seconds()
	first := c.lastTick.IsZero()
	served := float64(state.Served - c.served)
	c.lastTick = now
	c.served = state.Served
	if first || elapsed <= 0 {
		return
	}
	c.measureArrivals(elapsed, threshold, state)
	if !state.busy() {
		return
	}
	if c.capacity == 0 {
		c.capacity = served / elapsed
	}
	c.capacity += smoothingFactor(elapsed, c.config.CapacityTimeConstant) * (served/elapsed - c.capacity)
}

// smoothingFactor returns the weight of a sample over the elapsed seconds in an exponential moving average.
func smoothingFactor(elapsed float64, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/constant.Seconds())
}

// measureArrivals updates the rates of ranks below the threshold. Ranks at or above
// it are refused upstream, wholly or in part, so the remaining arrivals do not
// reflect the offered load. Their rates are kept and decay only while the target
// has spare capacity, which shows that they are outdated.
func (c *Controller) measureArrivals(elapsed float64, threshold uint16, state State) {
	weight := smoothingFactor(elapsed, rateTimeConstant)
	decay := 1.0
	if state.utilization() < highUtilization {
		decay = math.Exp2(-elapsed / c.config.ShedRateHalfLife.Seconds())
	}
	started := 0.0
	for key := range c.rates {
		rate := float64(c.arrivals[key].Swap(0)) / elapsed
		if uint16(key) >= threshold {
			started += rate
			c.rates[key] *= decay
			if c.shedAt != nil {
				c.shedAt[key] = c.lastTick
			}
			continue
		}
		if rate < c.rates[key] && c.isSettling(key) {
			continue
		}
		c.rates[key] += weight * (rate - c.rates[key])
	}
	c.started += weight * (started - c.started)
}

// isSettling reports whether a rank was readmitted less than Config.SettleTime ago.
func (c *Controller) isSettling(key int) bool {
	return c.shedAt != nil && c.lastTick.Sub(c.shedAt[key]) < c.config.SettleTime
}

// desiredRate returns the arrivals per second to admit to a busy target: the rate
// that it serves, corrected so that the queue reaches its desired length within
// Config.DrainTime, less the calls of requests that started before if so configured.
func (c *Controller) desiredRate(state State) float64 {
	desiredQueue := max(c.config.QueueShare*float64(state.Limit), 1)
	correction := (desiredQueue - float64(state.Queued)) / c.config.DrainTime.Seconds()
	if c.config.DeductStarted {
		correction -= c.started
	}
	return min(max(c.capacity+correction, minRateShare*c.capacity), maxRateShare*c.capacity)
}

// correctedThreshold returns the threshold for the desired rate.
func (c *Controller) correctedThreshold(state State) uint16 {
	threshold := c.thresholdFor(c.desiredRate(state))
	if !c.config.WithinLevel {
		return threshold
	}
	return max(threshold, firstOfLevel(c.thresholdFor(c.capacity)))
}

// firstOfLevel returns the first key of the level that contains the key.
func firstOfLevel(key uint16) uint16 { return key - key%criticality.CohortCount }

// thresholdFor returns the highest threshold that admits no more than the rate, but
// never None: shedding ends only when the target has spare capacity.
func (c *Controller) thresholdFor(rate float64) uint16 {
	threshold := None - 1
	admitted := c.rateBetween(0, threshold)
	for threshold > c.config.Floor && admitted > rate {
		threshold--
		admitted -= c.rates[threshold]
	}
	return max(threshold, c.config.Floor)
}

// leastImportantActive returns the key of the least important rank with arrivals,
// or of the least important rank if no arrivals have been measured.
func (c *Controller) leastImportantActive() uint16 {
	for threshold := None - 1; threshold > c.config.Floor; threshold-- {
		if c.rates[threshold] > negligibleRate {
			return threshold
		}
	}
	return None - 1
}

// raise returns a higher threshold whose admitted rate stays within the spare
// capacity. It always admits at least one more rank with arrivals.
func (c *Controller) raise(threshold uint16, utilization float64) uint16 {
	admitted := c.rateBetween(0, threshold)
	total := admitted + c.rateBetween(threshold, None)
	maxRate := max(admitted, minAdmittedShare*total) * c.growthFactor(utilization)
	raised := false
	for threshold < None {
		rate := c.rates[threshold]
		active := rate > negligibleRate
		if active && raised && admitted+rate > maxRate {
			return threshold
		}
		raised = raised || active
		admitted += rate
		threshold++
	}
	return None
}

// growthFactor returns the factor by which the admitted rate may grow in one tick.
func (c *Controller) growthFactor(utilization float64) float64 {
	least := 1 + c.config.MinGrowth
	if !(utilization > 0) {
		return maxGrowthFactor
	}
	return min(max(1/utilization, least), maxGrowthFactor)
}

// rateBetween returns the total rate of the ranks from the first key up to but excluding the second.
func (c *Controller) rateBetween(from, to uint16) float64 {
	total := 0.0
	for _, rate := range c.rates[from:to] {
		total += rate
	}
	return total
}
