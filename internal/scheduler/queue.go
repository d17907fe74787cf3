package scheduler

import (
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

// waiter is one queued call. Exactly one of the lists' owner, the queue, and
// the outcome sent on result holds it.
type waiter struct {
	request Request
	level   criticality.Level
	arrived time.Time
	// result receives the permit or the refusal; its capacity is one and it is sent to once.
	result chan outcome
	queued bool

	caller             *callerQueue
	older, newer       *waiter
	callerOld, callNew *waiter
}

// outcome ends a wait: a permit, or a refusal.
type outcome struct {
	permit  *Permit
	refusal *Refusal
}

// callerQueue is what one caller has queued in one level, oldest first, and
// its place in the level's round of turns.
type callerQueue struct {
	id             uint64
	count          int
	oldest, newest *waiter
	prev, next     *callerQueue
}

// levelQueue holds the waiters of one level in order of arrival and by caller.
type levelQueue struct {
	oldest, newest *waiter
	callers        map[uint64]*callerQueue
	// turn is the caller whose turn is next, in a ring; nil if the level is empty.
	turn *callerQueue
}

// queue is the priority queue. The scheduler's lock guards it.
type queue struct {
	levels [criticality.LevelCount]levelQueue
	length int
	// byRank orders the waiters of a level by their rank.
	byRank bool
}

func (q *queue) push(w *waiter) {
	q.levels[w.level].push(w)
	q.length++
	w.queued = true
}

func (q *queue) remove(w *waiter) {
	q.levels[w.level].remove(w)
	q.length--
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
		return level.mostImportant()
	}
	return level.first(overloaded)
}

// oldest returns the arrival of the waiter that waits longest; false if empty.
func (q *queue) oldest() (time.Time, bool) {
	var oldest time.Time
	for i := range q.levels {
		w := q.levels[i].oldest
		if w != nil && (oldest.IsZero() || w.arrived.Before(oldest)) {
			oldest = w.arrived
		}
	}
	return oldest, !oldest.IsZero()
}

// victim returns the waiter that gives way to an arrival of the given level and
// caller, nil if the arrival itself has the weakest claim.
func (q *queue) victim(level criticality.Level, caller uint64, overloaded bool) *waiter {
	for i := len(q.levels) - 1; i >= int(level); i-- {
		candidates := &q.levels[i]
		if candidates.oldest == nil {
			continue
		}
		if i == int(level) {
			return candidates.displacedBy(caller, overloaded)
		}
		return candidates.heaviest().least(overloaded)
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
	l.callerOf(w.request.Caller).push(w)
}

// callerOf returns the caller's queue; a new one gets the last turn.
func (l *levelQueue) callerOf(id uint64) *callerQueue {
	if c, known := l.callers[id]; known {
		return c
	}
	c := &callerQueue{id: id}
	if l.callers == nil {
		l.callers = make(map[uint64]*callerQueue)
	}
	l.callers[id] = c
	l.appendTurn(c)
	return c
}

func (l *levelQueue) appendTurn(c *callerQueue) {
	if l.turn == nil {
		c.prev, c.next = c, c
		l.turn = c
		return
	}
	last := l.turn.prev
	c.prev, c.next = last, l.turn
	last.next, l.turn.prev = c, c
}

func (l *levelQueue) removeTurn(c *callerQueue) {
	if c.next == c {
		l.turn = nil
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	if l.turn == c {
		l.turn = c.next
	}
}

// first returns the level's waiter to serve next and passes the turn on. The
// level must not be empty.
func (l *levelQueue) first(overloaded bool) *waiter {
	if !overloaded {
		return l.oldest
	}
	c := l.turn
	l.turn = c.next
	return c.newest
}

// mostImportant returns the waiter whose request has most calls behind it, of these
// the one with the lowest rank key, the oldest among equals. Its cost is one step
// per waiter.
func (l *levelQueue) mostImportant() *waiter {
	best := l.oldest
	for w := l.oldest.newer; w != nil; w = w.newer {
		if w.request.goesBefore(best.request) {
			best = w
		}
	}
	return best
}

// goesBefore reports whether the request goes before another of its level.
func (r *Request) goesBefore(other Request) bool {
	if r.EarlierCalls != other.EarlierCalls {
		return r.EarlierCalls > other.EarlierCalls
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
		l.removeTurn(c)
		delete(l.callers, c.id)
	}
}

// heaviest returns the caller with the most waiters, the next in turn among
// equals. Its cost is one step per caller queued, paid only when the queue is full.
func (l *levelQueue) heaviest() *callerQueue {
	heaviest := l.turn
	for c := l.turn.next; c != l.turn; c = c.next {
		if c.count > heaviest.count {
			heaviest = c
		}
	}
	return heaviest
}

// displacedBy returns the waiter that gives way to an arrival of the same
// level, nil if the arrival itself has the weakest claim. The arrival counts
// among its caller's calls. While overloaded newest goes first, so a caller
// displaces its own oldest call, and among equals the arrival wins.
func (l *levelQueue) displacedBy(caller uint64, overloaded bool) *waiter {
	own := l.callers[caller]
	arriving := 1
	if own != nil {
		arriving += own.count
	}
	heaviest := l.heaviest()
	switch {
	case heaviest.count > arriving:
		return heaviest.least(overloaded)
	case heaviest.count == arriving && overloaded:
		return heaviest.oldest
	case own != nil && overloaded:
		return own.oldest
	}
	return nil
}

// least returns the caller's waiter with the weakest claim.
func (c *callerQueue) least(overloaded bool) *waiter {
	if overloaded {
		return c.oldest
	}
	return c.newest
}

func (c *callerQueue) push(w *waiter) {
	w.caller = c
	w.callerOld = c.newest
	if c.newest == nil {
		c.oldest = w
	} else {
		c.newest.callNew = w
	}
	c.newest = w
	c.count++
}

func (c *callerQueue) remove(w *waiter) {
	if w.callerOld == nil {
		c.oldest = w.callNew
	} else {
		w.callerOld.callNew = w.callNew
	}
	if w.callNew == nil {
		c.newest = w.callerOld
	} else {
		w.callNew.callerOld = w.callerOld
	}
	w.callerOld, w.callNew = nil, nil
	w.caller = nil
	c.count--
}
