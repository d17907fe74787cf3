package emulator

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
)

func TestSlotQueueIsFIFOAndCancellationFreesSlot(t *testing.T) {
	f := start(t, testMesh())
	assert.NilError(t, f.SetFaults("back-1", Faults{SlowFactor: 1e6}))
	cancelFirst, first := f.occupySlot(t, nil)
	second := make(chan reply, 1)
	go func() { second <- f.get(t.Context(), "back", "/x", callHeader("n2")) }()
	f.waitFor(t, func(s TargetState) bool { return s.Waiting == 1 }, "back")
	assert.Equal(t, len(f.Records()), 1) // the waiting call hasn't started
	assert.NilError(t, f.SetFaults("back-1", Faults{}))
	cancelFirst()
	assert.Assert(t, errors.Is((<-first).err, context.Canceled))
	assert.Equal(t, (<-second).status, http.StatusOK)
	assert.NilError(t, f.WaitIdle(t.Context()))
	assert.Equal(t, f.Records()[0].Outcome, OutcomeCancelled)
	assert.Equal(t, f.Records()[1].Outcome, OutcomeComplete)
}

func TestDeadlineExpiresInQueue(t *testing.T) {
	f := start(t, testMesh())
	assert.NilError(t, f.SetFaults("back-1", Faults{SlowFactor: 1e6}))
	cancel, _ := f.occupySlot(t, nil)
	defer cancel()
	for _, timeout := range []string{"20", "0"} {
		header := callHeader("n2")
		header.Set(callcontext.TimeoutHeader, timeout)
		got := f.get(t.Context(), "back", "/x", header)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.header.Get(ShedHeader), "true")
		assert.Equal(t, len(f.Records()), 1)
	}
}

func TestExpiredDeadlineRefusedWithFreeSlot(t *testing.T) {
	f := start(t, testMesh())
	header := callHeader("n1")
	header.Set(callcontext.TimeoutHeader, "0")
	assert.Equal(t, f.get(t.Context(), "back", "/x", header).header.Get(ShedHeader), "true")
	assert.Equal(t, len(f.Records()), 0)
}

func TestIgnoreCancellationCompletesWork(t *testing.T) {
	m := testMesh()
	m.Services[1].IgnoresCancellation = true
	m.Services[1].Time.MedianMs = 50
	f := start(t, m)
	cancel, done := f.occupySlot(t, nil)
	cancel()
	<-done
	assert.NilError(t, f.WaitIdle(t.Context()))
	record := f.Records()[0]
	assert.Assert(t, record.End.Sub(record.Start) >= 50*time.Millisecond, "%+v", record)
}

func TestCloseCancelsRunningWork(t *testing.T) {
	before := goleak.IgnoreCurrent()
	started, err := Start(Config{Mesh: testMesh(), ControlAddress: "127.0.0.1:0"})
	assert.NilError(t, err)
	assert.NilError(t, started.SetFaults("back-1", Faults{SlowFactor: 1e6, IgnoreCancellation: true}))
	f := &fixture{Emulator: started, addresses: map[string]string{"back": started.Targets()[1].Address}}
	_, done := f.occupySlot(t, nil)
	assert.NilError(t, started.Close())
	<-done
	assert.NilError(t, started.WaitIdle(t.Context()))
	goleak.VerifyNone(t, before)
}

func TestTargetShedsExcessWaiting(t *testing.T) {
	m := testMesh()
	m.Services[1].ShedWaiting = 1
	f := start(t, m)
	assert.NilError(t, f.SetFaults("back-1", Faults{SlowFactor: 1e6}))
	cancel, _ := f.occupySlot(t, nil)
	defer cancel()
	go f.get(t.Context(), "back", "/x", nil)
	f.waitFor(t, func(s TargetState) bool { return s.Waiting == 1 }, "back")
	got := f.get(t.Context(), "back", "/x", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(ShedHeader), "true")
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}

func TestConnectionLimit(t *testing.T) {
	m := testMesh()
	m.Targets[1].Connections = 1
	f := start(t, m)
	assert.NilError(t, f.SetFaults("back-1", Faults{SlowFactor: 1e6}))
	cancel, done := f.occupySlot(t, nil)
	got := f.get(t.Context(), "back", "/x", nil)
	assert.Assert(t, got.err != nil)
	cancel()
	<-done
	assert.NilError(t, f.SetFaults("back-1", Faults{}))
	f.waitFor(t, func(s TargetState) bool { return s.OpenConnections == 0 && s.RefusedConnections == 1 }, "back")
	assert.Equal(t, f.get(t.Context(), "back", "/x", nil).status, http.StatusOK)
}
