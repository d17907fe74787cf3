package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/grant"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/shed"
)

// configuration contains the configuration objects of the nodes in a test. It implements
// catalog.Source and, without any drains, catalog.DrainSource.
type configuration map[resource.ID]resource.Versioned

func (c configuration) List(kind resource.Kind) []resource.Versioned {
	var listed []resource.Versioned
	for id, object := range c {
		if id.Kind == kind {
			listed = append(listed, object)
		}
	}
	return listed
}

func (c configuration) Get(id resource.ID) (resource.Versioned, bool) {
	object, found := c[id]
	return object, found
}

// Drained implements catalog.DrainSource.
func (c configuration) Drained(string) bool { return false }

func (c configuration) add(e resource.Envelope) configuration {
	c[e.ID] = resource.Versioned{Envelope: e, Revision: 1}
	return c
}

func (c configuration) service(name string, spec resource.Service) configuration {
	return c.add(resource.Envelope{ID: resource.ID{Kind: resource.KindService, Name: name}, Service: &spec})
}

func (c configuration) policy(name string, spec resource.Policy) configuration {
	return c.add(resource.Envelope{ID: resource.ID{Kind: resource.KindPolicy, Name: name}, Policy: &spec})
}

func (c configuration) target(name, service, address string) configuration {
	return c.add(resource.Envelope{ID: resource.ID{Kind: resource.KindTarget, Name: name}, Target: &resource.Target{
		Service: service, Zone: "z", Address: address, Slots: 8, Connections: 8,
	}})
}

// countingObserver is an Observer that counts the outcomes.
type countingObserver struct {
	answered, refused, retried atomic.Int64
}

func (o *countingObserver) RecordResponse(Listener, string, int, time.Duration) { o.answered.Add(1) }
func (o *countingObserver) RecordProblem(Listener, string, *problem.Problem, time.Duration) {
	o.refused.Add(1)
}
func (o *countingObserver) RecordRetry(string) { o.retried.Add(1) }

// unlimitedRatio is a RetryRatio that allows all retries.
type unlimitedRatio struct{}

func (unlimitedRatio) RecordSuccess() {}
func (unlimitedRatio) Allow() bool    { return true }

// fakeClaims grants all claims except those for the key "taken".
type fakeClaims struct{ claimed, released atomic.Int64 }

func (c *fakeClaims) Claim(_ context.Context, _, key string) (Claim, *problem.Problem) {
	if key == "taken" {
		return nil, problem.New(problem.DuplicateRequest, problem.ExecutedUnknown, "claim", "n", "")
	}
	c.claimed.Add(1)
	return c, nil
}

func (c *fakeClaims) Release() { c.released.Add(1) }

// fixture is a gateway with its listeners. It has no membership and no configuration
// replication.
type fixture struct {
	*Gateway
	edge, mesh, peer string
	observer         *countingObserver
	claims           *fakeClaims
	shed             *shed.Table
}

func newFixture(t *testing.T, name string, modify func(*Settings)) *fixture {
	t.Helper()
	f := &fixture{observer: &countingObserver{}, claims: &fakeClaims{}, shed: shed.NewTable(shed.TableConfig{})}
	peerMux := http.NewServeMux()
	// The gateway is created below because it needs the address of this listener.
	f.peer = f.listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.PeerHandler(peerMux).ServeHTTP(w, r)
	}))
	peer := netip.MustParseAddrPort(f.peer)
	settings := Settings{
		Node: name, Zone: "z", Peer: peer, MaxBodyBytes: 1000, MaxConcurrent: 100, ReadBodyTimeout: 100 * time.Millisecond,
		DefaultTimeout: 5 * time.Second, MaxTimeout: 10 * time.Second, MaxRetries: 3, ShedLevels: true,
	}
	if modify != nil {
		modify(&settings)
	}
	ledger := retrybudget.NewLedger(0, time.Now)
	grant.Register(peerMux, ledger)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Gateway = New(settings, Dependencies{
		Router:       NewRouter(RouterConfig{Node: name, Zone: "z", Homes: true, Shed: f.shed, Now: time.Now}),
		Homes:        home.NewManager(home.Settings{MaxBuffered: 10_000}, time.Now),
		HomeClient:   home.NewClient(10_000),
		Shed:         f.shed,
		RetryBudgets: ledger,
		RetryGrants:  grant.NewClient(peer, ledger, http.DefaultClient),
		RetryRatio:   unlimitedRatio{},
		Claims:       f.claims,
		Observer:     f.observer,
		Log:          logrus.NewEntry(log),
		Now:          time.Now,
	})
	f.edge, f.mesh = f.listen(t, f.Handler(Edge)), f.listen(t, f.Handler(Mesh))
	return f
}

