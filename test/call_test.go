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

// callResult is what a caller received.
type callResult struct {
	nonce  string
	status int
	header http.Header
	body   []byte
	err    error
}

type callOption func(*http.Request)

func header(name, value string) callOption {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func idempotencyKey(key string) callOption { return header(callcontext.IdempotencyKeyHeader, key) }

func newNonce() string { return fmt.Sprintf("nonce-%016x", rand.Uint64()) }

// call sends one call with a new nonce.
func call(t *testing.T, method, address, path string, options ...callOption) callResult {
	t.Helper()
	got := callResult{nonce: newNonce()}
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

// complete reports whether the caller received the complete answer to its own call.
func (o callResult) complete(service string, required ...string) bool {
	expected := answer.Expectation{Service: service, Nonce: o.nonce}
	for _, name := range required {
		expected.Required = append(expected.Required, answer.Expectation{Service: name})
	}
	return o.err == nil && o.status == http.StatusOK && len(answer.Verify(o.body, expected)) == 0
}

func (o callResult) String() string { return fmt.Sprintf("%d %v %.200s", o.status, o.err, o.body) }

// problem returns the problem document, or nil if there is none.
func (o callResult) problem() *problem.Problem {
	if o.err != nil {
		return nil
	}
	document, err := problem.Parse(o.body)
	if err != nil {
		return nil
	}
	return document
}

// assertRefused asserts that the caller received a problem document with the reason
// and whether the call was executed.
func (o callResult) assertRefused(t *testing.T, reason problem.Reason, executed problem.Executed) *problem.Problem {
	t.Helper()
	document := o.problem()
	assert.Assert(t, document != nil, "no problem document: %s", o)
	assert.Equal(t, document.Reason, reason, "%s", o)
	assert.Equal(t, document.Executed, executed, "%s", o)
	assert.Equal(t, o.header.Get(problem.ExecutedHeader), string(executed))
	return document
}

// executions returns the execution records by nonce.
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

// loadSeed is incremented for each load, because nonces and keys derive from the seed.
var loadSeed atomic.Uint64

// runLoad sends calls of all kinds for the duration.
func runLoad(t *testing.T, running *cluster.Cluster, edges mesh.ZoneAddresses, rate float64, duration time.Duration) *load.Result {
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

// checkExecutions compares the answers that callers received with the execution
// records of the targets.
func checkExecutions(t *testing.T, running *cluster.Cluster, calls []load.Call) {
	t.Helper()
	records := executions(t, running)
	for _, sent := range calls {
		executed := 0
		kind, _ := running.Mesh.Kind(sent.Kind)
		for _, record := range records[sent.Nonce] {
			if record.Service == kind.Service {
				executed++
			}
		}
		last := sent.Last()
		switch {
		case last.Verdict == load.VerdictWrong:
			t.Errorf("%s got a wrong answer: %v", sent.Kind, last.Faults)
		case last.Verdict == load.VerdictComplete && executed == 0:
			t.Errorf("%s was answered but never executed", sent.Kind)
		case sent.ReportedNotExecuted() && len(records[sent.Nonce]) > 0:
			t.Errorf("%s was reported as not executed (%s) but executed: %+v", sent.Kind, last.Reason, records[sent.Nonce])
		case !kind.Repeatable && executed > 1:
			t.Errorf("%s was executed %d times: %+v", sent.Kind, executed, records[sent.Nonce])
		}
	}
}

// describe formats the final result of a call.
func describe(sent load.Call) string {
	last := sent.Last()
	return fmt.Sprintf("%s at %s: %s %d %s %s %s", sent.Kind, sent.Edge, last.Verdict, last.Status, last.Reason, last.Executed, last.Error)
}

// assertAllComplete asserts that every call received a complete answer.
func assertAllComplete(t *testing.T, result *load.Result) {
	t.Helper()
	failures := map[string]int{}
	for _, sent := range result.History {
		if sent.Verdict() != load.VerdictComplete {
			failures[describe(sent)]++
		}
	}
	for failure, count := range failures {
		t.Errorf("%d times: %s", count, failure)
	}
	assert.Check(t, result.Total.Complete > 0 && result.Total.NotSent == 0)
}
