package chaos

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

func loadMesh(t *testing.T) *mesh.Mesh {
	t.Helper()
	loaded, err := mesh.Load("../../examples/naidu/mesh.toml")
	assert.NilError(t, err)
	return loaded
}

const testDuration = 30 * time.Second

func TestSameSeedGivesSameSchedule(t *testing.T) {
	m := loadMesh(t)
	assert.DeepEqual(t, NewSchedule(m, 2, 7, testDuration), NewSchedule(m, 2, 7, testDuration))
	first, err := json.Marshal(NewSchedule(m, 2, 7, testDuration))
	assert.NilError(t, err)
	second, err := json.Marshal(NewSchedule(m, 2, 8, testDuration))
	assert.NilError(t, err)
	assert.Assert(t, string(first) != string(second))
}

func TestScheduleRespectsConstraints(t *testing.T) {
	m := loadMesh(t)
	seen := map[FaultKind]bool{}
	pairs := 0
	for seed := range uint64(50) {
		busy := map[string]time.Duration{}
		faults := NewSchedule(m, 2, seed, testDuration)
		for index, fault := range faults {
			seen[fault.Kind] = true
			assert.Assert(t, fault.start()+fault.duration() <= testDuration, "%+v", fault)
			if index > 0 {
				assert.Assert(t, fault.StartMS >= faults[index-1].StartMS)
				pairs += boolToInt(fault.StartMS == faults[index-1].StartMS)
			}
			if fault.Kind == Kill || fault.Kind == Freeze || fault.Kind == Stop {
				assert.Assert(t, busy[fault.Nodes[0]] <= fault.start(), "%s has overlapping faults", fault.Nodes[0])
				busy[fault.Nodes[0]] = fault.start() + fault.duration()
			}
			assert.Assert(t, !isStoreFault(fault.Kind) || hasRaceAfter(faults, fault))
		}
	}
	assert.Assert(t, pairs > 100, "only %d pairs of simultaneous faults", pairs)
	for _, settings := range faultKinds {
		assert.Assert(t, seen[settings.kind], "%s was never generated", settings.kind)
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func hasRaceAfter(faults []Fault, of Fault) bool {
	for _, fault := range faults {
		if fault.Kind == Race && fault.start() == of.start()+raceDelay {
			return true
		}
	}
	return false
}

// edgeOf starts an edge that handles every call with the given handler.
func edgeOf(t *testing.T, zone string, handler http.HandlerFunc) edge {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return edge{zone: zone, address: strings.TrimPrefix(server.URL, "http://")}
}

func refuse(reason problem.Reason, step, detail string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		problem.New(reason, problem.ExecutedNo, step, "node", detail).WithRetryAfter(time.Second).Write(w)
	}
}

func respondComplete(t *testing.T) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := answer.Answer{Service: "ventctl", Nonce: r.Header.Get(answer.NonceHeader)}.Encode()
		assert.NilError(t, err)
		_, _ = w.Write(body)
	}
}

func plannedVentOrder(t *testing.T, m *mesh.Mesh, edges ...edge) plannedCall {
	t.Helper()
	kind, found := m.Kind("vent-order")
	assert.Assert(t, found)
	return plannedCall{kind: kind, caller: "grower-1", nonce: "n", key: "key-n", edges: edges, retryDelays: make([]time.Duration, len(edges))}
}

func TestKeyedCallsAreRetriedAtOtherEdges(t *testing.T) {
	m := loadMesh(t)
	unreachable := edge{zone: "one", address: "127.0.0.1:1"}
	refusing := edgeOf(t, "two", refuse(problem.Overloaded, "shed", "calls of this rank are being shed by ventctl"))
	answering := edgeOf(t, "three", respondComplete(t))
	recorder := &recorder{}
	c := newCallers(m, []edge{unreachable, refusing, answering}, recorder, 1)
	c.makeCall(t.Context(), plannedVentOrder(t, m, unreachable, refusing, answering))
	_, calls := recorder.snapshot()
	assert.Equal(t, len(calls), 3)
	for index, verdict := range []load.Verdict{load.VerdictError, load.VerdictRefused, load.VerdictComplete} {
		assert.Equal(t, calls[index].Verdict(), verdict)
		assert.Equal(t, calls[index].IdempotencyKey, "key-n")
	}
	assert.Equal(t, calls[1].RefusedBy, "ventctl")
	assert.Assert(t, strings.HasPrefix(calls[0].Last().Error, "dial "))
}

