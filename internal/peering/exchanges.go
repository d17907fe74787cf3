package peering

import (
	"context"
	"sync"
	"time"
)

// offerKey names one offer of a request to this node.
type offerKey struct {
	from, requestID string
	offer           int
}

// exchange is an offer that this node runs or ran.
type exchange struct {
	key offerKey
	// done is closed when content holds the encoded reply.
	done    chan struct{}
	content []byte
	// cancel ends the run.
	cancel context.CancelFunc
	// once tells that the request must not run twice, and resumed that a resumption
	// came, so that the first message may yet.
	once, resumed bool
	ended         time.Time
}

const (
	// replyKept is how long a reply is kept after it was written, for a caller whose
	// connection went silent before it came: the resumption comes once silence is over.
	// With 2 s nodes held a seventh more memory over a day with much traffic.
	replyKept = 2 * silence
	// messageLifetime is how long an offer is remembered of which another message may
	// arrive and must not run: one that was resumed, whose first message a cut may hold
	// up, and one that must not run twice, which may be resumed until its caller's
	// deadline. It is longer than requests last; after that callers reset their
	// connections, and what a cut holds up is lost.
	messageLifetime = 15 * time.Second
	// purgePeriod is the time between two searches for exchanges that may go.
	purgePeriod = 250 * time.Millisecond
	// maxKeptBytes bounds the replies that are kept. Beyond it new ones are not: their
	// callers learn only that they may have run.
	maxKeptBytes = 4 << 20
)

// exchangeTable holds what this node runs for its peers and the last replies. It is
// safe for concurrent use.
type exchangeTable struct {
	now func() time.Time

	mutex     sync.Mutex
	exchanges map[offerKey]*exchange
	keptBytes int
	purged    time.Time
}

func newExchangeTable(now func() time.Time) *exchangeTable {
	return &exchangeTable{now: now, exchanges: make(map[offerKey]*exchange)}
}

// open returns the exchange of a call, and whether this call is the one to run it.
// It joins an exchange that is there only if the call resumes it, or if it was
// resumed before its first message came; ids alone prove nothing, as callers may use
// them twice.
func (t *exchangeTable) open(call *Call, cancel context.CancelFunc) (e *exchange, runs bool) {
	key := offerKey{from: call.From, requestID: call.RequestID, offer: call.OfferIndex}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.purge()
	known := t.exchanges[key]
	if known != nil && (call.Resumed || known.resumed) {
		known.resumed = true
		return known, false
	}
	if known != nil {
		t.keptBytes -= len(known.content)
	}
	e = &exchange{key: key, done: make(chan struct{}), cancel: cancel, once: call.AtMostOnce, resumed: call.Resumed}
	t.exchanges[key] = e
	return e, true
}

// finish keeps the reply of an exchange for those that resume it.
func (t *exchangeTable) finish(e *exchange, content []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e.ended = t.now()
	if t.exchanges[e.key] == e && t.keptBytes+len(content) <= maxKeptBytes {
		e.content = content
		t.keptBytes += len(content)
	}
	close(e.done)
}

// reply returns the reply of an exchange that has ended, nil if it was not kept.
func (t *exchangeTable) reply(e *exchange) []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return e.content
}

// purge forgets exchanges that nobody can resume any more.
func (t *exchangeTable) purge() {
	now := t.now()
	if now.Sub(t.purged) < purgePeriod {
		return
	}
	t.purged = now
	for key, e := range t.exchanges {
		if e.ended.IsZero() {
			continue
		}
		age := now.Sub(e.ended)
		if age >= replyKept && e.content != nil {
			t.keptBytes -= len(e.content)
			e.content = nil
		}
		if age >= messageLifetime || (age >= replyKept && !e.resumed && !e.once) {
			delete(t.exchanges, key)
		}
	}
}
