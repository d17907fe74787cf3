package shed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

// None is the threshold that refuses nothing.
const None uint16 = criticality.RankCount

// Defaults of Config.
const (
	DefaultCutShare   = 0.05
	DefaultRaiseShare = 0.02
	DefaultShedMemory = 5 * time.Second
	// DefaultFloor lets the level critical-plus always through.
	DefaultFloor uint16 = criticality.CohortCount
)

const (
	// rateWeight is the weight of the newest tick in the moving average of arrivals.
	rateWeight = 0.3
	// maxGrowth bounds the growth of the admitted arrivals in one tick.
	maxGrowth = 2.0
	// minAdmittedShare is the share of all arrivals from which growth starts at least.
	minAdmittedShare = 0.05
	// negligible is the average arrivals per tick below which a rank counts as empty.
	negligible = 1e-3
)

// Config sets a Controller. A zero field takes its default.
type Config struct {
	// CutShare is the share of admitted arrivals cut per tick while overloaded, between 0 and 1.
	CutShare float64
	// RaiseShare is the least share by which admitted arrivals grow per tick otherwise, between 0 and 1.
	RaiseShare float64
	// ShedMemory is the half-life of the counts of ranks that are being shed.
	ShedMemory time.Duration
	// Floor is the lowest threshold ever set; ranks with a smaller key always pass. At least 1.
	Floor uint16
}

func (c Config) withDefaults() Config {
	if !(c.CutShare > 0 && c.CutShare < 1) {
		c.CutShare = DefaultCutShare
	}
	if !(c.RaiseShare > 0 && c.RaiseShare < 1) {
		c.RaiseShare = DefaultRaiseShare
	}
	if c.ShedMemory <= 0 {
		c.ShedMemory = DefaultShedMemory
	}
	if c.Floor == 0 {
		c.Floor = DefaultFloor
	}
	c.Floor = min(c.Floor, None)
	return c
}

// Controller computes the shed threshold of one target or service from its
// queue's state. It is safe for concurrent use; Observe takes no lock.
type Controller struct {
	config    Config
	arrivals  [criticality.RankCount]atomic.Uint32
	threshold atomic.Uint32

	mu       sync.Mutex
	rates    [criticality.RankCount]float64
	lastTick time.Time
}

// NewController returns a controller that sheds nothing yet.
func NewController(config Config) *Controller {
	c := &Controller{config: config.withDefaults()}
	c.threshold.Store(uint32(None))
	return c
}

// Observe counts an arrival, whether it is admitted or not.
func (c *Controller) Observe(rank criticality.Rank) {
	c.arrivals[min(rank.Key(), None-1)].Add(1)
}

// Threshold returns the present threshold, None if nothing is shed.
func (c *Controller) Threshold() uint16 { return uint16(c.threshold.Load()) }

// Refuses reports whether the threshold refuses a call of the given rank.
func (c *Controller) Refuses(rank criticality.Rank) bool { return rank.Key() >= c.Threshold() }

// Tick moves the threshold. It is called at a steady interval, 50 to 250 ms,
// with the queue's overload state and the utilization of the limit: calls in
// flight and queued, divided by the limit.
func (c *Controller) Tick(now time.Time, overloaded bool, utilization float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	threshold := c.Threshold()
	c.countArrivals(now, threshold)
	if overloaded {
		threshold = c.cut(threshold)
	} else if threshold < None {
		threshold = c.raise(threshold, utilization)
	}
	c.threshold.Store(uint32(threshold))
}

// countArrivals moves the counts of the last tick into the averages.
func (c *Controller) countArrivals(now time.Time, threshold uint16) {
	kept := c.shedDecay(now)
	for key := range c.rates {
		count := float64(c.arrivals[key].Swap(0))
		if uint16(key) >= threshold {
			c.rates[key] = max(count, c.rates[key]*kept)
			continue
		}
		c.rates[key] += rateWeight * (count - c.rates[key])
	}
}

// shedDecay returns the factor by which counts of shed ranks fade in this tick.
func (c *Controller) shedDecay(now time.Time) float64 {
	elapsed := now.Sub(c.lastTick)
	if c.lastTick.IsZero() {
		elapsed = 0
	}
	c.lastTick = now
	return math.Exp2(-max(elapsed, 0).Seconds() / c.config.ShedMemory.Seconds())
}

// cut lowers the threshold until the arrivals below it have shrunk by CutShare.
// A rank is shed whole, so at least one rank with arrivals goes.
func (c *Controller) cut(threshold uint16) uint16 {
	admitted := c.sum(0, threshold)
	goal := admitted * (1 - c.config.CutShare)
	for threshold > c.config.Floor && admitted > goal {
		threshold--
		admitted -= c.rates[threshold]
	}
	return threshold
}

// raise lifts the threshold while the arrivals below it stay within what the
// spare room carries, always by at least one rank with arrivals.
func (c *Controller) raise(threshold uint16, utilization float64) uint16 {
	admitted := c.sum(0, threshold)
	total := admitted + c.sum(threshold, None)
	goal := max(admitted, minAdmittedShare*total) * c.growth(utilization)
	raisedOne := false
	for threshold < None {
		rate := c.rates[threshold]
		occupied := rate > negligible
		if occupied && raisedOne && admitted+rate > goal {
			return threshold
		}
		raisedOne = raisedOne || occupied
		admitted += rate
		threshold++
	}
	return None
}

func (c *Controller) growth(utilization float64) float64 {
	least := 1 + c.config.RaiseShare
	if !(utilization > 0) {
		return maxGrowth
	}
	return min(max(1/utilization, least), maxGrowth)
}

func (c *Controller) sum(from, to uint16) float64 {
	total := 0.0
	for _, rate := range c.rates[from:to] {
		total += rate
	}
	return total
}
