package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
)

func TestHandlerServesMetrics(t *testing.T) {
	m := New()
	m.RecordResponse(gateway.Edge, "a", 200, 30*time.Millisecond)
	m.RecordResponse(gateway.Edge, "a", 200, 70*time.Millisecond)
	m.RecordProblem(gateway.Mesh, "a", problem.New(problem.Overloaded, problem.ExecutedNo, "", "", ""), time.Millisecond)
	m.RecordRetry("a")
	depth := 3.0
	m.RegisterGauge("depth", "Depth.", func() float64 { return depth })
	m.RegisterCounter("sent_total", "Sent.", func() float64 { return 9 })
	m.RegisterHomes(func() map[string]home.Load {
		return map[string]home.Load{"a-1": {InFlight: 2, Limit: 8, Queued: 1, QueueDelay: 250 * time.Millisecond, Threshold: 512}}
	})
	depth = 4
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, recorder.Code, 200)
	lines := map[string]bool{}
	for line := range strings.Lines(recorder.Body.String()) {
		lines[strings.TrimSpace(line)] = true
	}
	for _, line := range []string{
		`lugspur_answers_total{listener="edge",service="a",status="200"} 2`,
		`lugspur_refusals_total{executed="no",listener="mesh",reason="overloaded",service="a"} 1`,
		`lugspur_retries_total{service="a"} 1`,
		`lugspur_call_duration_seconds_bucket{listener="edge",service="a",le="0.05"} 1`,
		`lugspur_call_duration_seconds_count{listener="edge",service="a"} 2`,
		`lugspur_depth 4`,
		`lugspur_sent_total 9`,
		`lugspur_target_in_flight{target="a-1"} 2`,
		`lugspur_target_limit{target="a-1"} 8`,
		`lugspur_target_queued{target="a-1"} 1`,
		`lugspur_target_queue_delay_seconds{target="a-1"} 0.25`,
		`lugspur_target_shed_threshold{target="a-1"} 512`,
	} {
		assert.Check(t, lines[line], "missing line %s", line)
	}
}
