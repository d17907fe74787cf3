package retrybudget

import (
	"iter"
	"math"
	"sync"
	"time"
)

// AllowanceConfig bounds an Allowance.
type AllowanceConfig struct {
	// Ratio is the number of repetitions that each request of a span allows.
	Ratio float64
	// CurrentShare is the part of Ratio that is due to the requests of the span itself,
	// between 0 and 1; the rest is due to those of the span before.
	CurrentShare float64
	// Reserve returns the number of repetitions in a span that need no requests. An
	// allowance has none of them before it has lived for a whole span, so that restarts
	// add nothing.
	Reserve func() float64
	// Window is the length of a span.
	Window time.Duration
	// MaxDelay is how much later than it was sent a repetition may arrive.
	MaxDelay time.Duration
}

// Allowance bounds the repetitions that one node sends to one service. A
// repetition is paid for when it is sent, so that in any span of Window
//
//	arriving repetitions <= Ratio x CurrentShare x requests of the span
//	                      + Ratio x (1 - CurrentShare) x requests of the span before
//	                      + Reserve.
//
// Each request and each repetition is counted by the node that sends it and by no
// other. Sums over all nodes therefore obey the same bound, with the sum of the
// reserves, whatever nodes believe of each other, and also if some of them start
// anew, stand still or are cut off. It is safe for concurrent use.
type Allowance struct {
	config AllowanceConfig
	now    func() time.Time
	born   time.Time

	mutex sync.Mutex
	// ring holds the counts of the last spans by slots, of which newest is the last.
	ring   [ringSlots]slotCounts
	newest int64
}

const (
	// slotsPerWindow divides a span into slots of equal length. Counts are kept by slot;
	// what is lost of the bound by that is less than one part in so many.
	slotsPerWindow = 40
	// ringSlots holds the two spans that a bound rests on, the longest delay of half a
	// span, and the slots that are covered in part.
	ringSlots = 2*slotsPerWindow + slotsPerWindow/2 + 2
)

// slotCounts are the requests and repetitions that were sent in one slot.
type slotCounts struct{ requests, repetitions int }

// Charge is a repetition that was paid for.
type Charge struct{ slot int64 }

// NewAllowance returns an allowance without requests.
func NewAllowance(config AllowanceConfig, now func() time.Time) *Allowance {
	return &Allowance{config: config, now: now, born: now()}
}

// CountRequest counts a request that is sent for the first time.
func (a *Allowance) CountRequest() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	a.at(a.newest).requests++
}

// Spend pays for a repetition and reports whether that was possible. The urgency
// lies between 0 and 1: the lower it is, the more of what a span allows must be left
// for others, so that what is scarce goes to the most urgent.
func (a *Allowance) Spend(urgency float64) (Charge, bool) {
	part := spendablePart(urgency)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	for s := range a.spans() {
		if !s.fits(1, part) {
			return Charge{}, false
		}
	}
	a.at(a.newest).repetitions++
	return Charge{slot: a.newest}, true
}

// urgencyExponent shapes how much is left for more urgent repetitions: those of an
// urgency of 0.2 may use up 0.59 of what a span allows; with 1 they might use 0.2, and
// a third of the budget would lie idle while requests fail. With 6 and 8 less urgent
// ones take more in the first seconds of a fault and too little is left later: of the
// requests in the worst two seconds 0.25 and 0.23 are served for 0.28.
const urgencyExponent = 4

// spendablePart returns the part of what a span allows that repetitions of the
// urgency may use up.
func spendablePart(urgency float64) float64 {
	return 1 - math.Pow(1-min(max(urgency, 0), 1), urgencyExponent)
}

// Refund takes back a repetition that was paid for and reached no target.
func (a *Allowance) Refund(payment Charge) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	if a.newest-payment.slot < ringSlots {
		a.at(payment.slot).repetitions--
	}
}

// Balance returns the number of repetitions that can be paid for now.
func (a *Allowance) Balance() float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	left := math.Inf(1)
	for s := range a.spans() {
		left = min(left, s.allowed-s.spent)
	}
	return max(left, 0)
}

// ampleUrgency is the urgency at which repetitions must still be payable for them
// not to count as scarce.
const ampleUrgency = 0.5

// HasHeadroom reports whether repetitions of middling urgency could be paid for now, and so
// many as far as a span allows so many at all.
func (a *Allowance) HasHeadroom(repetitions int) bool {
	part := spendablePart(ampleUrgency)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	for s := range a.spans() {
		if !s.fits(min(float64(repetitions), s.allowed), part) {
			return false
		}
	}
	return true
}

// span is a span that holds the present moment: the repetitions that it allows and
// those that were sent.
type span struct{ allowed, spent float64 }

// fits reports whether so many more repetitions may be sent, of which the last may
// use up no more than the part of what is allowed.
func (s span) fits(repetitions, part float64) bool {
	left := s.allowed - s.spent - repetitions
	kept := (1 - part) * max(s.allowed-1, 0)
	return left >= max(min(kept, s.allowed-repetitions), 0)-balanceSlack
}

// spans are those whose bound a repetition that is sent now must leave intact.
//
// Spans that begin within one slot are taken together: what may have come before the
// span counts among its repetitions, and a request of that slot counts with the
// lesser of the two shares.
func (a *Allowance) spans() iter.Seq[span] {
	return func(yield func(span) bool) {
		present := a.config.Ratio * a.config.CurrentShare
		before := a.config.Ratio * (1 - a.config.CurrentShare)
		reserve := a.reserve()
		delay := a.slotsOf(a.config.MaxDelay)
		spent := a.sum(a.newest-delay+1, a.newest).repetitions
		requests := 0
		requestsBefore := a.sum(a.newest-slotsPerWindow+1, a.newest-1).requests
		for began := a.newest; began >= a.newest-slotsPerWindow; began-- {
			within := a.at(began).requests
			spent += a.at(began - delay).repetitions
			allowed := reserve + present*float64(requests) + min(present, before)*float64(within) + before*float64(requestsBefore)
			if !yield(span{allowed: allowed, spent: float64(spent)}) {
				return
			}
			requests += within
			requestsBefore += a.at(began-slotsPerWindow).requests - a.at(began-1).requests
		}
	}
}

// sum adds up the counts of the slots from the first to the last.
func (a *Allowance) sum(first, last int64) slotCounts {
	var total slotCounts
	for slot := first; slot <= last; slot++ {
		counts := a.at(slot)
		total.requests += counts.requests
		total.repetitions += counts.repetitions
	}
	return total
}

// reserve returns the repetitions that need no requests.
func (a *Allowance) reserve() float64 {
	if a.now().Sub(a.born) <= a.config.Window+a.config.MaxDelay {
		return 0
	}
	return a.config.Reserve()
}

// at returns the counts of a slot that the ring holds. Slots before the first are
// empty.
func (a *Allowance) at(slot int64) *slotCounts {
	return &a.ring[(slot%ringSlots+ringSlots)%ringSlots]
}

// slotsOf returns the number of slots that hold a length of time.
func (a *Allowance) slotsOf(length time.Duration) int64 {
	width := a.config.Window / slotsPerWindow
	return min(int64((length+width-1)/width), slotsPerWindow/2)
}

// turn begins the slots up to the present one.
func (a *Allowance) turn() {
	present := int64(a.now().Sub(a.born) / (a.config.Window / slotsPerWindow))
	if present-a.newest >= ringSlots {
		a.ring = [ringSlots]slotCounts{}
		a.newest = present
		return
	}
	for a.newest < present {
		a.newest++
		*a.at(a.newest) = slotCounts{}
	}
}
