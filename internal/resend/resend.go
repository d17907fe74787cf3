// Package resend recognises calls that a target sends again by itself after
// they failed. Such a call is a retry of the request like any other and counts
// against the request's budget; without this, targets that retry on their own
// would multiply the load at every hop.
//
// A call is known by its request, its place in the chain, and a hash of what it
// asks. Only calls that failed are remembered, and no longer than anyone waits
// for them.
package resend

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/callcontext"
)

// MaxCalls bounds the failed calls that are remembered; beyond it the oldest
// half is forgotten.
const MaxCalls = 65536

// Fingerprint stands for what a call asks of which service.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a call.
func FingerprintOf(service, method, requestURI string, body []byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{service, method, requestURI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// callID names a call of one execution at a target.
type callID struct {
	request     callcontext.RequestID
	parent      callcontext.SpanID
	fingerprint Fingerprint
}

// Table holds the calls that failed, in two generations, so that forgetting is
// cheap. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mutex    sync.Mutex
	current  map[callID]time.Time
	previous map[callID]time.Time
	turned   time.Time
}

// generation is the least time for which a failed call is remembered, unless
// the table is full.
const generation = 30 * time.Second

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, current: map[callID]time.Time{}, previous: map[callID]time.Time{}, turned: now()}
}

// RecordFailure remembers until the deadline that the call failed.
func (t *Table) RecordFailure(context callcontext.Context, fingerprint Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if len(t.current) >= MaxCalls/2 || now.Sub(t.turned) >= generation {
		t.previous = t.current
		t.current = map[callID]time.Time{}
		t.turned = now
	}
	t.current[idOf(context, fingerprint)] = context.Deadline
}

// IsResend reports whether the call failed before.
func (t *Table) IsResend(context callcontext.Context, fingerprint Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	id := idOf(context, fingerprint)
	deadline, known := t.current[id]
	if !known {
		deadline, known = t.previous[id]
	}
	return known && t.now().Before(deadline)
}

func idOf(context callcontext.Context, fingerprint Fingerprint) callID {
	return callID{request: context.RequestID, parent: context.Span, fingerprint: fingerprint}
}