func (f *fixture) listen(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// configure sets the configuration of the node and the other members of its cluster,
// and makes it ready.
func (f *fixture) configure(t *testing.T, objects configuration, members ...*fixture) *fixture {
	t.Helper()
	view, errs := catalog.Build(objects, objects, catalog.Empty())
	assert.Equal(t, len(errs), 0, "%v", errs)
	var live []membership.Member
	for _, member := range append(members, f) {
		live = append(live, membership.Member{Name: member.settings.Node, Zone: "z", PeerAddress: member.peer})
	}
	f.router.Update(view, live)
	f.SetReady(true)
	return f
}

// singleNode returns a cluster of one node with a service "a" that has the targets.
func singleNode(t *testing.T, spec resource.Service, policy resource.Policy, targets ...*fakeTarget) *fixture {
	t.Helper()
	return newFixture(t, "n-1", nil).configure(t, singleService(spec, policy, targets...))
}

// singleService returns a configuration of a service "a" with its policy and with
// targets named a-1, a-2 and so on.
func singleService(spec resource.Service, policy resource.Policy, targets ...*fakeTarget) configuration {
	objects := configuration{}.service("a", spec).policy("a", policy)
	for i, target := range targets {
		objects.target(fmt.Sprintf("a-%d", i+1), "a", target.address)
	}
	return objects
}

// callResult is the response that the caller received. The error is that of reading
// the body.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

type option func(*http.Request)

func header(name, value string) option {
	return func(r *http.Request) { r.Header[name] = []string{value} }
}

func withContext(t *testing.T, c callcontext.Context) option {
	return func(r *http.Request) { assert.NilError(t, c.SetHeader(r.Header)) }
}

func sendRequest(t *testing.T, method, address, path, body string, options ...option) callResult {
	t.Helper()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, content)
	assert.NilError(t, err)
	for _, option := range options {
		option(request)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(got), err}
}

// assertProblem checks that the response is a problem document and returns it.
func (r callResult) assertProblem(t *testing.T, status int, reason problem.Reason, executed problem.Executed) *problem.Problem {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, status, r.body)
	assert.Equal(t, r.header.Get("Content-Type"), problem.ContentType)
	document, err := problem.Parse([]byte(r.body))
	assert.NilError(t, err)
	assert.Equal(t, document.Reason, reason, r.body)
	assert.Equal(t, document.Executed, executed, r.body)
	assert.Equal(t, r.header.Get(problem.ExecutedHeader), string(executed))
	return document
}

func (r callResult) assertEqual(t *testing.T, status int, body string) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, status, r.body)
	assert.Equal(t, r.body, body)
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func contextOf(t *testing.T, headers http.Header) callcontext.Context {
	t.Helper()
	got, err := callcontext.FromHeader(headers)
	assert.NilError(t, err)
	return got
}

func newTestContext(ingress string) callcontext.Context {
	return callcontext.Context{
		RequestID: callcontext.NewRequestID(),
		Span:      callcontext.NewSpanID(),
		Ingress:   netip.MustParseAddrPort(ingress),
		Deadline:  time.Now().Add(3 * time.Second).Truncate(time.Millisecond),
		Rank:      criticality.Rank{Level: criticality.CriticalPlus, Cohort: 7},
		Hops:      2,
		Caller:    "grower-1",
	}
}
