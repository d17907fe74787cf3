package retrybudget

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/grant"
)

const (
	// shardCount is the number of independently locked shards; a power of two.
	shardCount = 16
	// DefaultMaxRequests is the default maximum number of requests in a ledger.
	DefaultMaxRequests = 65536
	// MaxRetries bounds the budget of one request, and thereby the memory of its entry.
	MaxRetries = 64
	// sweepInterval is the minimum time between two sweeps of a full shard for expired entries.
	sweepInterval = 100 * time.Millisecond
)

// Ledger holds the retry budgets of the requests that entered at this node. It is
// bounded and safe for concurrent use. It implements grant.Ledger.
type Ledger struct {
	now    func() time.Time
	shards [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	budgets   map[callcontext.RequestID]*budget
	capacity  int
	lastSweep time.Time
}

type budget struct {
	max    int
	expiry time.Time
	// granted holds the token of each granted retry.
	granted []grant.Token
}

// NewLedger returns a ledger for approximately maxRequests open requests; zero
// means DefaultMaxRequests.
func NewLedger(maxRequests int, now func() time.Time) *Ledger {
	if maxRequests <= 0 {
		maxRequests = DefaultMaxRequests
	}
	l := &Ledger{now: now}
	for i := range l.shards {
		l.shards[i].budgets = make(map[callcontext.RequestID]*budget)
		l.shards[i].capacity = (maxRequests + shardCount - 1) / shardCount
	}
	return l
}

// Open opens a budget with the given number of retries for a request until expiry.
// Opening an open request again has no effect. It returns false if the ledger is
// full; the request then runs without retries.
func (l *Ledger) Open(id callcontext.RequestID, retries int, expiry time.Time) bool {
	now := l.now()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.budgets[id]; b != nil && now.Before(b.expiry) {
		return true
	}
	delete(s.budgets, id)
	if !s.hasRoom(now) {
		return false
	}
	s.budgets[id] = &budget{max: min(max(retries, 0), MaxRetries), expiry: expiry}
	return true
}

// Grant spends one retry of the request and reports whether one was left. Grant is
// idempotent: a repeated token gets the same result and spends at most one retry.
// Requests that are unknown, closed or expired get no retry.
func (l *Ledger) Grant(id callcontext.RequestID, token grant.Token) bool {
	now := l.now()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[id]
	if b == nil || !now.Before(b.expiry) {
		return false
	}
	if slices.Contains(b.granted, token) {
		return true
	}
	if len(b.granted) >= b.max {
		return false
	}
	b.granted = append(b.granted, token)
	return true
}

// Close removes a completed request. Later grants for it are denied.
func (l *Ledger) Close(id callcontext.RequestID) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.budgets, id)
}

// Spent returns the number of retries granted to an open request.
func (l *Ledger) Spent(id callcontext.RequestID) int {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.budgets[id]; b != nil {
		return len(b.granted)
	}
	return 0
}

// Len returns the number of requests in the ledger, including expired ones that have
// not been removed yet.
func (l *Ledger) Len() int {
	total := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		total += len(s.budgets)
		s.mu.Unlock()
	}
	return total
}

func (l *Ledger) shard(id callcontext.RequestID) *shard {
	return &l.shards[binary.LittleEndian.Uint64(id[:])%shardCount]
}

// hasRoom reports whether one more request fits. It removes expired requests if the
// shard is full.
func (s *shard) hasRoom(now time.Time) bool {
	if len(s.budgets) < s.capacity {
		return true
	}
	if !s.lastSweep.IsZero() && now.Sub(s.lastSweep) < sweepInterval {
		return false
	}
	s.lastSweep = now
	for id, b := range s.budgets {
		if !now.Before(b.expiry) {
			delete(s.budgets, id)
		}
	}
	return len(s.budgets) < s.capacity
}
