package chaos

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Behaviour of the callers.
const (
	// maxSends is the maximum number of times that a caller sends a call with an
	// idempotency key, each time to another edge.
	maxSends = 3
	// maxRetryDelay limits the delay before a call is sent again.
	maxRetryDelay = 100 * time.Millisecond
	// hedgedFraction is the fraction of these calls that are hedged: sent to a
	// second edge without waiting for the first one to respond.
	hedgedFraction = 0.2
	// maxHedgeDelay limits the delay before the hedged request is sent.
	maxHedgeDelay = 40 * time.Millisecond
	// maxInFlight limits the number of concurrent calls, and maxCalls the total
	// number of calls in a run.
	maxInFlight = 4000
	maxCalls    = 200_000
)

// callers generates the calls of a run as an open-loop load: calls arrive at
// random times, whether or not earlier calls have completed, at random edges of
// all zones.
type callers struct {
	mesh         *mesh.Mesh
	edges        []edge
	recorder     *recorder
	transport    *http.Transport
	expectations map[string]answer.Expectation
	random       *rand.Rand
	// multiplier scales the call rate. It holds the bits of a float64.
	multiplier atomic.Uint64
	inFlight   atomic.Int64
	notSent    atomic.Int64
	pending    sync.WaitGroup
}

// edge is the address at which a node accepts calls, and its zone.
type edge struct{ zone, address string }

func newCallers(m *mesh.Mesh, edges []edge, recorder *recorder, seed uint64) *callers {
	c := &callers{
		mesh:         m,
		edges:        edges,
		recorder:     recorder,
		transport:    &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second},
		expectations: map[string]answer.Expectation{},
		random:       rand.New(rand.NewPCG(seed, 0x63616c6c)),
	}
	for _, kind := range m.Kinds {
		c.expectations[kind.Name] = expectationOf(m, kind.Service, kind.Method, kind.Path)
	}
	c.setMultiplier(1)
	return c
}

// expectationOf returns what the response to a call must contain, including the
// responses to its required downstream calls.
func expectationOf(m *mesh.Mesh, name, method, path string) answer.Expectation {
	expected := answer.Expectation{Service: name}
	service, _ := m.Service(name)
	work, _ := service.Work(method, path)
	for _, call := range work.Calls {
		if !call.Optional {
			expected.Required = append(expected.Required, expectationOf(m, call.Service, call.Method, call.Path))
		}
	}
	return expected
}

func (c *callers) setMultiplier(multiplier float64) { c.multiplier.Store(math.Float64bits(multiplier)) }

func (c *callers) currentMultiplier() float64 { return math.Float64frombits(c.multiplier.Load()) }

// run starts calls until ctx ends and then waits for all calls in flight. The
// calls themselves run under the second context.
func (c *callers) run(ctx, calls context.Context, rate float64) {
	defer c.transport.CloseIdleConnections()
	defer c.pending.Wait()
	next := time.Now()
	for count := 0; count < maxCalls; count++ {
		gap := c.random.ExpFloat64() / (rate * c.currentMultiplier())
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if !pause.For(ctx, time.Until(next)) {
			return
		}
		c.launch(calls, c.plan(count))
	}
}

func (c *callers) launch(ctx context.Context, planned plannedCall) {
	if c.inFlight.Add(1) > maxInFlight {
		c.inFlight.Add(-1)
		c.notSent.Add(1)
		return
	}
	c.pending.Go(func() {
		defer c.inFlight.Add(-1)
		c.makeCall(ctx, planned)
	})
}

// plannedCall is a call to be made, with all its random parameters already
// chosen.
type plannedCall struct {
	kind   mesh.Kind
	caller string
	nonce  string
	key    string
	// edges lists where the call is sent, one after the other. Each edge is in a
	// different zone.
	edges       []edge
	retryDelays []time.Duration
	hedged      bool
	hedgeDelay  time.Duration
}

func (c *callers) plan(count int) plannedCall {
	kind := c.chooseKind()
	group := kind.Callers[c.random.IntN(len(kind.Callers))]
	planned := plannedCall{
		kind:       kind,
		caller:     fmt.Sprintf("%s-%d", group, c.random.IntN(kind.CallersEach)),
		nonce:      fmt.Sprintf("%06d-%016x", count, c.random.Uint64()),
		edges:      c.chooseEdges(),
		hedged:     kind.Keyed && c.random.Float64() < hedgedFraction,
		hedgeDelay: time.Duration(c.random.Int64N(int64(maxHedgeDelay))),
	}
	for range planned.edges {
		planned.retryDelays = append(planned.retryDelays, time.Duration(c.random.Int64N(int64(maxRetryDelay))))
	}
	if kind.Keyed {
		planned.key = "key-" + planned.nonce
	}
	return planned
}

func (c *callers) chooseKind() mesh.Kind {
	total := 0.0
	for _, kind := range c.mesh.Kinds {
		total += kind.Share
	}
	point := c.random.Float64() * total
	for _, kind := range c.mesh.Kinds {
		if point -= kind.Share; point < 0 {
			return kind
		}
	}
	return c.mesh.Kinds[len(c.mesh.Kinds)-1]
}

// chooseEdges returns up to maxSends random edges, each in a different zone.
func (c *callers) chooseEdges() []edge {
	var chosen []edge
	seen := map[string]bool{}
	for _, index := range c.random.Perm(len(c.edges)) {
		if candidate := c.edges[index]; !seen[candidate.zone] && len(chosen) < maxSends {
			seen[candidate.zone] = true
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// makeCall makes a call. A call with an idempotency key that failed or was not
// executed is sent again to other edges with the same key. A hedged call is sent
// to two edges concurrently.
func (c *callers) makeCall(ctx context.Context, planned plannedCall) {
	edges := planned.edges
	if planned.hedged && len(edges) > 1 {
		hedgeEdge := edges[len(edges)-1]
		edges = edges[:len(edges)-1]
		c.pending.Go(func() {
			if pause.For(ctx, planned.hedgeDelay) {
				c.send(ctx, planned, hedgeEdge)
			}
		})
	}
	for index, to := range edges {
		last := c.send(ctx, planned, to)
		if planned.key == "" || !shouldRetry(last) || !pause.For(ctx, planned.retryDelays[index]) {
			return
		}
	}
}

// shouldRetry reports whether the caller got no response, or got a refusal that
// gives both the execution status and a time after which to retry.
func shouldRetry(last load.Attempt) bool {
	switch last.Verdict {
	case load.VerdictError, load.VerdictTimeout:
		return true
	case load.VerdictRefused:
		return last.Executed != "" && last.RetryAfterSeconds > 0
	}
	return false
}

// send sends a call to one edge and records the outcome.
func (c *callers) send(ctx context.Context, planned plannedCall, to edge) load.Attempt {
	call := judge.Call{Call: load.Call{
		Kind:           planned.kind.Name,
		Caller:         planned.caller,
		Nonce:          planned.nonce,
		IdempotencyKey: planned.key,
		Zone:           to.zone,
		Edge:           to.address,
		Intended:       time.Now(),
	}}
	attempt, refusedBy := c.attempt(ctx, planned, to)
	call.Attempts = []load.Attempt{attempt}
	call.RefusedBy = refusedBy
	c.recorder.addCall(call)
	return attempt
}
