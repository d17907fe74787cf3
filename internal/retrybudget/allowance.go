package retrybudget

import (
	"iter"
	"math"
	"sync"
	"time"
)

// AllowanceConfig configures an Allowance.
type AllowanceConfig struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// CurrentShare is the share of Ratio that a request contributes to the window that
	// contains it, between 0 and 1; it contributes the rest to the window after that.
	CurrentShare float64
	// Reserve returns the number of retries per window that are allowed without
	// requests. A new allowance has no reserve until it is older than a window plus
	// the longest delay, so that restarts add no retries.
	Reserve func() float64
	// Window is the length of a window.
	Window time.Duration
	// MaxDelay is the longest time from sending a retry to its arrival.
	MaxDelay time.Duration
}

// Allowance bounds the retries that one node sends to one service. A retry is
// charged when it is sent, so that in any window, a period of length Window,
//
//	arriving retries <= Ratio x CurrentShare x requests in the window
//	                  + Ratio x (1 - CurrentShare) x requests in the window before
//	                  + Reserve.
//
// Each request and each retry is counted only by the node that sends it. The sums
// over all nodes therefore obey the same bound, with the sum of the reserves. This
// requires no agreement between nodes and also holds if some of them restart, pause
// or are partitioned. It is safe for concurrent use.
type Allowance struct {
	config  AllowanceConfig
	now     func() time.Time
	created time.Time

	mutex sync.Mutex
	// ring holds the counts of the latest slots, of which newest is the last.
	ring   [ringSlots]slotCounts
	newest int64
}

const (
	// slotsPerWindow is the number of slots of equal length in a window. Counts are kept
	// per slot, which wastes less than 1/slotsPerWindow of what the bound allows.
	slotsPerWindow = 40
	// ringSlots covers the two windows that the bound depends on, the longest delay of
	// half a window, and the partly covered slots.
	ringSlots = 2*slotsPerWindow + slotsPerWindow/2 + 2
)

// slotCounts holds the numbers of requests and retries sent in one slot.
type slotCounts struct{ requests, retries int }

// Charge identifies a retry that was charged to an Allowance.
type Charge struct{ slot int64 }

// NewAllowance returns an allowance with no requests counted.
func NewAllowance(config AllowanceConfig, now func() time.Time) *Allowance {
	return &Allowance{config: config, now: now, created: now()}
}

// CountRequest counts the first attempt of a request.
func (a *Allowance) CountRequest() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance()
	a.countsAt(a.newest).requests++
}

// Spend charges one retry and reports whether the budget permits it. The urgency is
// between 0 and 1: the lower it is, the larger the share of the budget that must be
// left for other retries, so that a scarce budget goes to the most urgent ones.
func (a *Allowance) Spend(urgency float64) (Charge, bool) {
	share := spendableShare(urgency)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance()
	for w := range a.windows() {
		if !w.fits(1, share) {
			return Charge{}, false
		}
	}
	a.countsAt(a.newest).retries++
	return Charge{slot: a.newest}, true
}

// urgencyExponent determines how much budget is left for more urgent retries.
// Retries of urgency 0.2 may spend 0.59 of a window's budget. With an exponent of 1
// they could spend only 0.2, and a third of the budget would stay unused while
// requests fail. With 6 and 8, less urgent retries spend more in the first seconds of
// a fault and leave too little for later: in the worst two seconds 0.25 and 0.23 of
// the requests succeed instead of 0.28.
const urgencyExponent = 4

// spendableShare returns the share of a window's budget that retries of the given
// urgency may spend.
func spendableShare(urgency float64) float64 {
	return 1 - math.Pow(1-min(max(urgency, 0), 1), urgencyExponent)
}

// Refund refunds a retry that reached no target.
func (a *Allowance) Refund(charge Charge) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance()
	if a.newest-charge.slot < ringSlots {
		a.countsAt(charge.slot).retries--
	}
}

