package retrybudget_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/grant"
	"github.com/lugspur/lugspur/internal/retrybudget"
)

type clock struct{ time time.Time }

func (c *clock) now() time.Time { return c.time }

var (
	epoch              = time.Unix(1000, 0)
	_     grant.Ledger = (*retrybudget.Ledger)(nil)
)

func requestID(n int) callcontext.RequestID {
	return callcontext.RequestID{byte(n), byte(n >> 8), byte(n >> 16)}
}

func token(n int) grant.Token { return grant.Token{byte(n), byte(n >> 8)} }

func TestLedgerGrantsUpToTheBudgetOncePerToken(t *testing.T) {
	l := retrybudget.NewLedger(10, func() time.Time { return epoch })
	id := requestID(1)
	assert.Assert(t, !l.Grant(id, token(1)), "unknown")
	assert.Assert(t, l.Open(id, 2, epoch.Add(time.Second)))
	for range 3 {
		assert.Assert(t, l.Grant(id, token(1)))
	}
	assert.Equal(t, l.Spent(id), 1)
	assert.Assert(t, l.Open(id, 9, epoch.Add(time.Hour)), "opening again has no effect")
	assert.Assert(t, l.Grant(id, token(2)))
	for range 3 {
		assert.Assert(t, !l.Grant(id, token(3)), "opening again must not refill")
	}
	assert.Assert(t, l.Grant(id, token(2)))
	l.Close(id)
	assert.Assert(t, !l.Grant(id, token(1)), "closed")
}

func TestLedgerExpiresAndIsBounded(t *testing.T) {
	c := &clock{time: epoch}
	l := retrybudget.NewLedger(64, c.now)
	accepted := 0
	for i := range 10000 {
		if l.Open(requestID(i), 1, epoch.Add(time.Second)) {
			accepted++
		}
	}
	assert.Equal(t, accepted, 64)
	assert.Equal(t, l.Len(), 64)
	assert.Assert(t, l.Grant(requestID(0), token(1)))
	c.time = epoch.Add(time.Second)
	assert.Assert(t, !l.Grant(requestID(0), token(1)), "expired")
	assert.Assert(t, l.Open(requestID(20000), 1, c.time.Add(time.Second)), "expired entries free capacity")
	assert.Assert(t, l.Open(requestID(0), 1, c.time.Add(time.Second)))
	assert.Equal(t, l.Spent(requestID(0)), 0)
}

func TestLedgerNeverExceedsTheBudgetConcurrently(t *testing.T) {
	const budget = 3
	l := retrybudget.NewLedger(0, time.Now)
	id := callcontext.NewRequestID()
	l.Open(id, budget, time.Now().Add(time.Minute))
	var granted atomic.Int64
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := range 100 {
				if l.Grant(id, token(worker*100+i)) {
					granted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, granted.Load(), int64(budget))
}

func TestLedgerAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := retrybudget.NewLedger(1000, func() time.Time { return epoch })
		budgets := make(map[int]int)
		grants := make(map[[2]int]bool)
		for range rapid.IntRange(1, 100).Draw(r, "steps") {
			request := rapid.IntRange(0, 3).Draw(r, "request")
			if rapid.IntRange(0, 4).Draw(r, "action") == 0 {
				left := rapid.IntRange(-1, 5).Draw(r, "retries")
				l.Open(requestID(request), left, epoch.Add(time.Second))
				if _, open := budgets[request]; !open {
					budgets[request] = max(left, 0)
				}
				continue
			}
			tokenNumber := rapid.IntRange(0, 6).Draw(r, "token")
			left, open := budgets[request]
			want := grants[[2]int{request, tokenNumber}] || open && left > 0
			if got := l.Grant(requestID(request), token(tokenNumber)); got != want {
				r.Fatalf("request %d token %d: granted %t, want %t", request, tokenNumber, got, want)
			}
			if want && !grants[[2]int{request, tokenNumber}] {
				grants[[2]int{request, tokenNumber}] = true
				budgets[request]--
			}
		}
	})
}

func allowed(r *retrybudget.Ratio, attempts int) int {
	count := 0
	for range attempts {
		if r.Allow() {
			count++
		}
	}
	return count
}

func TestRatio(t *testing.T) {
	c := &clock{time: epoch}
	r := retrybudget.NewRatio(retrybudget.RatioConfig{}, c.now)
	assert.Equal(t, allowed(r, 100), 5, "the reserve")
	for range 200 {
		r.RecordSuccess()
	}
	assert.Equal(t, allowed(r, 100), 20, "a tenth of the successes")
	c.time = c.time.Add(3 * time.Second)
	assert.Equal(t, allowed(r, 100), 3, "the reserve refills slowly")
	c.time = c.time.Add(time.Hour)
	assert.Equal(t, allowed(r, 100), 5, "up to its maximum")
}

func TestRatioDecaysOldSuccesses(t *testing.T) {
	c := &clock{time: epoch}
	r := retrybudget.NewRatio(retrybudget.RatioConfig{}, c.now)
	for range 100000 {
		r.RecordSuccess()
	}
	assert.Equal(t, r.Balance(), 100.0)
	c.time = c.time.Add(10 * time.Second)
	assert.Equal(t, r.Balance(), 52.5)
	c.time = c.time.Add(10 * time.Minute)
	assert.Equal(t, allowed(r, 100), 5)
}

func TestRatioLimitsRetryStorm(t *testing.T) {
	c := &clock{time: epoch}
	r := retrybudget.NewRatio(retrybudget.RatioConfig{Share: 0.2}, c.now)
	successes, retries := 0, 0
	for i := range 60000 {
		c.time = c.time.Add(time.Millisecond)
		if i%2 == 0 {
			r.RecordSuccess()
			successes++
			continue
		}
		retries += allowed(r, 1)
	}
	assert.Assert(t, float64(retries) <= 0.2*float64(successes)+5+60, "%d retries", retries)
	assert.Assert(t, float64(retries) > 0.15*float64(successes), "%d retries", retries)
}
