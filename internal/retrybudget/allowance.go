package retrybudget

import (
	"sync"
	"time"
)

// AllowanceConfig bounds an Allowance.
type AllowanceConfig struct {
	// EarnedShare is the number of repetitions that one request pays for.
	EarnedShare float64
	// SavedShare is the part of the requests of the last Window that may be saved
	// up as repetitions.
	SavedShare float64
	// Reserve returns the number of repetitions that may be saved up beyond that. A
	// new allowance has none, so that restarts add nothing.
	Reserve func() float64
	// Window is the span over which the bound holds.
	Window time.Duration
}

// Allowance bounds the repetitions that one node sends to one service. A
// repetition is paid for when it is sent, so that in any span of Window
//
//	repetitions <= EarnedShare x requests of the span
//	             + SavedShare x requests of the span before + Reserve.
//
// Each request and each repetition is counted by the node that sends it and by no
// other. Sums over all nodes therefore obey the same bound, with the sum of the
// reserves, whatever nodes believe of each other, and also if some of them start
// anew, stand still or are cut off. It is safe for concurrent use.
type Allowance struct {
	config AllowanceConfig
	now    func() time.Time

	mutex   sync.Mutex
	balance float64
	// recent and earlier count the requests of two half windows that follow each
	// other.
	recent, earlier int
	windowBegan     time.Time
}

// NewAllowance returns an allowance of which nothing is saved up.
func NewAllowance(config AllowanceConfig, now func() time.Time) *Allowance {
	return &Allowance{config: config, now: now, windowBegan: now()}
}

// Request counts a request that is sent for the first time.
func (a *Allowance) Request() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	a.recent++
	a.balance = min(a.balance+a.config.EarnedShare, a.most())
}

// Spend pays for a repetition and reports whether that was possible. The urgency
// lies between 0 and 1: the lower it is, the more must be left for others, so
// that what is scarce goes to the most urgent.
func (a *Allowance) Spend(urgency float64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	kept := (1 - min(max(urgency, 0), 1)) * max(a.most()-1, 0)
	if a.balance < 1+kept-balanceSlack {
		return false
	}
	a.balance--
	return true
}

// Return takes back a repetition that was paid for and reached no target.
func (a *Allowance) Return() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	a.balance = min(a.balance+1, a.most())
}

// Balance returns the number of repetitions that can be paid for now.
func (a *Allowance) Balance() float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	return a.balance
}

// Ample reports whether at least half of what can be saved up is left, and so many
// repetitions can be paid for as far as so many can be saved up at all.
func (a *Allowance) Ample(repetitions int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.turn()
	return a.balance >= max(min(float64(repetitions), a.most()), a.most()/2)-balanceSlack
}

// most returns how many repetitions may be saved up.
func (a *Allowance) most() float64 {
	return a.config.Reserve() + a.config.SavedShare*float64(a.recent+a.earlier)
}

// turn begins a new half window when the present one is over.
func (a *Allowance) turn() {
	half := a.config.Window / 2
	age := a.now().Sub(a.windowBegan)
	if age < half {
		return
	}
	a.earlier = a.recent
	if age >= 2*half {
		a.earlier = 0
	}
	a.recent = 0
	a.windowBegan = a.now()
	a.balance = min(a.balance, a.most())
}
