package faultproxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// direction holds the current faults of one direction and notifies waiters of
// changes. It is safe for concurrent use.
type direction struct {
	mutex   sync.Mutex
	faults  Faults
	changed chan struct{} // closed at the next change
	random  *rand.Rand
}

func newDirection(seed uint64) *direction {
	return &direction{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

func (d *direction) setFaults(faults Faults) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults = faults
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *direction) currentFaults() (Faults, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.faults, d.changed
}

// randomDelay returns the latency of one chunk, with random jitter.
func (d *direction) randomDelay() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.faults.Jitter == 0 {
		return d.faults.Latency
	}
	return d.faults.Latency + time.Duration(d.random.Int64N(int64(d.faults.Jitter)+1))
}

// shouldDrop decides at random whether to drop a datagram.
func (d *direction) shouldDrop() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.faults.Cut != CutNone {
		return true
	}
	return d.faults.Loss > 0 && d.random.Float64() < d.faults.Loss
}

// waitWhileHeld waits until Hold is not set.
func (d *direction) waitWhileHeld(ctx context.Context) error {
	return d.waitWhile(ctx, func(f Faults) bool { return f.Hold })
}

// waitWhile waits until the faults don't meet the condition.
func (d *direction) waitWhile(ctx context.Context, condition func(Faults) bool) error {
	for {
		faults, changed := d.currentFaults()
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

// sleepUntil waits until the given time or until the context ends.
func sleepUntil(ctx context.Context, deadline time.Time) error {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
