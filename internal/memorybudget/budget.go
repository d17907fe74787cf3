package memorybudget

import (
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// ErrExceeded means that a message was not held because the budget had no room for it.
var ErrExceeded = errors.New("no memory left for the message")

// Purpose is what a message is held for.
type Purpose uint8

// The purposes.
const (
	// Request is the body of a request at the node where it enters.
	Request Purpose = iota
	// Response is the response to such a request, until the caller has read it.
	Response
	// PeerCall is a call that another node sent.
	PeerCall
	// PeerReply is the response to such a call, until the other node has read it.
	PeerReply
	// Control is any other message from another node.
	Control
	purposeCount
)

var purposeNames = [purposeCount]string{"request", "response", "peer-call", "peer-reply", "control"}

// String returns the name of the purpose in metrics and the log.
func (p Purpose) String() string { return purposeNames[p] }

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{Request, Response, PeerCall, PeerReply, Control} }

// work returns the state of the work in which a message of the purpose grows.
func (p Purpose) work() Work {
	if p == Response || p == PeerReply || p == Control {
		return Completing
	}
	return Starting
}

const (
	// holdTimeWeight is the weight of one large message in the average time for which they are held.
	holdTimeWeight = 0.25
	// minCollectBytes are the fewest uncollected bytes for which the garbage collector is run.
	minCollectBytes = 1 << 20
	// minRetryDelay and maxRetryDelay bound RetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Budget bounds the bytes of messages that a process holds. A nil Budget has no bound. It is safe
// for concurrent use.
type Budget struct {
	limits    Limits
	now       func() time.Time
	created   time.Time
	onRefused func(purpose Purpose, size, held int64)
	responses ResponseSizes
	// collect runs the garbage collector and returns once it has ended.
	collect func()

	total   atomic.Int64
	held    [purposeCount]atomic.Int64
	refused [purposeCount]atomic.Uint64
	// uncollected are the bytes of large messages that were released and may not be collected yet.
	uncollected  atomic.Int64
	collectMutex sync.Mutex
	// holdTime is the average time for which large messages are held, in nanoseconds.
	holdTime atomic.Int64
}

// New returns a budget. onRefused is called for each message that is refused, with its size as far
// as it is known and the bytes held; it may be nil.
func New(limits Limits, now func() time.Time, onRefused func(purpose Purpose, size, held int64)) *Budget {
	return &Budget{limits: limits, now: now, created: now(), onRefused: onRefused, collect: runtime.GC}
}

// Limits returns the limits, which are those without a bound for a nil Budget.
func (b *Budget) Limits() Limits {
	if b == nil {
		return Limits{}
	}
	return b.limits
}

// Held returns the bytes that messages of the purpose take.
func (b *Budget) Held(purpose Purpose) int64 { return b.held[purpose].Load() }

// Refused returns the number of messages of the purpose that were refused.
func (b *Budget) Refused(purpose Purpose) uint64 { return b.refused[purpose].Load() }

// RetryDelay returns the time after which a message that was refused is likely to find room: the
// time for which large messages are usually held.
func (b *Budget) RetryDelay() time.Duration {
	if b == nil {
		return minRetryDelay
	}
	return min(max(time.Duration(b.holdTime.Load()), minRetryDelay), maxRetryDelay)
}

// Reservation returns an empty reservation for a message.
func (b *Budget) Reservation(purpose Purpose) Reservation {
	return Reservation{budget: b, purpose: purpose}
}

// RecordResponse records the size of a response of the route.
func (b *Budget) RecordResponse(route string, bytes int) {
	if b != nil {
		b.responses.record(route, int64(bytes))
	}
}

// Reservation is the part of a budget that one message takes. A nil Reservation has no bound. It is
// not safe for concurrent use.
type Reservation struct {
	budget  *Budget
	purpose Purpose
	bytes   int64
	// largeSince is the age of the budget when the message became larger than SmallBytes.
	largeSince time.Duration
}

// Grow reserves room for a message of the size. It returns false, and changes nothing, if there is
// none.
func (r *Reservation) Grow(size int64) bool {
	return r == nil || r.budget == nil || r.grow(size, r.purpose.work())
}

// GrowToUsual reserves room for the usual response of the route before its request runs. It returns
// false if there is none, in which case the request should not run.
func (r *Reservation) GrowToUsual(route string) bool {
	if r == nil || r.budget == nil {
		return true
	}
	usual := min(r.budget.responses.usual(route), r.budget.limits.MaxMessage())
	return r.grow(usual, Starting)
}

// RetryDelay returns that of the budget.
func (r *Reservation) RetryDelay() time.Duration { return r.budget.RetryDelay() }

func (r *Reservation) grow(size int64, work Work) bool {
	growth := size - r.bytes
	if growth <= 0 {
		return true
	}
	b := r.budget
	if size > SmallBytes {
		b.collectFor(growth)
	}
	if held := b.total.Add(growth) - growth; !b.limits.Allows(held, growth, size, work) {
		b.total.Add(-growth)
		b.refused[r.purpose].Add(1)
		if b.onRefused != nil {
			b.onRefused(r.purpose, size, held)
		}
		return false
	}
	b.held[r.purpose].Add(growth)
	r.bytes = size
	if size > SmallBytes && r.largeSince == 0 {
		r.largeSince = max(b.age(), 1)
	}
	return true
}

// shrink returns all but the size of the reserved bytes.
func (r *Reservation) shrink(size int64) {
	if r == nil || r.bytes <= size {
		return
	}
	b := r.budget
	b.total.Add(size - r.bytes)
	b.held[r.purpose].Add(size - r.bytes)
	if r.bytes > SmallBytes {
		b.uncollected.Add(r.bytes - size)
	}
	r.bytes = size
}

// Release returns the reserved bytes. The reservation is then empty.
func (r *Reservation) Release() {
	if r.bytes == 0 {
		return
	}
	r.shrink(0)
	if r.largeSince != 0 {
		r.budget.recordHoldTime(r.budget.age() - r.largeSince)
		r.largeSince = 0
	}
}

// discard records that a part of the message was copied and is no longer referenced.
func (r *Reservation) discard(bytes int64) {
	if r != nil && r.budget != nil {
		r.budget.uncollected.Add(bytes)
	}
}

// collectFor runs the garbage collector if the growth would take the messages that are held, and
// those that are not collected yet, over the budget. The collector paces itself by the bytes that
// were reachable before, which is too late for messages of this size.
func (b *Budget) collectFor(growth int64) {
	if b.limits.Total == 0 || !b.mustCollect(growth) {
		return
	}
	b.collectMutex.Lock()
	defer b.collectMutex.Unlock()
	if !b.mustCollect(growth) {
		// The garbage collector ran while this message waited.
		return
	}
	uncollected := b.uncollected.Load()
	b.collect()
	b.uncollected.Add(-uncollected)
}

func (b *Budget) mustCollect(growth int64) bool {
	uncollected := b.uncollected.Load()
	return uncollected > minCollectBytes && b.total.Load()+uncollected+growth > b.limits.Total
}

// age returns the time since the budget was created.
func (b *Budget) age() time.Duration { return b.now().Sub(b.created) }

// recordHoldTime adds the time for which a large message was held to the average. An update that
// runs concurrently with another one may be lost.
func (b *Budget) recordHoldTime(held time.Duration) {
	average := b.holdTime.Load()
	b.holdTime.Store(average + int64(holdTimeWeight*float64(int64(held)-average)))
}
