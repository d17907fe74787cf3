package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Outcome is what was decided on a request.
type Outcome uint8

// The outcomes.
const (
	// Admitted requests have a permit, or need none.
	Admitted Outcome = iota
	// LimitReached means that the tenant has no permit left for the request.
	LimitReached
	// Unavailable means that no holder of a share could be asked.
	Unavailable
)

// Decision is what was decided on a request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is when a permit is likely for a request that was not admitted.
	RetryAfter time.Duration
	// HoldersAsked is the number of holders that were asked for this request.
	HoldersAsked int
	// lapses is when the permit lapses, zero if none was needed.
	lapses time.Time
}

// Holder is a node that holds a shard.
type Holder struct {
	Address string
	// DatagramAddress is where the node takes asks as datagrams, empty if it does not.
	DatagramAddress string
}

// Holders tells which node holds each shard.
type Holders interface {
	// Holder returns the node that holds the shard, false if none is known.
	Holder(shard int) (holder Holder, known bool)
}

// AskFunc asks a holder for permits.
type AskFunc func(ctx context.Context, holder Holder, ask *PermitRequest) (*Grant, error)

const (
	// askTimeout bounds one ask. Answers take some milliseconds; a holder that is silent
	// for longer is cut off or stopped, and the request can ask another.
	askTimeout = 200 * time.Millisecond
	// suspectedFor is how long a holder that was silent is not asked, by any tenant's
	// requests: each ask of it holds requests up for askTimeout.
	suspectedFor = time.Second
	// passedOverFor is the same for one that failed at once or said that it holds no such
	// shard, which costs nobody time: it was restarted, and holds the shard again within
	// some tenths of a second. With suspectedFor a fleet whose processes were all killed
	// could check no limit for a second after their return.
	passedOverFor = 80 * time.Millisecond
	// patience is how long a request waits for a holder that can be asked, if none says
	// that the limit is reached: holders that were restarted are back by then, and told to
	// come back callers would be later.
	patience = 300 * time.Millisecond
	// holderPoll is how often a node that knows no holder looks for one meanwhile.
	holderPoll = 50 * time.Millisecond
	// atOnce is the time within which a failure costs requests little.
	atOnce = 100 * time.Millisecond
	// unavailableDelay is the least that callers are told to wait where no holder can be
	// asked, and twice that the most. A holder that was restarted is back in 1 s.
	unavailableDelay = 500 * time.Millisecond
)

// Limiter decides at the node where requests begin. It is safe for concurrent use.
type Limiter struct {
	holders Holders
	ask     AskFunc
	now     func() time.Time

	mutex sync.Mutex
	pools map[string]*queue
	// suspected tells until when holders are not asked.
	suspected map[string]time.Time
}

// NewLimiter returns a limiter without permits.
func NewLimiter(holders Holders, ask AskFunc, now func() time.Time) *Limiter {
	return &Limiter{holders: holders, ask: ask, now: now, pools: make(map[string]*queue), suspected: make(map[string]time.Time)}
}

// Admit decides on a request of the tenant. It may wait for the answer of a holder.
func (l *Limiter) Admit(ctx context.Context, tenant *routetable.Tenant) Decision {
	if !tenant.Limited() {
		return Decision{}
	}
	decision, wait := l.admitNow(tenant.Name)
	if wait == nil {
		return decision
	}
	select {
	case decision = <-wait.decided:
	case <-ctx.Done():
		// Its permit, if one comes, lapses.
		decision = Decision{Outcome: Unavailable, RetryAfter: unavailableDelay}
	}
	return decision
}

// Return gives back the permit of a request that has not run and will not.
func (l *Limiter) Return(tenant *routetable.Tenant, decision Decision) {
	if decision.lapses.IsZero() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if q := l.pools[tenant.Name]; q != nil && decision.lapses.After(l.now()) {
		q.add(1, decision.lapses)
	}
}

// admitNow decides by what the node has and knows. Otherwise the request waits.
func (l *Limiter) admitNow(tenant string) (Decision, *waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	q := l.pools[tenant]
	if q == nil {
		q = &queue{}
		l.pools[tenant] = q
	}
	q.count(now)
	if lapses, taken := q.take(now); taken {
		return Decision{lapses: lapses}, nil
	}
	w := &waiter{decided: make(chan Decision, 1), until: now.Add(patience)}
	if _, open := q.open(now, l.askable(tenant, now)); !open && !l.waits(tenant, q, w, now) {
		return q.refusal(now, 0), nil
	}
	q.waiting = append(q.waiting, w)
	if !q.asking {
		q.asking = true
		go l.askFor(tenant, q)
	}
	return Decision{}, w
}

// askable returns which shares have holders that can be asked.
func (l *Limiter) askable(tenant string, now time.Time) func(share int) bool {
	return func(share int) bool {
		holder, known := l.holders.Holder(shardOf(tenant, share))
		return known && !l.suspected[holder.Address].After(now)
	}
}

// askableAt returns when the first holder of a share can be asked, as far as is known.
func (l *Limiter) askableAt(tenant string, now time.Time) time.Time {
	first := now.Add(patience)
	for share := range Shares {
		at := now.Add(holderPoll)
		if holder, known := l.holders.Holder(shardOf(tenant, share)); known {
			at = l.suspected[holder.Address]
		}
		if at.Before(first) {
			first = at
		}
	}
	return first
}

// waits reports whether a request is to wait where no holder can be asked: none said that
// the limit is reached, and one can be asked soon.
func (l *Limiter) waits(tenant string, q *queue, w *waiter, now time.Time) bool {
	_, closed := q.reopens(now)
	return !closed && l.askableAt(tenant, now).Before(w.until)
}

// askFor asks one holder after the other until no request of the tenant waits.
func (l *Limiter) askFor(tenant string, q *queue) {
	for {
		l.mutex.Lock()
		now := l.now()
		q.serve(now)
		share, open := q.open(now, l.askable(tenant, now))
		if !open {
			q.refuse(now, func(w *waiter) bool { return l.waits(tenant, q, w, now) })
		}
		if len(q.waiting) == 0 {
			q.asking = false
			l.mutex.Unlock()
			return
		}
		if !open {
			pause := l.askableAt(tenant, now).Sub(now)
			l.mutex.Unlock()
			time.Sleep(pause)
			continue
		}
		ask := &PermitRequest{Share: share, Tenant: tenant, Needed: len(q.waiting), Ahead: q.ahead()}
		holder, _ := l.holders.Holder(shardOf(tenant, share))
		for _, w := range q.waiting {
			w.asked++
		}
		l.mutex.Unlock()
		l.askHolder(q, holder, ask)
	}
}

// askHolder asks the holder of a share and takes what it answers.
func (l *Limiter) askHolder(q *queue, holder Holder, ask *PermitRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	asked := l.now()
	grant, err := l.ask(ctx, holder, ask)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	switch {
	case err == nil && grant.Held:
		q.granted(ask.Share, grant, ask.Needed, asked, now)
	case now.Sub(asked) < atOnce:
		l.suspect(holder.Address, now.Add(passedOverFor))
	default:
		l.suspect(holder.Address, now.Add(suspectedFor))
	}
}

// maxSuspected bounds the holders that are remembered as silent.
const maxSuspected = 64

func (l *Limiter) suspect(address string, until time.Time) {
	if len(l.suspected) >= maxSuspected {
		clear(l.suspected)
	}
	l.suspected[address] = until
}
