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

// What callers do.
const (
	// maxSends is how often a caller sends a keyed call, each time to another
	// edge.
	maxSends = 3
	// longestPause bounds the pause before a call is sent again.
	longestPause = 100 * time.Millisecond
	// impatientShare is the fraction of keyed calls that are sent to a second
	// edge at once, without waiting for the first.
	impatientShare = 0.2
	// longestPatience bounds the time until then.
	longestPatience = 40 * time.Millisecond
	// maxOpen bounds the calls that are open at once, and maxCalls those of a
	// run.
	maxOpen  = 4000
	maxCalls = 200_000
)

// callers make the calls of a run: at random moments, whether or not earlier
// calls have been answered, at random edges of all zones.
type callers struct {
	mesh         *mesh.Mesh
	edges        []edge
	recorder     *recorder
	transport    *http.Transport
	expectations map[string]answer.Expectation
	random       *rand.Rand
	// multiplier scales the rate; its bits are those of a float64.
	multiplier atomic.Uint64
	open       atomic.Int64
	notSent    atomic.Int64
	running    sync.WaitGroup
}

// edge is the address of a node for callers.
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

// expectationOf follows the required downstream calls of a call.
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

// run makes calls until the first context ends, and waits for their ends. The
// second one cancels them.
func (c *callers) run(ctx, calls context.Context, rate float64) {
	defer c.transport.CloseIdleConnections()
	defer c.running.Wait()
	next := time.Now()
	for count := 0; count < maxCalls; count++ {
		gap := c.random.ExpFloat64() / (rate * c.currentMultiplier())
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if !pause.For(ctx, time.Until(next)) {
			return
		}
		c.launch(calls, c.draw(count))
	}
}

func (c *callers) launch(ctx context.Context, drawn request) {
	if c.open.Add(1) > maxOpen {
		c.open.Add(-1)
		c.notSent.Add(1)
		return
	}
	c.running.Go(func() {
		defer c.open.Add(-1)
		c.make(ctx, drawn)
	})
}

// request is a call that is to be made, with all that is random about it.
type request struct {
	kind   mesh.Kind
	caller string
	nonce  string
	key    string
	// edges are where it is sent, one after the other, each in another zone.
	edges     []edge
	pauses    []time.Duration
	impatient bool
	patience  time.Duration
}

func (c *callers) draw(count int) request {
	kind := c.drawKind()
	group := kind.Callers[c.random.IntN(len(kind.Callers))]
	drawn := request{
		kind:      kind,
		caller:    fmt.Sprintf("%s-%d", group, c.random.IntN(kind.CallersEach)),
		nonce:     fmt.Sprintf("%06d-%016x", count, c.random.Uint64()),
		edges:     c.drawEdges(),
		impatient: kind.Keyed && c.random.Float64() < impatientShare,
		patience:  time.Duration(c.random.Int64N(int64(longestPatience))),
	}
	for range drawn.edges {
		drawn.pauses = append(drawn.pauses, time.Duration(c.random.Int64N(int64(longestPause))))
	}
	if kind.Keyed {
		drawn.key = "key-" + drawn.nonce
	}
	return drawn
}

func (c *callers) drawKind() mesh.Kind {
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

// drawEdges returns up to maxSends edges, no two in one zone.
func (c *callers) drawEdges() []edge {
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

// make makes a call. A keyed one that got an error or was not run is sent again
// to other edges with the same key; an impatient caller's is sent to two at
// once.
func (c *callers) make(ctx context.Context, drawn request) {
	edges := drawn.edges
	if drawn.impatient && len(edges) > 1 {
		hasty := edges[len(edges)-1]
		edges = edges[:len(edges)-1]
		c.running.Go(func() {
			if pause.For(ctx, drawn.patience) {
				c.send(ctx, drawn, hasty)
			}
		})
	}
	for index, to := range edges {
		last := c.send(ctx, drawn, to)
		if drawn.key == "" || !sendAgain(last) || !pause.For(ctx, drawn.pauses[index]) {
			return
		}
	}
}

// sendAgain reports whether the caller knows no answer, or knows that nothing
// was run.
func sendAgain(last load.Attempt) bool {
	switch last.Verdict {
	case load.VerdictError, load.VerdictTimeout:
		return true
	case load.VerdictRefused:
		return last.Executed != "" && last.RetryAfterSeconds > 0
	}
	return false
}

// send sends a call to one edge and records what came of it.
func (c *callers) send(ctx context.Context, drawn request, to edge) load.Attempt {
	call := judge.Call{Call: load.Call{
		Kind:           drawn.kind.Name,
		Caller:         drawn.caller,
		Nonce:          drawn.nonce,
		IdempotencyKey: drawn.key,
		Zone:           to.zone,
		Edge:           to.address,
		Intended:       time.Now(),
	}}
	attempt, refusedBy := c.attempt(ctx, drawn, to)
	call.Attempts = []load.Attempt{attempt}
	call.RefusedBy = refusedBy
	c.recorder.addCall(call)
	return attempt
}
