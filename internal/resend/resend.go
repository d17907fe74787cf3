// Package resend detects calls that a target sends again by itself after they failed.
// Such a call is a retry like any other and is charged to the retry budget; otherwise
// targets that retry on their own would multiply the load at every hop.
//
// A call is identified by its request, its parent in the call chain, and a hash of its
// content. Only failed calls are recorded, and only until their deadlines.
package resend

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/callcontext"
)

// MaxCalls bounds the failed calls that are recorded; beyond it the oldest half is
// dropped.
const MaxCalls = 65536

// Fingerprint is a hash of a call's service and content.
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

// callID identifies a call of one execution at a target.
type callID struct {
	request     callcontext.RequestID
	parent      callcontext.SpanID
	fingerprint Fingerprint
}

// Table records failed calls in two generations, which makes dropping old ones cheap. It
// is safe for concurrent use.
type Table struct {
	now func() time.Time

	mutex    sync.Mutex
	current  map[callID]time.Time
	previous map[callID]time.Time
	rotated  time.Time
}

// rotationInterval is the minimum time for which a failed call is recorded, unless the
// table is full.
const rotationInterval = 30 * time.Second

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, current: map[callID]time.Time{}, previous: map[callID]time.Time{}, rotated: now()}
}

// RecordFailure records until the context's deadline that the call failed.
func (t *Table) RecordFailure(context callcontext.Context, fingerprint Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if len(t.current) >= MaxCalls/2 || now.Sub(t.rotated) >= rotationInterval {
		t.previous = t.current
		t.current = map[callID]time.Time{}
		t.rotated = now
	}
	t.current[callIDOf(context, fingerprint)] = context.Deadline
}

// IsResend reports whether the call failed before.
func (t *Table) IsResend(context callcontext.Context, fingerprint Fingerprint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	id := callIDOf(context, fingerprint)
	deadline, known := t.current[id]
	if !known {
		deadline, known = t.previous[id]
	}
	return known && t.now().Before(deadline)
}

func callIDOf(context callcontext.Context, fingerprint Fingerprint) callID {
	return callID{request: context.RequestID, parent: context.Span, fingerprint: fingerprint}
}
