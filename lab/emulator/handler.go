package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Headers of a target's answers.
const (
	// LoadHeader carries the reported share of busy slots, from 0 to 1.
	LoadHeader = "Target-Load"
	// ShedHeader marks the refusal of a call that the target hasn't started.
	ShedHeader = "Target-Shed"
	// DrainingHeader marks a refusal by a draining target.
	DrainingHeader = "Target-Draining"
)

var errNotStarted = errors.New("the caller left or the deadline passed before a slot was free")

func (t *target) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("/", t.serveCall)
	return mux
}

// HealthReport is the response body of /health and /load.
type HealthReport struct {
	Target string  `json:"target"`
	Health Health  `json:"health"`
	Load   float64 `json:"load"`
}

func (t *target) healthReport() HealthReport {
	current := t.currentReport()
	return HealthReport{Target: t.settings.Name, Health: current.health, Load: current.load}
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	body := t.healthReport()
	status := http.StatusOK
	if body.Health != Healthy {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, body)
}

func (t *target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.healthReport())
}

func writeJSON[T any](w http.ResponseWriter, status int, value T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (t *target) serveCall(w http.ResponseWriter, r *http.Request) {
	if !t.emulator.beginHandler() {
		panic(http.ErrAbortHandler)
	}
	defer t.emulator.handlers.Done()
	// net/http detects a disconnect only after the body was read to its end.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	w.Header().Set(LoadHeader, strconv.FormatFloat(t.currentReport().load, 'f', 3, 64))
	work, ok := t.service.Work(r.Method, r.URL.Path)
	if !ok {
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	if t.isDraining() {
		w.Header().Set("Connection", "close")
		w.Header().Set(DrainingHeader, "true")
		t.shed(w, "draining")
		return
	}
	ctx, cancel := t.workContext(r)
	defer cancel()
	if err := t.acquire(ctx); err != nil {
		t.shed(w, err.Error())
		return
	}
	t.execute(ctx, w, r, work)
}

// shed refuses a call that hasn't been started, with status 503.
func (t *target) shed(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set(ShedHeader, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// workContext returns the context of an execution. It is canceled when the
// caller disconnects or the deadline passes, unless the target ignores
// cancellation.
func (t *target) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	if t.service.IgnoresCancellation || t.currentFaults().IgnoreCancellation {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	millis, err := strconv.ParseInt(r.Header.Get(callcontext.TimeoutHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

// acquire acquires a slot; calls wait for one in FIFO order.
func (t *target) acquire(ctx context.Context) error {
	if ctx.Err() != nil {
		return errNotStarted
	}
	if t.slots.TryAcquire(1) {
		t.busy.Add(1)
		return nil
	}
	waiting := t.waiting.Add(1)
	defer t.waiting.Add(-1)
	if limit := t.shedWaiting(); limit > 0 && waiting > int64(limit) {
		return fmt.Errorf("more than %d calls are waiting", limit)
	}
	if err := t.slots.Acquire(ctx, 1); err != nil {
		return errNotStarted
	}
	t.busy.Add(1)
	return nil
}

func (t *target) release() {
	t.busy.Add(-1)
	t.slots.Release(1)
}

// execution is one call that has acquired a slot.
type execution struct {
	target    *target
	record    *Record
	work      mesh.Work
	holdsSlot bool
}

func (t *target) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, work mesh.Work) {
	e := &execution{target: t, work: work, holdsSlot: true}
	e.record = t.emulator.recorder.start(Record{
		RequestID:      r.Header.Get(callcontext.RequestIDHeader),
		Target:         t.settings.Name,
		Service:        t.service.Name,
		Method:         r.Method,
		Path:           r.URL.Path,
		Caller:         r.Header.Get(callcontext.CallerHeader),
		IdempotencyKey: r.Header.Get(callcontext.IdempotencyKeyHeader),
		Nonce:          r.Header.Get(answer.NonceHeader),
		Start:          time.Now(),
	})
	outcome := OutcomeCancelled
	defer func() {
		e.releaseSlot()
		t.emulator.recorder.finish(e.record, outcome, time.Now())
	}()
	outcome = e.run(ctx, w, r)
	if outcome == OutcomeTruncated {
		panic(http.ErrAbortHandler)
	}
}

func (e *execution) releaseSlot() {
	if e.holdsSlot {
		e.holdsSlot = false
		e.target.release()
	}
}

func (e *execution) run(ctx context.Context, w http.ResponseWriter, r *http.Request) Outcome {
	parts, failure := e.callDownstream(ctx, r)
	if failure != nil {
		return e.answerFailure(ctx, w, failure)
	}
	e.target.emulator.recorder.markEffect(e.record)
	if !e.sleep(ctx, e.target.serviceTime(e.work.Time)) {
		http.Error(w, "cancelled", http.StatusServiceUnavailable)
		return OutcomeCancelled
	}
	e.releaseSlot()
	return e.answer(ctx, w, parts)
}

func (e *execution) callDownstream(ctx context.Context, r *http.Request) ([]answer.Answer, *callFailure) {
	if len(e.work.Calls) == 0 {
		return nil, nil
	}
	if e.target.service.ReleaseWhileCalling {
		e.releaseSlot()
	}
	parts, failure := e.target.downstream.callAll(ctx, r.Header, e.work.Calls)
	if failure != nil || e.holdsSlot {
		return parts, failure
	}
	if err := e.target.slots.Acquire(ctx, 1); err != nil {
		return nil, &callFailure{status: http.StatusServiceUnavailable, err: err}
	}
	e.target.busy.Add(1)
	e.holdsSlot = true
	return parts, nil
}

func (e *execution) sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-e.target.emulator.closing:
		return false
	}
}

// answerFailure responds with the failure of a required downstream call.
func (e *execution) answerFailure(ctx context.Context, w http.ResponseWriter, failure *callFailure) Outcome {
	if failure.retryAfter != "" {
		w.Header().Set("Retry-After", failure.retryAfter)
	}
	if failure.executed != "" {
		w.Header().Set(problem.ExecutedHeader, failure.executed)
	}
	http.Error(w, failure.err.Error(), failure.status)
	if ctx.Err() != nil {
		return OutcomeCancelled
	}
	return OutcomeChildFailed
}
