package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Outcome is the kind of a decision.
type Outcome uint8

// Outcomes of Limiter.Admit.
const (
	// Admitted requests have a permit or need none.
	Admitted Outcome = iota
	// LimitReached means that the tenant has no permit left for the request.
	LimitReached
	// Unavailable means that no holder of a share was available.
	Unavailable
)

// Decision is the decision on a request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which a refused request is likely to obtain a permit.
	RetryAfter time.Duration
	// HoldersAsked is the number of permit requests sent to holders for this request.
	HoldersAsked int
	// expires is when the permit expires, zero if none was needed.
	expires time.Time
}

// Holder is a node that holds a shard.
type Holder struct {
	Address string
	// DatagramAddress is the address for permit requests by datagram, empty if the node accepts none.
	DatagramAddress string
}

// Holders returns the holders of shards.
type Holders interface {
	// Holder returns the node that holds the shard, false if none is known.
	Holder(shard int) (holder Holder, known bool)
}

// RequestFunc requests permits from a holder.
type RequestFunc func(ctx context.Context, holder Holder, request *PermitRequest) (*Grant, error)

const (
	// requestTimeout bounds one permit request. Responses take some milliseconds; a holder that
	// does not respond in time is partitioned or stopped, and the request can try another.
	requestTimeout = 200 * time.Millisecond
	// silentBackoff is how long no permits are requested, for any tenant, from a holder that did
	// not respond: each attempt delays requests by requestTimeout.
	silentBackoff = time.Second
	// failureBackoff is the same for a holder that failed immediately or reported that it does not
	// hold the shard, which delays no request: it was restarted and holds the shard again within
	// some tenths of a second. With silentBackoff, a cluster whose processes were all killed could
	// not check limits for a second after their restart.
	failureBackoff = 80 * time.Millisecond
	// maxWait is how long a request waits for a holder to become available if no holder reported
	// that the limit is reached. Restarted holders are available again by then, which is sooner
	// than refused callers retry.
	maxWait = 300 * time.Millisecond
	// holderPollInterval is how often a node without a known holder checks for one while requests
	// wait.
	holderPollInterval = 50 * time.Millisecond
	// immediateFailure is the time within which a failed permit request counts as an immediate
	// failure.
	immediateFailure = 100 * time.Millisecond
	// unavailableRetryAfter is the minimum retry delay sent to callers while no holder is
	// available, and half the maximum. A restarted holder is available again within 1 s.
	unavailableRetryAfter = 500 * time.Millisecond
)

// Limiter admits requests on the node where they enter. It is safe for concurrent use.
type Limiter struct {
	holders Holders
	request RequestFunc
	now     func() time.Time
	// wantsDemand reports that permit requests ask for the demand.
	wantsDemand bool

	mutex  sync.Mutex
	queues map[string]*queue
	// unavailableUntil holds, by address, the times until which no permits are requested from
	// holders.
	unavailableUntil map[string]time.Time
}

// NewLimiter returns a limiter without permits.
func NewLimiter(holders Holders, request RequestFunc, now func() time.Time) *Limiter {
	return &Limiter{holders: holders, request: request, now: now, queues: make(map[string]*queue), unavailableUntil: make(map[string]time.Time)}
}

// RequestDemand makes permit requests ask for the demand that holders observe. It must be called
// before the first request is admitted.
func (l *Limiter) RequestDemand() { l.wantsDemand = true }

// Demand returns the rate at which requests of the tenant ask for permits on all nodes together,
// in requests a second, as the holders last reported it; false if it is not known. Requests that
// nodes refuse without asking a holder are not part of it.
func (l *Limiter) Demand(tenant string) (rate float64, known bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	q := l.queues[tenant]
	if q == nil {
		return 0, false
	}
	return q.currentDemand(l.now())
}

// Admit decides on a request of the tenant. It may wait for the response of a holder.
func (l *Limiter) Admit(ctx context.Context, tenant *routetable.Tenant) Decision {
	if !tenant.Limited() {
		return Decision{}
	}
	decision, waiting := l.tryAdmit(tenant.Name)
	if waiting == nil {
		return decision
	}
	select {
	case decision = <-waiting.decision:
	case <-ctx.Done():
		// If a permit arrives, it expires unused.
		decision = Decision{Outcome: Unavailable, RetryAfter: unavailableRetryAfter}
	}
	return decision
}

