package test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// outcome is what a caller got.
type outcome struct {
	nonce  string
	status int
	header http.Header
	body   []byte
	err    error
}

type option func(*http.Request)

func header(name, value string) option {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func idempotencyKey(key string) option { return header(callcontext.IdempotencyKeyHeader, key) }

func newNonce() string { return fmt.Sprintf("nonce-%016x", rand.Uint64()) }

// call makes one call with a nonce of its own.
func call(t *testing.T, method, address, path string, options ...option) outcome {
	t.Helper()
	got := outcome{nonce: newNonce()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(`{}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	assert.NilError(t, err)
	request.Header.Set(answer.NonceHeader, got.nonce)
	for _, option := range options {
		option(request)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status, got.header = response.StatusCode, response.Header
	got.body, got.err = io.ReadAll(response.Body)
	return got
}

// complete reports whether the caller got the complete answer to its own call.
func (o outcome) complete(service string, required ...string) bool {
	expected := answer.Expectation{Service: service, Nonce: o.nonce}
	for _, name := range required {
		expected.Required = append(expected.Required, answer.Expectation{Service: name})
	}
	return o.err == nil && o.status == http.StatusOK && len(answer.Verify(o.body, expected)) == 0
}

func (o outcome) String() string { return fmt.Sprintf("%d %v %.200s", o.status, o.err, o.body) }

// problem returns the problem document, nil if there is none.
func (o outcome) problem() *problem.Problem {
	if o.err != nil {
		return nil
	}
	told, err := problem.Parse(o.body)
	if err != nil {
		return nil
	}
	return told
}

// refused checks that the caller got a problem document.
func (o outcome) refused(t *testing.T, reason problem.Reason, executed problem.Executed) *problem.Problem {
	t.Helper()
	told := o.problem()
	assert.Assert(t, told != nil, "no problem document: %s", o)
	assert.Equal(t, told.Reason, reason, "%s", o)
	assert.Equal(t, told.Executed, executed, "%s", o)
	assert.Equal(t, o.header.Get(problem.ExecutedHeader), string(executed))
	return told
}

// executions returns the records by nonce.
func executions(t *testing.T, running *cluster.Cluster) map[string][]emulator.Record {
	t.Helper()
	records, err := running.Records(t.Context())
	assert.NilError(t, err)
	byNonce := map[string][]emulator.Record{}
	for _, record := range records {
		byNonce[record.Nonce] = append(byNonce[record.Nonce], record)
	}
	return byNonce
}

// loadSeed differs between loads, because a seed decides on nonces and keys.
var loadSeed atomic.Uint64

// sendLoad makes calls of all kinds for a while.
func sendLoad(t *testing.T, running *cluster.Cluster, edges mesh.ZoneAddresses, rate float64, duration time.Duration) *load.Result {
	t.Helper()
	result, err := load.Run(t.Context(), load.Plan{
		Mesh:        running.Mesh,
		Edges:       edges,
		Rate:        rate,
		Phases:      []load.Phase{{Name: "steady", Duration: duration, Multiplier: 1}},
		Seed:        loadSeed.Add(1),
		KeepHistory: true,
	})
	assert.NilError(t, err)
	assert.Equal(t, result.Invalid, "")
	return result
}

// checkTruth compares what callers were told with what targets have executed.
func checkTruth(t *testing.T, running *cluster.Cluster, calls []load.Call) {
	t.Helper()
	records := executions(t, running)
	for _, made := range calls {
		own := 0
		kind, _ := running.Mesh.Kind(made.Kind)
		for _, record := range records[made.Nonce] {
			if record.Service == kind.Service {
				own++
			}
		}
		last := made.Last()
		switch {
		case last.Verdict == load.VerdictWrong:
			t.Errorf("%s got a wrong answer: %v", made.Kind, last.Faults)
		case last.Verdict == load.VerdictComplete && own == 0:
			t.Errorf("%s was answered and never run", made.Kind)
		case made.ReportedNotExecuted() && len(records[made.Nonce]) > 0:
			t.Errorf("%s was told not to have run (%s) and ran: %+v", made.Kind, last.Reason, records[made.Nonce])
		case !kind.Repeatable && own > 1:
			t.Errorf("%s was run %d times: %+v", made.Kind, own, records[made.Nonce])
		}
	}
}

// describe tells how a call ended.
func describe(made load.Call) string {
	last := made.Last()
	return fmt.Sprintf("%s at %s: %s %d %s %s %s", made.Kind, made.Edge, last.Verdict, last.Status, last.Reason, last.Executed, last.Error)
}

// allComplete checks that every call was answered completely.
func allComplete(t *testing.T, result *load.Result) {
	t.Helper()
	endings := map[string]int{}
	for _, made := range result.History {
		if made.Verdict() != load.VerdictComplete {
			endings[describe(made)]++
		}
	}
	for ending, count := range endings {
		t.Errorf("%d times: %s", count, ending)
	}
	assert.Check(t, result.Total.Complete > 0 && result.Total.NotSent == 0)
}
