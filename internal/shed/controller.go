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
	DefaultDrainTime    = time.Second
	DefaultQueueShare   = 0.75
	DefaultRaiseShare   = 0.02
	DefaultCapacityTime = 300 * time.Millisecond
	DefaultShedMemory   = time.Second
	// DefaultFloor lets the level critical-plus always through.
	DefaultFloor uint16 = criticality.CohortCount
)

const (
	// rateTime is the time constant of the moving average of arrivals.
	rateTime = 150 * time.Millisecond
	// maxGrowth bounds the growth of the admitted arrivals in one tick.
	maxGrowth = 2.0
	// minAdmittedShare is the share of all arrivals from which growth starts at least.
	minAdmittedShare = 0.05
	// minGoalShare and maxGoalShare bound the admitted arrivals of a busy target,
	// as shares of what it serves.
	minGoalShare = 0.5
	maxGoalShare = 1.25
	// nearlyFull is the utilization from which on admitted arrivals follow what
	// the target serves instead of growing with each tick.
	nearlyFull = 0.8
	// negligible is the arrivals per second below which a rank counts as empty.
	negligible = 0.02
)

// Config sets a Controller. A zero field takes its default.
type Config struct {
	// DrainTime is the time in which a queue shall shrink to its wanted length.
	// It must be longer than a threshold takes to reach the nodes that refuse.
	DrainTime time.Duration
	// QueueShare is the wanted length of the queue as a share of the limit: enough
	// that no slot is idle while thresholds are on their way.
	QueueShare float64
	// RaiseShare is the least share by which admitted arrivals grow per tick
	// while the target has room, between 0 and 1.
	RaiseShare float64
	// CapacityTime is the time constant of the average of calls served.
	CapacityTime time.Duration
	// ShedMemory is the half-life of the rates of ranks that are being shed while
	// the target has room.
	ShedMemory time.Duration
	// Floor is the lowest threshold ever set; ranks with a smaller key always pass. At least 1.
	Floor uint16
}

func (c Config) withDefaults() Config {
	if c.DrainTime <= 0 {
		c.DrainTime = DefaultDrainTime
	}
	if !(c.QueueShare > 0) {
		c.QueueShare = DefaultQueueShare
	}
	if !(c.RaiseShare > 0 && c.RaiseShare < 1) {
		c.RaiseShare = DefaultRaiseShare
	}
	if c.CapacityTime <= 0 {
		c.CapacityTime = DefaultCapacityTime
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

// State is the state of the target's queue at a tick.
type State struct {
	// InFlight, Limit and Queued are calls at the target, allowed there, and
	// waiting for it.
	InFlight, Limit, Queued int
	// Overloaded reports whether calls have been waiting for too long.
	Overloaded bool
	// Served counts the calls that the target was sent since its guard was made.
	Served uint64
}

// busy reports whether calls wait or every slot is in use.
func (s State) busy() bool { return s.Queued > 0 || s.InFlight >= s.Limit }

// utilization is the work in hand as a share of the limit.
func (s State) utilization() float64 {
	return float64(s.InFlight+s.Queued) / float64(max(s.Limit, 1))
}

// Controller computes the shed threshold of one target or service from its
// queue's state. It is safe for concurrent use; Observe takes no lock.
type Controller struct {
	config    Config
	arrivals  [criticality.RankCount]atomic.Uint32
	threshold atomic.Uint32

	mu sync.Mutex
	// rates are the arrivals a second of each rank; those of ranks that are
	// being shed are what they were before.
	rates    [criticality.RankCount]float64
	lastTick time.Time
	served   uint64
	// capacity is the average of calls served a second while busy, zero if
	// unknown.
	capacity float64
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

// Tick moves the threshold. It is called at a steady interval, 50 to 250 ms.
//
// Nothing is shed before the target is overloaded. From then on, while it is
// nearly full, the threshold lets in as many calls as the target serves, less
// what is needed to bring the queue to its wanted length; while it has room,
// more with each tick.
func (c *Controller) Tick(now time.Time, state State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	threshold := c.Threshold()
	c.measure(now, threshold, state)
	switch {
	case threshold == None && state.Overloaded:
		threshold = max(min(c.fit(c.goal(state)), c.lastOccupied()), c.config.Floor)
	case threshold < None && state.utilization() >= nearlyFull:
		threshold = c.fit(c.goal(state))
	case threshold < None:
		threshold = c.raise(threshold, state.utilization())
	}
	c.threshold.Store(uint32(threshold))
}

// measure brings the rates of arrivals and the capacity up to date. The first
// tick only begins the measurement.
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
	c.capacity += weightOf(elapsed, c.config.CapacityTime) * (served/elapsed - c.capacity)
}

// weightOf is the weight of a value over the elapsed seconds in an average.
func weightOf(elapsed float64, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/constant.Seconds())
}

// measureArrivals averages the arrivals below the threshold. Those above it are
// refused elsewhere, wholly or in part, so that what still arrives says nothing
// of what would. Their rates are kept as they were, and fade only while the
// target has room, which shows that they no longer hold.
func (c *Controller) measureArrivals(elapsed float64, threshold uint16, state State) {
	weight := weightOf(elapsed, rateTime)
	kept := 1.0
	if state.utilization() < nearlyFull {
		kept = math.Exp2(-elapsed / c.config.ShedMemory.Seconds())
	}
	for key := range c.rates {
		rate := float64(c.arrivals[key].Swap(0)) / elapsed
		if uint16(key) >= threshold {
			c.rates[key] *= kept
			continue
		}
		c.rates[key] += weight * (rate - c.rates[key])
	}
}

// goal is the arrivals a second that a busy target shall get: those that it
// serves, corrected so that the queue gets to its wanted length in DrainTime.
func (c *Controller) goal(state State) float64 {
	wanted := max(c.config.QueueShare*float64(state.Limit), 1)
	correction := (wanted - float64(state.Queued)) / c.config.DrainTime.Seconds()
	return min(max(c.capacity+correction, minGoalShare*c.capacity), maxGoalShare*c.capacity)
}

// fit returns the highest threshold below which no more than the goal arrives,
// short of None: only a target with room ends its shedding.
func (c *Controller) fit(goal float64) uint16 {
	threshold := None - 1
	admitted := c.sum(0, threshold)
	for threshold > c.config.Floor && admitted > goal {
		threshold--
		admitted -= c.rates[threshold]
	}
	return max(threshold, c.config.Floor)
}

// lastOccupied returns the least important rank with arrivals, or the least
// important of all while no arrivals were measured.
func (c *Controller) lastOccupied() uint16 {
	for threshold := None - 1; threshold > c.config.Floor; threshold-- {
		if c.rates[threshold] > negligible {
			return threshold
		}
	}
	return None - 1
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
