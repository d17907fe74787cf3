package scheduler

import (
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

// waiter is one queued call. It is either in the queue or has received its
// outcome on result, never both.
type waiter struct {
	request Request
	level   criticality.Level
	arrived time.Time
	// result receives the permit or the refusal, exactly once; its capacity is one.
	result chan outcome
	queued bool

	caller                   *callerQueue
	older, newer             *waiter
	callerOlder, callerNewer *waiter
}

// outcome is the result of a wait: either a permit or a refusal.
type outcome struct {
	permit  *Permit
	refusal *Refusal
}

// callerQueue is the list of one caller's waiters in one level, oldest first. It
// is also a node of the level's round-robin ring.
type callerQueue struct {
	id             uint64
	count          int
	oldest, newest *waiter
	prev, next     *callerQueue
}

// levelQueue holds the waiters of one level, both in order of arrival and by caller.
type levelQueue struct {
	oldest, newest *waiter
	callers        map[uint64]*callerQueue
	// nextCaller is the next caller in the round-robin ring; nil if the level is empty.
	nextCaller *callerQueue
}

// queue is the priority queue, guarded by the scheduler's lock.
type queue struct {
	levels [criticality.LevelCount]levelQueue
	length int
	// movable is the number of waiters that may be given back.
	movable int
	// byRank orders the waiters of a level by their rank.
	byRank bool
}

func (q *queue) push(w *waiter) {
	q.levels[w.level].push(w)
	q.length++
	if w.request.Alternative > 0 {
		q.movable++
	}
	w.queued = true
}

func (q *queue) remove(w *waiter) {
	q.levels[w.level].remove(w)
	q.length--
	if w.request.Alternative > 0 {
		q.movable--
	}
	w.queued = false
}

// pop removes and returns the waiter to serve next, nil if there is none.
func (q *queue) pop(overloaded bool) *waiter {
	for i := range q.levels {
		level := &q.levels[i]
		if level.oldest == nil {
			continue
		}
		w := q.first(level, overloaded)
		q.remove(w)
		return w
	}
	return nil
}

// first returns the level's waiter to serve next. The level must not be empty.
func (q *queue) first(level *levelQueue, overloaded bool) *waiter {
	if q.byRank {
		return level.firstByRank()
	}
	return level.first(overloaded)
}

// oldestArrival returns the arrival time of the oldest waiter; false if the queue is empty.
func (q *queue) oldestArrival() (time.Time, bool) {
	var oldest time.Time
	for i := range q.levels {
		w := q.levels[i].oldest
		if w != nil && (oldest.IsZero() || w.arrived.Before(oldest)) {
			oldest = w.arrived
		}
	}
	return oldest, !oldest.IsZero()
}

// victim returns the waiter to evict in favor of an arrival of the given level and
// caller, nil if the arrival itself must be refused.
func (q *queue) victim(level criticality.Level, caller uint64, overloaded bool) *waiter {
	for i := len(q.levels) - 1; i >= int(level); i-- {
		candidates := &q.levels[i]
		if candidates.oldest == nil {
			continue
		}
		if i == int(level) {
			return candidates.victimFor(caller, overloaded)
		}
		return candidates.busiestCaller().victim(overloaded)
	}
	return nil
}

func (l *levelQueue) push(w *waiter) {
	w.older = l.newest
	if l.newest == nil {
		l.oldest = w
	} else {
		l.newest.newer = w
	}
	l.newest = w
	l.callerQueueFor(w.request.Caller).push(w)
}

// callerQueueFor returns the caller's queue; a new one is appended to the ring.
func (l *levelQueue) callerQueueFor(id uint64) *callerQueue {
	if c, known := l.callers[id]; known {
		return c
	}
	c := &callerQueue{id: id}
	if l.callers == nil {
		l.callers = make(map[uint64]*callerQueue)
	}
	l.callers[id] = c
	l.appendToRing(c)
	return c
}

func (l *levelQueue) appendToRing(c *callerQueue) {
	if l.nextCaller == nil {
		c.prev, c.next = c, c
		l.nextCaller = c
		return
	}
	last := l.nextCaller.prev
	c.prev, c.next = last, l.nextCaller
	last.next, l.nextCaller.prev = c, c
}

func (l *levelQueue) removeFromRing(c *callerQueue) {
	if c.next == c {
		l.nextCaller = nil
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	if l.nextCaller == c {
		l.nextCaller = c.next
	}
}

// first returns the level's waiter to serve next. While overloaded it also
// advances the ring. The level must not be empty.
func (l *levelQueue) first(overloaded bool) *waiter {
	if !overloaded {
		return l.oldest
	}
	c := l.nextCaller
	l.nextCaller = c.next
	return c.newest
}

// firstByRank returns the waiter whose request has made the most calls before; ties
// are broken by the lowest rank key, then by age. It takes O(n) for n waiters.
func (l *levelQueue) firstByRank() *waiter {
	best := l.oldest
	for w := l.oldest.newer; w != nil; w = w.newer {
		if w.request.precedes(best.request) {
			best = w
		}
	}
	return best
}

// precedes reports whether the request is served before another one of the same level.
func (r *Request) precedes(other Request) bool {
	if r.PriorCalls != other.PriorCalls {
		return r.PriorCalls > other.PriorCalls
	}
	return r.Rank.MoreImportantThan(other.Rank)
}

func (l *levelQueue) remove(w *waiter) {
	if w.older == nil {
		l.oldest = w.newer
	} else {
		w.older.newer = w.newer
	}
	if w.newer == nil {
		l.newest = w.older
	} else {
		w.newer.older = w.older
	}
	w.older, w.newer = nil, nil
	c := w.caller
	c.remove(w)
	if c.count == 0 {
		l.removeFromRing(c)
		delete(l.callers, c.id)
	}
}

// busiestCaller returns the caller with the most waiters; ties go to the next in
// the ring. It takes O(n) for n queued callers and runs only when the queue is full.
func (l *levelQueue) busiestCaller() *callerQueue {
	busiest := l.nextCaller
	for c := l.nextCaller.next; c != l.nextCaller; c = c.next {
		if c.count > busiest.count {
			busiest = c
		}
	}
	return busiest
}

// victimFor returns the waiter to evict in favor of an arrival of the same level,
// nil if the arrival itself must be refused. The arrival counts toward its
// caller's waiters. While overloaded the newest call is served first, so a caller
// evicts its own oldest call, and the arrival wins ties between callers.
func (l *levelQueue) victimFor(caller uint64, overloaded bool) *waiter {
	own := l.callers[caller]
	withArrival := 1
	if own != nil {
		withArrival += own.count
	}
	busiest := l.busiestCaller()
	switch {
	case busiest.count > withArrival:
		return busiest.victim(overloaded)
	case busiest.count == withArrival && overloaded:
		return busiest.oldest
	case own != nil && overloaded:
		return own.oldest
	}
	return nil
}

// victim returns the caller's waiter that would be served last.
func (c *callerQueue) victim(overloaded bool) *waiter {
	if overloaded {
		return c.oldest
	}
	return c.newest
}

func (c *callerQueue) push(w *waiter) {
	w.caller = c
	w.callerOlder = c.newest
	if c.newest == nil {
		c.oldest = w
	} else {
		c.newest.callerNewer = w
	}
	c.newest = w
	c.count++
}

func (c *callerQueue) remove(w *waiter) {
	if w.callerOlder == nil {
		c.oldest = w.callerNewer
	} else {
		w.callerOlder.callerNewer = w.callerNewer
	}
	if w.callerNewer == nil {
		c.newest = w.callerOlder
	} else {
		w.callerNewer.callerOlder = w.callerOlder
	}
	w.callerOlder, w.callerNewer = nil, nil
	w.caller = nil
	c.count--
}
