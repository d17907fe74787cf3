package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/mesh"
)

func TestAnswerFaults(t *testing.T) {
	expected := answer.Expectation{Service: "back", Nonce: "n1"}
	cases := []struct {
		name   string
		faults string
		check  func(reply) bool
	}{
		{"error", `{"error_rate":1}`, func(r reply) bool { return r.err == nil && r.status == http.StatusInternalServerError }},
		{"reset", `{"reset_rate":1}`, func(r reply) bool { return r.err != nil }},
		{"truncated", `{"truncate_rate":1}`, func(r reply) bool { return errors.Is(r.err, io.ErrUnexpectedEOF) }},
		{"truncated chunks", `{"truncate_rate":1,"chunked":true}`, func(r reply) bool { return errors.Is(r.err, io.ErrUnexpectedEOF) }},
		{"chunked", `{"chunked":true}`, func(r reply) bool { return r.err == nil && len(answer.Verify(r.body, expected)) == 0 }},
		{"down", `{"down":true}`, func(r reply) bool { return r.err != nil }},
		{"none", `{}`, func(r reply) bool { return r.err == nil && len(answer.Verify(r.body, expected)) == 0 }},
	}
	f := start(t, testMesh())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, f.control(t, "/targets/back-1/faults", c.faults), http.StatusNoContent)
			got := f.get(t.Context(), "back", "/x", callHeader("n1"))
			assert.Assert(t, c.check(got), "%d %v", got.status, got.err)
		})
	}
	assert.Equal(t, f.control(t, "/targets/back-1/faults", `{"error_rate":2}`), http.StatusBadRequest)
	assert.Equal(t, f.control(t, "/targets/back-1/faults", `{"colour":2}`), http.StatusBadRequest)
	assert.Equal(t, f.control(t, "/targets/none/faults", `{}`), http.StatusNotFound)
}

func TestFrozenAnswersSentAfterUnfreeze(t *testing.T) {
	f := start(t, testMesh())
	assert.NilError(t, f.SetFaults("back-1", Faults{FreezeAnswers: true}))
	done := make(chan reply, 1)
	go func() { done <- f.get(t.Context(), "back", "/x", callHeader("n1")) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		records := f.Records()
		if len(records) == 1 && records[0].Effect && f.State().Targets[1].Busy == 0 {
			return poll.Success()
		}
		return poll.Continue("%+v", records)
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, len(done), 0)
	assert.NilError(t, f.SetFaults("back-1", Faults{}))
	assert.Equal(t, (<-done).status, http.StatusOK)
}

func (f *fixture) health(t *testing.T) HealthReport {
	t.Helper()
	got := f.get(t.Context(), "back", "/health", nil)
	assert.NilError(t, got.err)
	var report HealthReport
	assert.NilError(t, json.Unmarshal(got.body, &report))
	return report
}

func TestDrainReportLag(t *testing.T) {
	m := testMesh()
	m.Services[1].ReportLagMs = 60_000
	f := start(t, m)
	assert.Equal(t, f.control(t, "/targets/back-1/drain", ""), http.StatusNoContent)
	got := f.get(t.Context(), "back", "/x", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(DrainingHeader), "true")
	assert.Equal(t, f.health(t).Health, Healthy) // the report lags by a minute
	assert.Equal(t, f.control(t, "/targets/back-1/faults", `{"report_lag_ms":0}`), http.StatusNoContent)
	assert.Equal(t, f.health(t).Health, Draining)
	assert.Equal(t, f.control(t, "/targets/back-1/restart", ""), http.StatusNoContent)
	assert.Equal(t, f.health(t).Health, Healthy)
	assert.Equal(t, len(f.Records()), 0)
}

func TestReportOverrides(t *testing.T) {
	f := start(t, testMesh())
	assert.Equal(t, f.control(t, "/targets/back-1/faults", `{"load_lie":0.9,"health_lie":"unhealthy"}`), http.StatusNoContent)
	report := f.health(t)
	assert.Equal(t, report.Health, Unhealthy)
	assert.Equal(t, report.Load, 0.9)
	assert.Equal(t, f.get(t.Context(), "back", "/x", nil).header.Get(LoadHeader), "0.900")
}

func TestColdFactorDecreasesLinearly(t *testing.T) {
	cold := mesh.ColdStart{DurationMs: 1000, SlowFactor: 5}
	assert.Equal(t, coldFactor(cold, 0), 5.0)
	assert.Equal(t, coldFactor(cold, 500*time.Millisecond), 3.0)
	assert.Equal(t, coldFactor(cold, 2*time.Second), 1.0)
}
