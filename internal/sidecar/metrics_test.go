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

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/forward"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/platform"
)

var metricLine = regexp.MustCompile(`(?m)^# TYPE (lugspur_[a-z_]+) `)

func scrape(n *Node) string {
	answer := httptest.NewRecorder()
	n.metrics.handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	return answer.Body.String()
}

func newTestNode(t *testing.T) *Node { return newTestNodeWith(t, func(*Settings) {}) }

// newTestNodeWith returns a node with changed settings.
func newTestNodeWith(t *testing.T, change func(*Settings)) *Node {
	t.Helper()
	settings, err := Parse([]byte(renderTemplate(t)))
	assert.NilError(t, err)
	change(&settings)
	node, err := New(settings, io.Discard)
	assert.NilError(t, err)
	return node
}

// TestEveryMetricIsDocumented checks that docs/METRICS.md lists exactly the metrics that a
// node serves if all parts are enabled.
func TestEveryMetricIsDocumented(t *testing.T) {
	n := newTestNodeWith(t, func(s *Settings) { s.Shortage.ZoneLosses = 1 })
	n.shortages.SetHomes("s", 10)
	n.costs.Merge("r", "s", []downstream.Cost{{Service: "s", Calls: 1}})
	n.costs.Merge("r", "split", []downstream.Cost{{Service: "s", Calls: 1}})
	n.metrics.TenantChecked("tenant", "")
	n.metrics.RequestFinished("r", 200, "", time.Second)
	n.metrics.CallFinished(peering.Answered, "", time.Millisecond, time.Second)
	n.metrics.CallSent(guard.FirstSend)
	n.metrics.CallGivenBack("s")
	n.metrics.LoadReported(pace.WithPace)
	n.metrics.countRefusedHeartbeat(registry.RefusedSlots)
	n.metrics.BudgetCounted("s", forward.FirstSent, "")
	n.storeCalls.CallEnded(purposeRecords, "list", "done")
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
	n.metrics.CallFinished(peering.Refused, peering.QueueTimeout, 180*time.Millisecond, 0)
	n.metrics.CallFinished(peering.Answered, "", time.Millisecond, 30*time.Millisecond)
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
	assert.Assert(t, !strings.Contains(text, `call_target_seconds_count{outcome="refused"}`), "a refused call must not count as time at the target")
}

// TestShortagePartsAreEnabledOnlyIfExpected checks the switch of return places and of thresholds by
// service, and that the metric of places exists in both cases.
func TestShortagePartsAreEnabledOnlyIfExpected(t *testing.T) {
	for zoneLosses, expected := range []bool{false, true} {
		n := newTestNodeWith(t, func(s *Settings) { s.Shortage.ZoneLosses = zoneLosses })
		assert.Equal(t, n.places != nil, expected)
		assert.Equal(t, n.shortages != nil && n.costs != nil, expected)
		assert.Assert(t, strings.Contains(scrape(n), `lugspur_return_places_total{result="none-left"} 0`))
	}
}

// TestDirectoryWeighsReports guards against thresholds of services whose homes are not applied from the
// directory, or remain after the homes are gone.
func TestDirectoryWeighsReports(t *testing.T) {
	n := newTestNodeWith(t, func(s *Settings) { s.Shortage.ZoneLosses = 1 })
	report := []shortage.Report{{Service: "s", Home: "h", Threshold: 300, Weight: 10}}
	const address = "10.0.0.2:8300"
	key := platform.HomesPrefix + address
	record, err := cbor.Marshal(registry.Record{Instance: "i", Service: "s", Zone: "z", Address: address, Slots: 10, State: registry.Ready})
	assert.NilError(t, err)
	n.shortages.Merge(report)
	n.directory.ApplyChanges([]store.Entry{{Key: key, Value: record, Revision: 1}}, "store")
	applied := n.applyWeights(nil)
	assert.Equal(t, n.shortages.Threshold("s"), shed.None, "the service had no homes")
	n.shortages.Merge(report)
	assert.Equal(t, n.shortages.Threshold("s"), uint16(300))
	record, err = cbor.Marshal(registry.Record{Instance: "i", Service: "s", Zone: "z", Address: address, Slots: 10, State: registry.Draining})
	assert.NilError(t, err)
	n.directory.ApplyChanges([]store.Entry{{Key: key, Value: record, Revision: 2}}, "store")
	n.applyWeights(applied)
	n.shortages.Merge(report)
	assert.Equal(t, n.shortages.Counts().Ignored, uint64(2))
}

// TestStoreCallsAreCountedOnce checks that each store call is counted once in the metrics
// and reported in one log event.
func TestStoreCallsAreCountedOnce(t *testing.T) {
	n := newTestNode(t)
	for range 3 {
		n.storeCalls.CallEnded(purposeRecords, "watch", "done")
	}
	n.storeCalls.CallEnded(purposeOwnRecord, "compare and swap", "conflict")
	n.storeCalls.logCounts()
	n.storeCalls.CallEnded(purposeRecords, "watch", "done")
	n.storeCalls.logCounts()
	n.storeCalls.logCounts()
	text := scrape(n)
	for _, line := range []string{
		`lugspur_store_calls_total{call="watch",outcome="done",purpose="records"} 4`,
		`lugspur_store_calls_total{call="compare and swap",outcome="conflict",purpose="own-record"} 1`,
		`lugspur_events_total{kind="store-calls"} 2`,
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%s in\n%s", line, text)
	}
}

func TestRouteLabelsAreBounded(t *testing.T) {
	n := newTestNode(t)
	for i := range 3 * maxRouteLabels {
		n.metrics.RequestFinished(strings.Repeat("r", i+1), 200, "", time.Second)
	}
	assert.Equal(t, strings.Count(scrape(n), "lugspur_requests_total{"), maxRouteLabels+1)
}

// TestMetricsPageBeginsWithFailureMetrics checks that the first 4 KB of the page contain the
// metrics that show why requests fail, also with many routes. A collector once truncated
// pages at 4 KB, within the first histograms, and lost the retry budget metrics after them.
func TestMetricsPageBeginsWithFailureMetrics(t *testing.T) {
	const truncatedBytes = 4 << 10
	n := newTestNode(t)
	for i := range 8 {
		route := "route-" + strconv.Itoa(i)
		n.metrics.RequestFinished(route, 200, "", time.Second)
		n.metrics.RequestFinished(route, 503, "overloaded", time.Second)
	}
	n.metrics.CallFinished(peering.Answered, "", time.Millisecond, time.Second)
	for _, service := range []string{"a", "b", "c", "d"} {
		n.metrics.BudgetCounted(service, forward.FirstSent, "")
		n.metrics.BudgetCounted(service, forward.RetrySent, peering.TargetFull)
		n.metrics.BudgetCounted(service, forward.RetryDenied, peering.TargetFull)
	}
	start := scrape(n)[:truncatedBytes]
	for _, line := range []string{
		`lugspur_retry_budget_events_total{cause="target-full",kind="repeated",service="d"} 1`,
		`lugspur_retry_budget_events_total{cause="",kind="first",service="a"} 1`,
		"lugspur_retry_budget_left 0",
		`lugspur_requests_total{reason="overloaded",route="route-7",status="503"} 1`,
		`lugspur_calls_total{outcome="answered",reason=""} 1`,
	} {
		assert.Assert(t, strings.Contains(start, line+"\n"), line)
	}
}
