package limit

import (
	"math"
	"time"
)

// Hint records the load that the target reports about itself: its work in
// progress as a fraction of its capacity, 1 being full. Reported load lags and may
// mislead, so a hint can only lower the limit, to 1/load of it and not below
// HintFloor of it, and its effect decays over HintDecay. Values up to 1 have no
// effect: they neither raise the limit nor cancel an earlier hint.
func (l *Limiter) Hint(reportedLoad float64) {
	if !(reportedLoad > 1) || math.IsInf(reportedLoad, 1) {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	factor := max(1/reportedLoad, l.config.HintFloor)
	if factor > l.currentHint(now) {
		return
	}
	l.hintFactor = factor
	l.hintedAt = now
	l.hinted.Store(true)
}

// hintedLimit applies the decayed hint to a published limit.
func (l *Limiter) hintedLimit(published int) int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	factor := l.currentHint(now)
	if factor >= 1 {
		l.hinted.Store(false)
		return published
	}
	return max(int(factor*float64(published)), min(l.config.Minimum, published))
}

// currentHint returns the factor of the last hint, which decays linearly towards 1.
func (l *Limiter) currentHint(now time.Time) float64 {
	age := now.Sub(l.hintedAt)
	if l.hintedAt.IsZero() || age >= l.config.HintDecay {
		return 1
	}
	decayed := float64(age) / float64(l.config.HintDecay)
	return l.hintFactor + (1-l.hintFactor)*decayed
}
