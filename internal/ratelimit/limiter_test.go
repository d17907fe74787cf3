package ratelimit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// fakeHolder handles the permit requests for all shards.
type fakeHolder struct {
	mutex    sync.Mutex
	issuer   *Issuer
	requests int
	// err, if not nil, is returned instead of a grant. Responses are sent after delay.
	err   error
	delay time.Duration
}

func newFakeHolder(tenant *routetable.Tenant) *fakeHolder {
	h := &fakeHolder{issuer: NewIssuer(testBounds, func(string) *routetable.Tenant { return tenant }, time.Now)}
	for number := range Shards {
		h.issuer.Hold(number, time.Now(), time.Now().Add(time.Hour))
	}
	return h
}

func (h *fakeHolder) Holder(int) (Holder, bool) { return Holder{Address: "holder"}, true }

func (h *fakeHolder) request(ctx context.Context, _ Holder, request *PermitRequest) (*Grant, error) {
	h.mutex.Lock()
	h.requests++
	err, delay := h.err, h.delay
	h.mutex.Unlock()
	select {
	case <-time.After(delay + 2*time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return h.issuer.Issue(request), nil
}

func TestUnlimitedTenantNeedsNoPermit(t *testing.T) {
	limiter := NewLimiter(nil, nil, time.Now)
	decision := limiter.Admit(t.Context(), &routetable.Tenant{Name: "free"})
	assert.Equal(t, decision.Outcome, Admitted)
	limiter.Return(&routetable.Tenant{Name: "free"}, decision)
}

// TestSingleNodeAdmitsFullLimit sends five times a tenant's limit on one node for 10 s.
func TestSingleNodeAdmitsFullLimit(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newFakeHolder(testTenant)
		limiter := NewLimiter(h, h.request, time.Now)
		time.Sleep(5 * time.Second)
		var pending sync.WaitGroup
		var mutex sync.Mutex
		admitted := 0
		for range 5000 {
			time.Sleep(2 * time.Millisecond)
			pending.Go(func() {
				decision := limiter.Admit(t.Context(), testTenant)
				mutex.Lock()
				defer mutex.Unlock()
				if decision.Outcome == Admitted {
					admitted++
					return
				}
				assert.Equal(t, decision.Outcome, LimitReached)
				assert.Assert(t, decision.RetryAfter >= minRetryDelay && decision.RetryAfter < 4*maxRetryDelay, "%s", decision.RetryAfter)
			})
		}
		pending.Wait()
		t.Logf("%d of 5000 admitted with %d permit requests", admitted, h.requests)
		assert.Assert(t, admitted >= 1050 && admitted <= 1110, "%d", admitted)
		assert.Assert(t, h.requests < 1500, "%d permit requests", h.requests)
	})
}

// TestReturnedPermitIsReused checks that the permit of a request that was not executed admits
// another request until it expires.
func TestReturnedPermitIsReused(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newFakeHolder(testTenant)
		limiter := NewLimiter(h, h.request, time.Now)
		time.Sleep(5 * time.Second)
		decision := limiter.Admit(t.Context(), testTenant)
		assert.Equal(t, decision.Outcome, Admitted)
		limiter.Return(testTenant, decision)
		requests := h.requests
		assert.Equal(t, limiter.Admit(t.Context(), testTenant).Outcome, Admitted)
		assert.Equal(t, h.requests, requests)
		limiter.Return(testTenant, decision)
		time.Sleep(maxValidity)
		limiter.Admit(t.Context(), testTenant)
		assert.Equal(t, h.requests, requests+1, "an expired permit is not reused")
	})
}

// TestUnavailableHolders checks a holder that does not respond and then fails: requests wait for
// one permit request and are then refused as unavailable.
func TestUnavailableHolders(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newFakeHolder(testTenant)
		h.delay = time.Minute
		limiter := NewLimiter(h, h.request, time.Now)
		started := time.Now()
		decision := limiter.Admit(t.Context(), testTenant)
		assert.Equal(t, decision.Outcome, Unavailable)
		assert.Equal(t, time.Since(started), requestTimeout)
		assert.Equal(t, decision.HoldersAsked, 1)
		assert.Equal(t, limiter.Admit(t.Context(), testTenant).Outcome, Unavailable)
		assert.Equal(t, time.Since(started), requestTimeout, "no second request is sent immediately to a silent holder")
		h.delay, h.err = 0, errors.New("refused")
		time.Sleep(silentBackoff)
		started = time.Now()
		assert.Equal(t, limiter.Admit(t.Context(), testTenant).Outcome, Unavailable)
		assert.Assert(t, time.Since(started) <= maxWait)
		h.err = nil
		assert.Equal(t, limiter.Admit(t.Context(), testTenant).Outcome, Admitted)
		assert.Assert(t, time.Since(started) <= 2*maxWait)
	})
}

