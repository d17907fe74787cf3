package retrybudget

import (
	"math"
	"sync"
	"time"
)

// Defaults of RatioConfig.
const (
	DefaultShare            = 0.1
	DefaultReservePerSecond = 1.0
	DefaultReserve          = 5.0
	DefaultMaxBalance       = 100.0
	DefaultHalfLife         = 10 * time.Second
)

// RatioConfig configures a Ratio. A zero field takes its default.
type RatioConfig struct {
	// Share is the number of retries that one success earns, between 0 and 1.
	Share float64
	// ReservePerSecond is the number of retries per second allowed without successes.
	ReservePerSecond float64
	// Reserve is the balance up to which the reserve refills, in retries.
	Reserve float64
	// MaxBalance is the maximum balance, in retries.
	MaxBalance float64
	// HalfLife is the time in which the balance above Reserve halves, so that
	// old successes do not fund a retry storm.
	HalfLife time.Duration
}

// Ratio limits a node's retries to a share of its successes. It is safe for
// concurrent use.
type Ratio struct {
	config RatioConfig
	now    func() time.Time

	mu      sync.Mutex
	balance float64
	updated time.Time
}

// NewRatio returns a Ratio with a full reserve.
func NewRatio(config RatioConfig, now func() time.Time) *Ratio {
	config.Share = positiveOr(config.Share, DefaultShare)
	config.ReservePerSecond = positiveOr(config.ReservePerSecond, DefaultReservePerSecond)
	config.Reserve = positiveOr(config.Reserve, DefaultReserve)
	config.MaxBalance = max(positiveOr(config.MaxBalance, DefaultMaxBalance), config.Reserve)
	if config.HalfLife <= 0 {
		config.HalfLife = DefaultHalfLife
	}
	return &Ratio{config: config, now: now, balance: config.Reserve, updated: now()}
}

// RecordSuccess adds Share to the balance for a successful call.
func (r *Ratio) RecordSuccess() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.balance = min(r.balance+r.config.Share, r.config.MaxBalance)
}

// Allow spends one retry and reports whether one was left.
func (r *Ratio) Allow() bool {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if r.balance < 1-balanceTolerance {
		return false
	}
	r.balance = max(r.balance-1, 0)
	return true
}

// Balance returns the number of retries currently allowed.
func (r *Ratio) Balance() float64 {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	return r.balance
}

// advance refills the reserve, or decays the balance above it.
func (r *Ratio) advance(now time.Time) {
	elapsed := now.Sub(r.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	r.updated = now
	surplus := r.balance - r.config.Reserve
	if surplus > 0 {
		r.balance = r.config.Reserve + surplus*math.Exp2(-elapsed/r.config.HalfLife.Seconds())
		return
	}
	r.balance = min(r.balance+elapsed*r.config.ReservePerSecond, r.config.Reserve)
}

// balanceTolerance absorbs rounding errors in sums of shares.
const balanceTolerance = 1e-9

func positiveOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
