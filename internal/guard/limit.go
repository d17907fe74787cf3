package guard

import (
	"sync/atomic"

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
