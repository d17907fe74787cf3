package ending

import (
	"cmp"
	"math"
	"time"
)

const (
	// historyPeriod is the length of one of the two periods that a history covers.
	historyPeriod = time.Minute
	// tailShare is the share of durations that exceed the tail at most.
	tailShare = 0.01
	// bucketsPerOctave and bucketCount set the resolution and the range of durations.
	bucketsPerOctave = 4
	bucketCount      = 64
)

// periods returns how many periods, up to two, have passed since the start of the current one.
func periods(started, now time.Time) int {
	return int(min(max(now.Sub(started), 0)/historyPeriod, 2))
}

// Recent holds the largest value of the last one to two periods. It is not safe for concurrent use.
type Recent[T cmp.Ordered] struct {
	current, previous T
	started           time.Time
}

// Record records a value.
func (r *Recent[T]) Record(value T, now time.Time) {
	r.rotate(now)
	r.current = max(r.current, value)
}

// Max returns the largest recent value, the zero value if there is none.
func (r *Recent[T]) Max(now time.Time) T {
	r.rotate(now)
	return max(r.current, r.previous)
}

func (r *Recent[T]) rotate(now time.Time) {
	passed := periods(r.started, now)
	if passed == 0 {
		return
	}
	var none T
	r.previous, r.current = r.current, none
	if passed > 1 {
		r.previous = none
	}
	r.started = now
}

// Durations holds the distribution of durations in the last one to two periods. The zero value is
// empty. It is not safe for concurrent use.
type Durations struct {
	current, previous *histogram
	started           time.Time
}

// histogram counts durations in buckets that grow exponentially from a millisecond.
type histogram struct {
	counts [bucketCount]uint32
	total  uint32
}

// Record records a duration.
func (d *Durations) Record(duration time.Duration, now time.Time) {
	d.rotate(now)
	if d.current == nil {
		d.current = &histogram{}
	}
	d.current.counts[bucketOf(duration)]++
	d.current.total++
}

// Tail returns a duration that few recent ones exceed, zero if there are none.
func (d *Durations) Tail(now time.Time) time.Duration {
	d.rotate(now)
	total := d.current.count(0) + d.previous.count(0)
	if total == 0 {
		return 0
	}
	bucket := bucketCount - 1
	for bucket > 0 && float64(d.current.count(bucket)+d.previous.count(bucket)) <= tailShare*float64(total) {
		bucket--
	}
	return upperBound(bucket)
}

func (d *Durations) rotate(now time.Time) {
	passed := periods(d.started, now)
	if passed == 0 {
		return
	}
	d.previous, d.current = d.current, nil
	if passed > 1 {
		d.previous = nil
	}
	d.started = now
}

// count returns the number of durations in the bucket and those after it.
func (h *histogram) count(bucket int) uint32 {
	if h == nil {
		return 0
	}
	if bucket == 0 {
		return h.total
	}
	var count uint32
	for _, c := range h.counts[bucket:] {
		count += c
	}
	return count
}

func bucketOf(duration time.Duration) int {
	octaves := math.Log2(max(duration.Seconds()*1000, 1))
	return min(int(octaves*bucketsPerOctave), bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1)/bucketsPerOctave) * float64(time.Millisecond))
}
