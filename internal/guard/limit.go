package guard

import (
	"sync/atomic"

	"github.com/lugspur/lugspur/internal/limit"
)

// fixedLimit is a concurrency limit that isn't adapted to the outcomes of calls: the
// target declares its slots, and only this guard sends calls to it.
type fixedLimit struct {
	value atomic.Int64
}

// Limit returns how many calls may be in flight.
func (f *fixedLimit) Limit() int { return int(f.value.Load()) }

// Observe does nothing, as the limit is fixed.
func (f *fixedLimit) Observe(limit.Sample) {}

func (f *fixedLimit) set(value int) { f.value.Store(int64(value)) }