func TestDuplicateAndCompleteCallsAreNotRetried(t *testing.T) {
	m := loadMesh(t)
	duplicate := edgeOf(t, "one", func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.DuplicateRequest, problem.ExecutedUnknown, "claim", "node", "made before").Write(w)
	})
	for _, first := range []edge{duplicate, edgeOf(t, "one", respondComplete(t))} {
		recorder := &recorder{}
		c := newCallers(m, nil, recorder, 1)
		c.makeCall(t.Context(), plannedVentOrder(t, m, first, edgeOf(t, "two", respondComplete(t))))
		_, calls := recorder.snapshot()
		assert.Equal(t, len(calls), 1)
	}
}

func TestHedgedCallsUseTwoEdges(t *testing.T) {
	m := loadMesh(t)
	recorder := &recorder{}
	c := newCallers(m, nil, recorder, 1)
	planned := plannedVentOrder(t, m, edgeOf(t, "one", respondComplete(t)), edgeOf(t, "two", respondComplete(t)))
	planned.hedged = true
	c.makeCall(t.Context(), planned)
	c.pending.Wait()
	_, calls := recorder.snapshot()
	assert.Equal(t, len(calls), 2)
	assert.Assert(t, calls[0].Edge != calls[1].Edge)
}

func TestTruncatedAndIncorrectResponses(t *testing.T) {
	m := loadMesh(t)
	truncating := edgeOf(t, "one", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	})
	mismatched := edgeOf(t, "one", func(w http.ResponseWriter, _ *http.Request) {
		body, _ := answer.Answer{Service: "ventctl", Nonce: "another"}.Encode()
		_, _ = w.Write(body)
	})
	c := newCallers(m, nil, &recorder{}, 1)
	for to, verdict := range map[edge]load.Verdict{truncating: load.VerdictError, mismatched: load.VerdictWrong} {
		attempt, _ := c.attempt(t.Context(), plannedVentOrder(t, m, to), to)
		assert.Equal(t, attempt.Verdict, verdict)
		assert.Equal(t, attempt.Status == 0, verdict == load.VerdictError)
	}
}

func TestDownstreamRefusalNamesTheService(t *testing.T) {
	c := newCallers(loadMesh(t), nil, &recorder{}, 1)
	for body, service := range map[string]string{
		"call cropcal in zone malolo: status 503, overloaded\n":    "cropcal",
		"call cropcal in zone malolo: status 503, no-target\n":     "",
		"call cropcal in zone malolo: status 503\n":                "",
		"call unheard-of in zone malolo: status 503, overloaded\n": "",
		"": "",
	} {
		assert.Equal(t, c.refusingDownstream(body), service, "%q", body)
	}
}

func TestResentRequestsAreCountedOnce(t *testing.T) {
	sent := func(nonce string, from int, verdict load.Verdict) judge.Call {
		started := time.Unix(int64(from), 0)
		return judge.Call{Call: load.Call{Kind: "view", Nonce: nonce, Intended: started, Attempts: []load.Attempt{{Start: started, Verdict: verdict}}}}
	}
	result := Result{Kinds: map[string]Counts{}, Outcomes: map[string]int{}}
	result.count([]judge.Call{
		sent("a", 1, load.VerdictError), sent("a", 2, load.VerdictComplete),
		sent("b", 3, load.VerdictTimeout), sent("c", 9, load.VerdictComplete),
	}, time.Unix(5, 0))
	assert.Equal(t, result.Total, Counts{Requests: 3, Sends: 4, Complete: 2})
	assert.Equal(t, result.Recovery, Counts{Requests: 1, Sends: 1, Complete: 1})
}

func TestOperatorEditsAreDistinct(t *testing.T) {
	o := &operators{}
	original := json.RawMessage(`{"rank":"\"critical\"","refuse":"1"}`)
	edited := map[string]bool{}
	for range 3 {
		next, err := o.edit(original)
		assert.NilError(t, err)
		var policy resource.Policy
		assert.NilError(t, json.Unmarshal(next, &policy))
		assert.Equal(t, policy.Rank, `"critical"`)
		edited[policy.Refuse] = true
	}
	assert.Equal(t, len(edited), 3)
}

func TestCancelledRunCancelsItsCalls(t *testing.T) {
	m := loadMesh(t)
	hanging := edgeOf(t, "one", func(_ http.ResponseWriter, r *http.Request) {
		// The server detects that the client disconnected only after the request
		// body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	recorder := &recorder{}
	c := newCallers(m, []edge{hanging}, recorder, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	c.run(ctx, ctx, 200)
	_, calls := recorder.snapshot()
	assert.Assert(t, len(calls) > 0)
	assert.Equal(t, c.inFlight.Load(), int64(0))
}

func TestScheduleFileRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), ScheduleFile)
	faults := NewSchedule(loadMesh(t), 2, 3, testDuration)
	assert.NilError(t, writeJSON(path, faults))
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	var read []Fault
	assert.NilError(t, json.Unmarshal(content, &read))
	assert.DeepEqual(t, read, faults)
}
