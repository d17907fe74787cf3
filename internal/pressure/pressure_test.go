package pressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// TestThresholdsTravelUpTheChain is the chain of two nodes: the second one
// knows the bottom's threshold and tells it on for the route that calls there.
func TestThresholdsTravelUpTheChain(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, ingress := New(clock), New(clock)
	middle.RecordCalls("view", "fetch", CallStats{Count: 1})
	middle.Report("fetch", "bottom-1", Level{Threshold: 200}, 10)
	middle.Report("fetch", "bottom-2", Level{Threshold: 300}, 10)
	assert.Equal(t, middle.Downstream("view").Threshold, uint16(300))
	assert.Equal(t, middle.Downstream("export").Threshold, shed.None, "a route that calls nothing is not held back")
	ingress.Report("view", "middle", middle.Downstream("view"), 10)
	assert.Assert(t, ingress.Threshold("view") <= 300)
	assert.Assert(t, ingress.Threshold("view") > 299)
	assert.Assert(t, ingress.Threshold("export") == shed.None)
}

func TestAThresholdExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	levels.Report("view", "home", Level{Threshold: 1}, 10)
	assert.Assert(t, levels.Threshold("view") == 1)
	now = now.Add(expiry + time.Millisecond)
	assert.Assert(t, levels.Threshold("view") == shed.None)
}

// TestAHomeThatTakesNothingIsNoRoom has one of two homes leave that told before that
// it has room: the other one's threshold holds.
func TestAHomeThatTakesNothingIsNoRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	levels.Report("view", "full", Level{Threshold: 200}, 10)
	levels.Report("view", "leaving", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None)
	levels.Remove("leaving")
	assert.Equal(t, levels.Threshold("view"), uint16(200))
	levels.Report("view", "leaving", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None, "it is back")
}

func TestARepeatedReportKeepsTheThreshold(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	for range 40 {
		levels.Report("view", "home", Level{Threshold: 1}, 10)
		assert.Assert(t, levels.Threshold("view") == 1)
		now = now.Add(expiry / 20)
	}
	levels.Report("view", "home", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None, "a raised threshold holds at once")
}

// TestTheSizeOfATreeIsToldUpTheChain has a request make two calls, each of which
// makes four: ten calls in all.
func TestTheSizeOfATreeIsToldUpTheChain(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, top := New(clock), New(clock)
	for made := range 4 {
		middle.RecordCalls("card", "price", CallStats{Count: made + 1})
	}
	middle.RecordCalls("card", "price", CallStats{Count: 1})
	assert.Equal(t, middle.ExpectedCalls("card", "price"), 4)
	assert.Equal(t, middle.Downstream("card").Calls, 4)
	top.RecordCalls("booking", "card", CallStats{Count: 2})
	top.Report("card", "middle", middle.Downstream("card"), 10)
	assert.Equal(t, top.Calls("card"), 4)
	assert.Equal(t, top.Downstream("booking").Calls, 10)
	assert.Equal(t, top.Downstream("unknown").Calls, 0)
}

// TestScarceRepetitionsAreToldUpTheChain has one of two homes lack repetitions for
// the calls that a route's requests make.
func TestScarceRepetitionsAreToldUpTheChain(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, top := New(clock), New(clock)
	middle.RecordCalls("card", "price", CallStats{Count: 4, Scarce: true})
	top.Report("card", "middle-1", middle.Downstream("card"), 10)
	top.Report("card", "middle-2", Level{Threshold: shed.None}, 10)
	assert.Assert(t, top.RetryBudgetLow("card"), "one home is enough")
	top.RecordCalls("view", "card", CallStats{Count: 1})
	assert.Assert(t, top.Downstream("view").RetryBudgetLow)
	now = now.Add(expiry)
	assert.Assert(t, !top.RetryBudgetLow("card"))
	assert.Assert(t, !top.Downstream("view").RetryBudgetLow)
	middle.RecordCalls("card", "price", CallStats{Count: 1})
	assert.Assert(t, !middle.Downstream("card").RetryBudgetLow, "the newest look counts")
}
