package resend

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
)

func TestResentMatchesOnlySameFailedCall(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now })
	failed := callcontext.Context{RequestID: callcontext.NewRequestID(), Span: callcontext.NewSpanID(), Deadline: now.Add(time.Second)}
	fingerprint := FingerprintOf("a", "GET", "/x", nil)
	assert.Assert(t, !table.IsResend(failed, fingerprint))
	table.RecordFailure(failed, fingerprint)
	assert.Assert(t, table.IsResend(failed, fingerprint))

	otherRequest, otherParent := failed, failed
	otherRequest.RequestID = callcontext.NewRequestID()
	otherParent.Span = callcontext.NewSpanID()
	assert.Assert(t, !table.IsResend(otherRequest, fingerprint))
	assert.Assert(t, !table.IsResend(otherParent, fingerprint))
	for _, other := range []Fingerprint{
		FingerprintOf("b", "GET", "/x", nil), FingerprintOf("a", "POST", "/x", nil),
		FingerprintOf("a", "GET", "/y", nil), FingerprintOf("a", "GET", "/x", []byte("body")),
		FingerprintOf("aG", "ET", "/x", nil),
	} {
		assert.Assert(t, !table.IsResend(failed, other))
	}

	now = now.Add(time.Second)
	assert.Assert(t, !table.IsResend(failed, fingerprint), "the deadline has passed")
}

func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now })
	context := callcontext.Context{Deadline: now.Add(time.Hour)}
	for i := range 3 * MaxCalls {
		table.RecordFailure(context, FingerprintOf("a", "GET", strconv.Itoa(i), nil))
	}
	assert.Assert(t, len(table.current)+len(table.previous) <= MaxCalls)
	assert.Assert(t, table.IsResend(context, FingerprintOf("a", "GET", strconv.Itoa(3*MaxCalls-1), nil)))
}
