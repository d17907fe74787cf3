package fairshare

import (
	"math"
	"time"
)

// timeConstant is the time constant of the moving average of rates.
const timeConstant = time.Second

// Counter measures a rate as an exponential moving average over timeConstant. The zero value is
// ready to use. It is not safe for concurrent use.
type Counter struct {
	// weight is the weighted number of events at the time last, in nanoseconds.
	weight float64
	last   int64
}

// Add counts n events at the time now, in nanoseconds on a monotonic clock.
func (c *Counter) Add(n float64, now int64) {
	c.weight = c.weightAt(now) + n
	c.last = max(c.last, now)
}

// Rate returns the average rate in events a second. An event that happens now should be added
// afterwards: the average that random events find on arrival is the true one, while one that
// includes them counts each rare event as one a second.
func (c *Counter) Rate(now int64) float64 { return c.weightAt(now) / timeConstant.Seconds() }

func (c *Counter) weightAt(now int64) float64 {
	elapsed := time.Duration(max(now-c.last, 0))
	return c.weight * math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}
