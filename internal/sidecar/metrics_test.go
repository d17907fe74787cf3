package sidecar

import (
	"io"
	"net/http/httptest"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/forward"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

var metricLine = regexp.MustCompile(`(?m)^# TYPE (lugspur_[a-z_]+) `)

func scrape(n *Node) string {
	answer := httptest.NewRecorder()
	n.metrics.handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	return answer.Body.String()
}

func newTestNode(t *testing.T) *Node {
	t.Helper()
	settings, err := Parse([]byte(fill(t)))
	assert.NilError(t, err)
	node, err := New(settings, io.Discard)
	assert.NilError(t, err)
	return node
}

// TestThePageListsEveryMetric compares the metrics that a node serves with the
// page.
func TestThePageListsEveryMetric(t *testing.T) {
	n := newTestNode(t)
	n.metrics.Identified("tenant", "")
	n.metrics.Finished("r", 200, "", time.Second)
	n.metrics.Ended(peering.Answered, "", time.Millisecond, time.Second)
	n.metrics.heartbeatRefused(registry.RefusedSlots)
	n.metrics.BudgetCounted("s", forward.FirstSent, "")
	n.calls.CallEnded(purposeRecords, "list", "done")
	var served []string
	for _, match := range metricLine.FindAllStringSubmatch(scrape(n), -1) {
		served = append(served, match[1])
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	var documented []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, "| `lugspur_") {
			documented = append(documented, strings.Split(line, "`")[1])
		}
	}
	sort.Strings(documented)
	sort.Strings(served)
	assert.DeepEqual(t, documented, served)
}

func TestCallsAreCountedByOutcome(t *testing.T) {
	n := newTestNode(t)
	n.metrics.Ended(peering.Refused, peering.QueueTimeout, 180*time.Millisecond, 0)
	n.metrics.Ended(peering.Answered, "", time.Millisecond, 30*time.Millisecond)
	text := scrape(n)
	for _, line := range []string{
		`lugspur_calls_total{outcome="refused",reason="waited"} 1`,
		`lugspur_call_queue_seconds_bucket{outcome="refused",le="0.25"} 1`,
		`lugspur_call_target_seconds_count{outcome="answered"} 1`,
		`lugspur_retry_budget_left 0`,
		`lugspur_store_reachable 1`,
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%s in\n%s", line, text)
	}
	assert.Assert(t, !strings.Contains(text, `call_target_seconds_count{outcome="refused"}`), "a refused call was not at the target")
}

// TestStoreCallsAddUp has calls to the store counted in the metrics and told in
// the log, each once.
func TestStoreCallsAddUp(t *testing.T) {
	n := newTestNode(t)
	for range 3 {
		n.calls.CallEnded(purposeRecords, "watch", "done")
	}
	n.calls.CallEnded(purposeOwnRecord, "compare and swap", "conflict")
	n.calls.record()
	n.calls.CallEnded(purposeRecords, "watch", "done")
	n.calls.record()
	n.calls.record()
	text := scrape(n)
	for _, line := range []string{
		`lugspur_store_calls_total{call="watch",outcome="done",purpose="records"} 4`,
		`lugspur_store_calls_total{call="compare and swap",outcome="conflict",purpose="own-record"} 1`,
		`lugspur_events_total{kind="store-calls"} 2`,
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%s in\n%s", line, text)
	}
}

func TestRoutesBeyondTheBoundAreCountedTogether(t *testing.T) {
	n := newTestNode(t)
	for i := range 3 * maxRoutes {
		n.metrics.Finished(strings.Repeat("r", i+1), 200, "", time.Second)
	}
	assert.Equal(t, strings.Count(scrape(n), "lugspur_requests_total{"), maxRoutes+1)
}

// TestThePageBeginsWithWhatTellsWhyRequestsFail has a node that serves many routes.
// A collection of pages ended after their first 4 KB, in the first histograms; the
// retry budget stood behind them and could not be read.
func TestThePageBeginsWithWhatTellsWhyRequestsFail(t *testing.T) {
	const collected = 4 << 10
	n := newTestNode(t)
	for i := range 8 {
		route := "route-" + strconv.Itoa(i)
		n.metrics.Finished(route, 200, "", time.Second)
		n.metrics.Finished(route, 503, "overloaded", time.Second)
	}
	n.metrics.Ended(peering.Answered, "", time.Millisecond, time.Second)
	for _, service := range []string{"a", "b", "c", "d"} {
		n.metrics.BudgetCounted(service, forward.FirstSent, "")
		n.metrics.BudgetCounted(service, forward.RetrySent, peering.TargetFull)
		n.metrics.BudgetCounted(service, forward.RetryDenied, peering.TargetFull)
	}
	begin := scrape(n)[:collected]
	for _, line := range []string{
		`lugspur_retry_budget_events_total{cause="target-full",kind="repeated",service="d"} 1`,
		`lugspur_retry_budget_events_total{cause="",kind="first",service="a"} 1`,
		"lugspur_retry_budget_left 0",
		`lugspur_requests_total{reason="overloaded",route="route-7",status="503"} 1`,
		`lugspur_calls_total{outcome="answered",reason=""} 1`,
	} {
		assert.Assert(t, strings.Contains(begin, line+"\n"), line)
	}
}