// Return gives back the permit of a request that was not executed and will not be.
func (l *Limiter) Return(tenant *routetable.Tenant, decision Decision) {
	if decision.expires.IsZero() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if q := l.queues[tenant.Name]; q != nil && decision.expires.After(l.now()) {
		q.add(1, decision.expires)
	}
}

// tryAdmit decides on a request if local permits and state suffice. Otherwise it queues the
// request and returns its waiter.
func (l *Limiter) tryAdmit(tenant string) (Decision, *waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	q := l.queues[tenant]
	if q == nil {
		q = &queue{}
		l.queues[tenant] = q
	}
	q.countRequest(now)
	if expires, taken := q.take(now); taken {
		return Decision{expires: expires}, nil
	}
	w := &waiter{decision: make(chan Decision, 1), deadline: now.Add(maxWait)}
	if _, found := q.pickShare(now, l.available(tenant, now)); !found && !l.mayWait(tenant, q, w, now) {
		return q.refusal(now, 0), nil
	}
	q.waiters = append(q.waiters, w)
	if !q.requesting {
		q.requesting = true
		go l.requestPermits(tenant, q)
	}
	return Decision{}, w
}

// available returns a function that reports whether permits may be requested from the holder of
// a share.
func (l *Limiter) available(tenant string, now time.Time) func(share int) bool {
	return func(share int) bool {
		holder, known := l.holders.Holder(shardOf(tenant, share))
		return known && !l.unavailableUntil[holder.Address].After(now)
	}
}

// availableAt returns the earliest time at which permits may be requested from the holder of a
// share, at most maxWait from now.
func (l *Limiter) availableAt(tenant string, now time.Time) time.Time {
	earliest := now.Add(maxWait)
	for share := range Shares {
		at := now.Add(holderPollInterval)
		if holder, known := l.holders.Holder(shardOf(tenant, share)); known {
			at = l.unavailableUntil[holder.Address]
		}
		if at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// mayWait reports whether a request may wait while no holder is available: no holder reported
// that the limit is reached, and a holder becomes available before the deadline of the request.
func (l *Limiter) mayWait(tenant string, q *queue, w *waiter, now time.Time) bool {
	_, empty := q.nextRetry(now)
	return !empty && l.availableAt(tenant, now).Before(w.deadline)
}

// requestPermits requests permits from one holder after another until no request of the tenant
// waits.
func (l *Limiter) requestPermits(tenant string, q *queue) {
	for {
		l.mutex.Lock()
		now := l.now()
		q.serve(now)
		share, found := q.pickShare(now, l.available(tenant, now))
		if !found {
			q.refuseExpired(now, func(w *waiter) bool { return l.mayWait(tenant, q, w, now) })
		}
		if len(q.waiters) == 0 {
			q.requesting = false
			l.mutex.Unlock()
			return
		}
		if !found {
			pause := l.availableAt(tenant, now).Sub(now)
			l.mutex.Unlock()
			time.Sleep(pause)
			continue
		}
		request := &PermitRequest{Share: share, Tenant: tenant, Needed: len(q.waiters), Prefetch: q.prefetch(), WantsDemand: l.wantsDemand}
		holder, _ := l.holders.Holder(shardOf(tenant, share))
		for _, w := range q.waiters {
			w.holdersAsked++
		}
		l.mutex.Unlock()
		l.requestFrom(q, holder, request)
	}
}

// requestFrom requests permits from the holder of a share and processes its response.
func (l *Limiter) requestFrom(q *queue, holder Holder, request *PermitRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	requested := l.now()
	grant, err := l.request(ctx, holder, request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	switch {
	case err == nil && grant.Held:
		q.applyGrant(request.Share, grant, request.Needed, requested, now)
	case now.Sub(requested) < immediateFailure:
		l.markUnavailable(holder.Address, now.Add(failureBackoff))
	default:
		l.markUnavailable(holder.Address, now.Add(silentBackoff))
	}
}

// maxUnavailable bounds the number of holders in unavailableUntil.
const maxUnavailable = 64

func (l *Limiter) markUnavailable(address string, until time.Time) {
	if len(l.unavailableUntil) >= maxUnavailable {
		clear(l.unavailableUntil)
	}
	l.unavailableUntil[address] = until
}
