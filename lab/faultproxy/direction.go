package faultproxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// direction holds the current faults of one direction and tells waiters of
// changes. It may be used by several goroutines.
type direction struct {
	mutex   sync.Mutex
	faults  Faults
	changed chan struct{} // closed at the next change
	random  *rand.Rand
}

func newDirection(seed uint64) *direction {
	return &direction{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

func (d *direction) set(faults Faults) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults = faults
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *direction) current() (Faults, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.faults, d.changed
}

// delay draws the latency of one chunk.
func (d *direction) delay() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.faults.Jitter == 0 {
		return d.faults.Latency
	}
	return d.faults.Latency + time.Duration(d.random.Int64N(int64(d.faults.Jitter)+1))
}

// lost draws whether a datagram is lost.
func (d *direction) lost() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.faults.Cut != CutNone {
		return true
	}
	return d.faults.Loss > 0 && d.random.Float64() < d.faults.Loss
}

// waitReleased waits while the direction is held.
func (d *direction) waitReleased(ctx context.Context) error {
	return d.waitWhile(ctx, func(f Faults) bool { return f.Hold })
}

// waitWhile waits while the faults meet a condition.
func (d *direction) waitWhile(ctx context.Context, condition func(Faults) bool) error {
	for {
		faults, changed := d.current()
		if !condition(faults) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitUntil waits for a moment.
func waitUntil(ctx context.Context, moment time.Time) error {
	left := time.Until(moment)
	if left <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