// TestRestartedHolderIsRetriedSoon checks holders that report that they hold no shard, as right
// after a restart of the whole cluster. When all processes were killed, requests were refused
// for a second after the shards were held again, as their limit could not be checked: 77 of the
// sampled refusals fell in that second, none later.
func TestRestartedHolderIsRetriedSoon(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newFakeHolder(testTenant)
		for number := range Shards {
			h.issuer.Release(number)
		}
		limiter := NewLimiter(h, h.request, time.Now)
		go func() {
			time.Sleep(200 * time.Millisecond)
			for number := range Shards {
				h.issuer.Hold(number, time.Now().Add(-time.Second), time.Now().Add(time.Hour))
			}
		}()
		started := time.Now()
		assert.Equal(t, limiter.Admit(t.Context(), testTenant).Outcome, Admitted)
		assert.Assert(t, time.Since(started) <= maxWait)
	})
}

// TestAdmitStopsOnCancellation cancels a request while its permit request is in flight.
func TestAdmitStopsOnCancellation(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newFakeHolder(testTenant)
		h.delay = 150 * time.Millisecond
		limiter := NewLimiter(h, h.request, time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		started := time.Now()
		assert.Equal(t, limiter.Admit(ctx, testTenant).Outcome, Unavailable)
		assert.Equal(t, time.Since(started), 50*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestReducedLimitAppliesImmediately reduces a tenant's limit to a tenth while its bucket is
// full, and raises it again.
func TestReducedLimitAppliesImmediately(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		tenant := routetable.Tenant{Name: "tenant", Rate: 100, Burst: 100}
		h := newFakeHolder(&tenant)
		time.Sleep(5 * time.Second)
		request := &PermitRequest{Tenant: "tenant", Needed: 1000}
		tenant.Rate, tenant.Burst = 10, 10
		assert.Equal(t, h.issuer.Issue(request).Issued, 2, "a quarter of the burst")
		time.Sleep(time.Second)
		assert.Equal(t, h.issuer.Issue(request).Issued, 2, "a quarter of the burst")
		tenant.Rate, tenant.Burst = 100, 100
		assert.Equal(t, h.issuer.Issue(request).Issued, 0, "a raised limit does not accrue permits for the past")
		time.Sleep(time.Second)
		assert.Equal(t, h.issuer.Issue(request).Issued, 25)
		tenant.Rate = 0
		assert.Equal(t, h.issuer.Issue(request).Issued, 1000, "no limit")
	})
}

// TestHolderWithoutTenant checks a holder whose configuration lacks the tenant.
func TestHolderWithoutTenant(t *testing.T) {
	h := newFakeHolder(nil)
	grant := h.issuer.Issue(&PermitRequest{Tenant: "tenant", Needed: 1})
	assert.Assert(t, grant.Held)
	assert.Equal(t, grant.Issued, 0)
	assert.Equal(t, grant.RetryAfter, minRetryDelay)
	h.issuer.Release(shardOf("tenant", 0))
	assert.Assert(t, !h.issuer.Issue(&PermitRequest{Tenant: "tenant", Needed: 1}).Held)
}

// TestLapsedHoldAccruesFromItsEnd checks a hold that lapses while its store lease is kept,
// because the store is unavailable for longer than the hold lasts, and is then extended, while
// the tenant uses all its permits. The bucket used to start full, as if nothing had been issued
// since the node acquired the shard.
func TestLapsedHoldAccruesFromItsEnd(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		issuer := NewIssuer(testBounds, func(string) *routetable.Tenant { return testTenant }, time.Now)
		acquired := time.Now()
		number := shardOf(testTenant.Name, 0)
		issuer.Hold(number, acquired, acquired.Add(6*time.Second))
		time.Sleep(6*time.Second - time.Millisecond)
		request := &PermitRequest{Tenant: testTenant.Name, Needed: 1000}
		assert.Equal(t, issuer.Issue(request).Issued, 25)
		time.Sleep(201 * time.Millisecond)
		issuer.Hold(number, acquired, time.Now().Add(6*time.Second))
		assert.Equal(t, issuer.Issue(request).Issued, 5, "a quarter of 100 a second, in 0.2 s")
	})
}
