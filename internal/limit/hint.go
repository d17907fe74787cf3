package limit

import (
	"math"
	"time"
)

// Hint takes the load which the target reports of itself: work in hand as a
// share of what it can carry, 1 being full. Reported load lags and misleads, so
// a hint can only lower the limit, by 1/load and not below HintFloor of it,
// and its effect fades out over HintDecay. Values up to 1 change nothing; in
// particular they neither raise the limit nor cancel an earlier hint.
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
	l.hintTime = now
	l.hinted.Store(true)
}

// hintedLimit applies the faded hint to a published limit.
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

// currentHint returns the factor of the last hint, risen linearly towards 1.
func (l *Limiter) currentHint(now time.Time) float64 {
	age := now.Sub(l.hintTime)
	if l.hintTime.IsZero() || age >= l.config.HintDecay {
		return 1
	}
	faded := float64(age) / float64(l.config.HintDecay)
	return l.hintFactor + (1-l.hintFactor)*faded
}