// Balance returns the number of retries that the budget currently permits.
func (a *Allowance) Balance() float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance()
	left := math.Inf(1)
	for w := range a.windows() {
		left = min(left, w.allowed-w.spent)
	}
	return max(left, 0)
}

// headroomUrgency is the urgency at which retries must still be possible for the
// budget not to count as scarce.
const headroomUrgency = 0.5

// HasHeadroom reports whether the budget currently permits the given number of retries of
// medium urgency. Numbers above a window's total budget are capped to it.
func (a *Allowance) HasHeadroom(retries int) bool {
	share := spendableShare(headroomUrgency)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance()
	for w := range a.windows() {
		if !w.fits(min(float64(retries), w.allowed), share) {
			return false
		}
	}
	return true
}

// window holds, for a window that contains the current time, the number of retries
// that it allows and the number already sent.
type window struct{ allowed, spent float64 }

// fits reports whether the given number of further retries may be sent such that the
// last one stays within the given share of the budget.
func (w window) fits(retries, share float64) bool {
	left := w.allowed - w.spent - retries
	withheld := (1 - share) * max(w.allowed-1, 0)
	return left >= max(min(withheld, w.allowed-retries), 0)-balanceTolerance
}

// windows returns the windows whose bounds a retry sent now must respect.
//
// Windows that start within the same slot are treated as one, conservatively: all
// retries that may arrive in that slot count as arriving in the window, and its
// requests count with the smaller of the two shares.
func (a *Allowance) windows() iter.Seq[window] {
	return func(yield func(window) bool) {
		currentShare := a.config.Ratio * a.config.CurrentShare
		previousShare := a.config.Ratio * (1 - a.config.CurrentShare)
		reserve := a.reserve()
		delay := a.slotCount(a.config.MaxDelay)
		spent := a.sum(a.newest-delay+1, a.newest).retries
		requests := 0
		previousRequests := a.sum(a.newest-slotsPerWindow+1, a.newest-1).requests
		for start := a.newest; start >= a.newest-slotsPerWindow; start-- {
			inSlot := a.countsAt(start).requests
			spent += a.countsAt(start - delay).retries
			allowed := reserve + currentShare*float64(requests) + min(currentShare, previousShare)*float64(inSlot) + previousShare*float64(previousRequests)
			if !yield(window{allowed: allowed, spent: float64(spent)}) {
				return
			}
			requests += inSlot
			previousRequests += a.countsAt(start-slotsPerWindow).requests - a.countsAt(start-1).requests
		}
	}
}

// sum returns the total counts of the slots from first to last, inclusive.
func (a *Allowance) sum(first, last int64) slotCounts {
	var total slotCounts
	for slot := first; slot <= last; slot++ {
		counts := a.countsAt(slot)
		total.requests += counts.requests
		total.retries += counts.retries
	}
	return total
}

// reserve returns the number of retries allowed without requests.
func (a *Allowance) reserve() float64 {
	if a.now().Sub(a.created) <= a.config.Window+a.config.MaxDelay {
		return 0
	}
	return a.config.Reserve()
}

// countsAt returns the counts of a slot in the ring. Slots before the first are
// empty.
func (a *Allowance) countsAt(slot int64) *slotCounts {
	return &a.ring[(slot%ringSlots+ringSlots)%ringSlots]
}

// slotCount returns the number of slots that cover a duration, at most half a window.
func (a *Allowance) slotCount(duration time.Duration) int64 {
	width := a.config.Window / slotsPerWindow
	return min(int64((duration+width-1)/width), slotsPerWindow/2)
}

// advance starts new slots up to the current one.
func (a *Allowance) advance() {
	current := int64(a.now().Sub(a.created) / (a.config.Window / slotsPerWindow))
	if current-a.newest >= ringSlots {
		a.ring = [ringSlots]slotCounts{}
		a.newest = current
		return
	}
	for a.newest < current {
		a.newest++
		*a.countsAt(a.newest) = slotCounts{}
	}
}
