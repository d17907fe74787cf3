package guard

import (
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/limit"
)

// fixedLimit is a concurrency limit that only its owner moves: the target tells
// its slots, and nobody else sends to it.
type fixedLimit struct {
	value atomic.Int64
}

// Limit returns how many calls may be in flight.
func (f *fixedLimit) Limit() int { return int(f.value.Load()) }

// Observe changes nothing.
func (f *fixedLimit) Observe(limit.Sample) {}

func (f *fixedLimit) set(value int) { f.value.Store(int64(value)) }

// meanLatency is a moving average of the time of answered calls. It is safe for
// concurrent use; a lost update among concurrent ones does no harm.
type meanLatency struct {
	nanoseconds atomic.Int64
}

// latencyWeight is the part of the average that one call makes up.
const latencyWeight = 16

func (m *meanLatency) add(latency time.Duration) {
	old := m.nanoseconds.Load()
	if old == 0 {
		m.nanoseconds.Store(int64(latency))
		return
	}
	m.nanoseconds.Store(old + (int64(latency)-old)/latencyWeight)
}

func (m *meanLatency) value() time.Duration { return time.Duration(m.nanoseconds.Load()) }
