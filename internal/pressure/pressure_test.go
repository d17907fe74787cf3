package pressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// TestThresholdsPropagateUpstream covers a chain of calls over two nodes: the middle
// node receives the thresholds of the bottom homes and reports them upstream for the
// route that calls there.
func TestThresholdsPropagateUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, ingress := New(clock), New(clock)
	middle.RecordCalls("view", "fetch", CallStats{Count: 1})
	middle.Report("fetch", "bottom-1", Level{Threshold: 200}, 10)
	middle.Report("fetch", "bottom-2", Level{Threshold: 300}, 10)
	assert.Equal(t, middle.Downstream("view").Threshold, uint16(300))
	assert.Equal(t, middle.Downstream("export").Threshold, shed.None, "a route without downstream calls is not restricted")
	ingress.Report("view", "middle", middle.Downstream("view"), 10)
	assert.Assert(t, ingress.Threshold("view") <= 300)
	assert.Assert(t, ingress.Threshold("view") > 299)
	assert.Assert(t, ingress.Threshold("export") == shed.None)
}

func TestThresholdExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	levels.Report("view", "home", Level{Threshold: 1}, 10)
	assert.Assert(t, levels.Threshold("view") == 1)
	now = now.Add(reportExpiry + time.Millisecond)
	assert.Assert(t, levels.Threshold("view") == shed.None)
}

// TestRemovedHomeDoesNotRaiseThreshold removes a home that had reported free capacity. Its
// last report must no longer count, so that the threshold of the other home applies.
func TestRemovedHomeDoesNotRaiseThreshold(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	levels.Report("view", "full", Level{Threshold: 200}, 10)
	levels.Report("view", "leaving", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None)
	levels.Remove("leaving")
	assert.Equal(t, levels.Threshold("view"), uint16(200))
	levels.Report("view", "leaving", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None, "the home accepts calls again")
}

func TestRepeatedReportKeepsThreshold(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	for range 40 {
		levels.Report("view", "home", Level{Threshold: 1}, 10)
		assert.Assert(t, levels.Threshold("view") == 1)
		now = now.Add(reportExpiry / 20)
	}
	levels.Report("view", "home", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None, "a raised threshold applies at once")
}

// TestCallCountsPropagateUpstream covers a request that makes two calls, each of which
// makes four: ten calls in total.
func TestCallCountsPropagateUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, top := New(clock), New(clock)
	for made := range 4 {
		middle.RecordCalls("card", "price", CallStats{Count: made + 1})
	}
	middle.RecordCalls("card", "price", CallStats{Count: 1})
	assert.Equal(t, middle.ExpectedCalls("card", "price"), 4)
	assert.Equal(t, middle.Downstream("card").CallsPerRequest, 4)
	top.RecordCalls("booking", "card", CallStats{Count: 2})
	top.Report("card", "middle", middle.Downstream("card"), 10)
	assert.Equal(t, top.Calls("card"), 4)
	assert.Equal(t, top.Downstream("booking").CallsPerRequest, 10)
	assert.Equal(t, top.Downstream("unknown").CallsPerRequest, 0)
}

// TestLowRetryBudgetPropagatesUpstream covers two homes of a route, one of which reports
// that its retry budget barely covers the downstream calls of its requests.
func TestLowRetryBudgetPropagatesUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, top := New(clock), New(clock)
	middle.RecordCalls("card", "price", CallStats{Count: 4, RetryBudgetLow: true})
	top.Report("card", "middle-1", middle.Downstream("card"), 10)
	top.Report("card", "middle-2", Level{Threshold: shed.None}, 10)
	assert.Assert(t, top.RetryBudgetLow("card"), "a report of one home suffices")
	top.RecordCalls("view", "card", CallStats{Count: 1})
	assert.Assert(t, top.Downstream("view").RetryBudgetLow)
	now = now.Add(reportExpiry)
	assert.Assert(t, !top.RetryBudgetLow("card"))
	assert.Assert(t, !top.Downstream("view").RetryBudgetLow)
	middle.RecordCalls("card", "price", CallStats{Count: 1})
	assert.Assert(t, !middle.Downstream("card").RetryBudgetLow, "the most recent observation applies")
}
