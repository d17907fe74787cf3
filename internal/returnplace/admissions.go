package returnplace

import (
	"sync/atomic"
	"time"
)

const (
	// slotLength is the length of the time slots in which admitted requests are counted.
	slotLength = 100 * time.Millisecond
	// slotCount is the number of slots that the rate of admitted requests is averaged over.
	slotCount  = 20
	rateWindow = slotCount * slotLength
	// slotShift separates the number of a slot from the count in it.
	slotShift = 32
)

// admissions counts the admitted requests of one route and level within the rate window. It is
// safe for concurrent use and takes no lock.
type admissions struct {
	// slots hold the number of the slot in the upper half and the count in the lower one.
	slots [slotCount]atomic.Uint64
}

// add counts a request in the slot, unless the slot's place was taken by a later one.
func (a *admissions) add(slot uint32) {
	counter := &a.slots[slot%slotCount]
	for {
		old := counter.Load()
		updated := old + 1
		switch counted := uint32(old >> slotShift); {
		case counted > slot:
			return
		case counted < slot:
			updated = uint64(slot)<<slotShift + 1
		}
		if counter.CompareAndSwap(old, updated) {
			return
		}
	}
}

// rate returns the average rate of admitted requests per second in the window that ends with
// the slot. The slot itself is not over yet, so that the rate is up to a twentieth too low.
func (a *admissions) rate(slot uint32) float64 {
	total := uint32(0)
	for i := range a.slots {
		value := a.slots[i].Load()
		if slot-uint32(value>>slotShift) < slotCount {
			total += uint32(value)
		}
	}
	return float64(total) / rateWindow.Seconds()
}
