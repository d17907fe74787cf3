package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/mesh"
)

func testMesh() *mesh.Mesh {
	return &mesh.Mesh{
		Name:     "test",
		Services: []mesh.Service{{Name: "view"}, {Name: "order"}},
		Kinds: []mesh.Kind{
			{Name: "look", Service: "view", Method: "GET", Path: "/x", Callers: []string{"grower", "field"}, CallersEach: 3, Share: 3, DeadlineMs: 2000},
			{Name: "vent", Service: "order", Method: "POST", Path: "/y", Callers: []string{"grower"}, CallersEach: 3, Keyed: true, Share: 1, DeadlineMs: 2000},
		},
	}
}

func writeCompleteAnswer(w http.ResponseWriter, r *http.Request, nonce string) {
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	body, _ := answer.Answer{Service: service, Nonce: nonce}.Encode()
	w.Header().Set(callcontext.RequestIDHeader, "id-"+nonce)
	_, _ = w.Write(body)
}

func planFor(t *testing.T, handler http.HandlerFunc) Plan {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return Plan{
		Mesh:        testMesh(),
		Edges:       mesh.ZoneAddresses{"a": {strings.TrimPrefix(server.URL, "http://")}},
		Rate:        400,
		Phases:      []Phase{{Name: "steady", Duration: 300 * time.Millisecond, Multiplier: 1}},
		Seed:        5,
		KeepHistory: true,
	}
}

func run(t *testing.T, plan Plan) *Result {
	t.Helper()
	result, err := Run(t.Context(), plan)
	assert.NilError(t, err)
	return result
}

func TestCompleteRun(t *testing.T) {
	plan := planFor(t, func(w http.ResponseWriter, r *http.Request) {
		if (r.Method == http.MethodPost) != (r.Header.Get(callcontext.IdempotencyKeyHeader) != "") ||
			r.Header.Get(callcontext.CallerHeader) == "" {
			http.Error(w, "bad headers", http.StatusBadRequest)
			return
		}
		writeCompleteAnswer(w, r, r.Header.Get(answer.NonceHeader))
	})
	var history bytes.Buffer
	plan.History = &history
	result := run(t, plan)
	assert.Assert(t, result.AllComplete(), "%+v", result.Total)
	assert.Assert(t, result.Total.Sent > 50)
	assert.Equal(t, result.Kind("look").Complete+result.Kind("vent").Complete, result.Total.Complete)
	assert.Assert(t, result.Kind("look").Quantile(50) > 0)
	assert.Equal(t, result.Timeline[0].Total, result.Total)
	assert.Equal(t, int64(len(result.History)), result.Total.Sent)
	assert.Equal(t, int64(strings.Count(history.String(), "\n")), result.Total.Sent)
	var first Call
	assert.NilError(t, json.Unmarshal([]byte(strings.SplitN(history.String(), "\n", 2)[0]), &first))
	assert.Equal(t, first.Last().RequestID, "id-"+first.Nonce)
	var table bytes.Buffer
	assert.NilError(t, result.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "vent"))
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		count   func(Counts) int64
	}{
		{"answer to another call", func(w http.ResponseWriter, r *http.Request) { writeCompleteAnswer(w, r, "other") },
			func(c Counts) int64 { return c.Wrong }},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"service":"vi`)) },
			func(c Counts) int64 { return c.Wrong }},
		{"refused, not run", func(w http.ResponseWriter, _ *http.Request) {
			problem.New(problem.Overloaded, problem.ExecutedNo, "admission", "n", "shed").WithRetryAfter(time.Second).Write(w)
		}, func(c Counts) int64 { return c.RefusedNo }},
		{"refused, may have run", func(w http.ResponseWriter, _ *http.Request) {
			problem.New(problem.TargetFailed, problem.ExecutedUnknown, "exchange", "t", "reset").Write(w)
		}, func(c Counts) int64 { return c.RefusedUnknown }},
		{"plain error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusInternalServerError) },
			func(c Counts) int64 { return c.Error }},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			func(c Counts) int64 { return c.Error }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := run(t, planFor(t, c.handler))
			assert.Assert(t, result.Total.Sent > 0)
			assert.Equal(t, c.count(result.Total), result.Total.Sent)
			assert.Assert(t, !result.AllComplete())
		})
	}
}

func TestDeadlineTimeout(t *testing.T) {
	plan := planFor(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after reading the body
		<-r.Context().Done()
	})
	for i := range plan.Mesh.Kinds {
		plan.Mesh.Kinds[i].DeadlineMs = 30
	}
	result := run(t, plan)
	assert.Equal(t, result.Total.Timeout, result.Total.Sent)
}

func TestImmediateRetryKeepsTheKey(t *testing.T) {
	var requests atomic.Int64
	plan := planFor(t, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 1 {
			problem.New(problem.Overloaded, problem.ExecutedNo, "admission", "n", "shed").Write(w)
			return
		}
		writeCompleteAnswer(w, r, r.Header.Get(answer.NonceHeader))
	})
	plan.Rate = 30
	plan.Retry = ImmediateRetry(50)
	result := run(t, plan)
	assert.Assert(t, result.AllComplete())
	assert.Equal(t, result.Total.Attempts, requests.Load())
	assert.Assert(t, result.Total.Attempts > result.Total.Sent)
	for _, call := range result.History {
		assert.Assert(t, !call.ReportedNotExecuted())
	}
}

func TestMaxInFlightDropsCalls(t *testing.T) {
	release := make(chan struct{})
	var open atomic.Int64
	plan := planFor(t, func(w http.ResponseWriter, r *http.Request) {
		open.Add(1)
		<-release
		writeCompleteAnswer(w, r, r.Header.Get(answer.NonceHeader))
	})
	plan.MaxInFlight = 10
	time.AfterFunc(plan.Phases[0].Duration+50*time.Millisecond, func() { close(release) })
	result := run(t, plan)
	assert.Equal(t, open.Load(), int64(10))
	assert.Equal(t, result.Total.Sent, int64(10))
	assert.Assert(t, result.Total.NotSent > 0)
	assert.Assert(t, result.Bottleneck && result.Invalid != "" && !result.AllComplete())
}

func TestLatencyFromIntendedStart(t *testing.T) {
	plan := planFor(t, nil)
	plan.setDefaults()
	start := time.Now()
	results := newCollector(&plan, start)
	results.recordStartDelay(time.Second)
	results.add(Call{Kind: "look", Intended: start, Attempts: []Attempt{
		{Start: start.Add(time.Second), End: start.Add(1100 * time.Millisecond), Verdict: VerdictComplete}}})
	result := results.result(time.Second)
	assert.Assert(t, result.Kind("look").Quantile(50) >= 1090*time.Millisecond)
	assert.Assert(t, result.Bottleneck)
}

func TestScheduleIsDeterministicAndFollowsPhases(t *testing.T) {
	plan := Plan{
		Mesh:  testMesh(),
		Edges: mesh.ZoneAddresses{"a": {"h:1", "h:2"}, "b": {"h:3"}},
		Rate:  1000,
		Seed:  9,
		Phases: []Phase{
			{Duration: 10 * time.Second, Multiplier: 1},
			{Duration: 10 * time.Second, Multiplier: 0},
			{Duration: 10 * time.Second, Multiplier: 3, KindMultipliers: map[string]float64{"vent": 0}},
		},
	}
	arrivalsOf := func() []arrival {
		var arrivals []arrival
		s := newSchedule(&plan)
		for next, ok := s.next(); ok; next, ok = s.next() {
			arrivals = append(arrivals, next)
		}
		return arrivals
	}
	first, second := arrivalsOf(), arrivalsOf()
	assert.Equal(t, len(first), len(second))
	counts := [3]int{}
	vents := [3]int{}
	for i, a := range first {
		assert.Equal(t, a, second[i])
		phase := int(a.offset / (10 * time.Second))
		counts[phase]++
		if a.kind == 1 {
			vents[phase]++
			assert.Assert(t, a.key != "")
		}
	}
	near := func(got, want int) bool { return got > want*95/100 && got < want*105/100 }
	assert.Assert(t, near(counts[0], 10_000) && near(vents[0], 2_500), "%v %v", counts, vents)
	assert.Equal(t, counts[1], 0)
	assert.Assert(t, near(counts[2], 22_500) && vents[2] == 0, "%v %v", counts, vents)
}

func TestPlanValidation(t *testing.T) {
	valid := planFor(t, nil)
	for name, invalidate := range map[string]func(*Plan){
		"mesh":  func(p *Plan) { p.Mesh = nil },
		"rate":  func(p *Plan) { p.Rate = 0 },
		"edge":  func(p *Plan) { p.Edges = nil },
		"phase": func(p *Plan) { p.Phases = nil },
		"kind":  func(p *Plan) { p.Phases = []Phase{{Duration: 1, KindMultipliers: map[string]float64{"x": 1}}} },
	} {
		plan := valid
		invalidate(&plan)
		_, err := Run(context.Background(), plan)
		assert.ErrorContains(t, err, name)
	}
}
