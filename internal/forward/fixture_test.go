package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/routepolicy"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
)

// fakeHome replies to calls with a function and records them.
type fakeHome struct {
	mutex sync.Mutex
	calls []*peering.Call
	// failedCallParents are the IDs of the requests that made failed calls.
	failedCallParents []string
	// parentContext is canceled when the running request is abandoned.
	parentContext context.Context
	reply         func(ctx context.Context, call *peering.Call) *peering.Reply
}

func (h *fakeHome) Run(ctx context.Context, call *peering.Call) *peering.Reply {
	h.mutex.Lock()
	h.calls = append(h.calls, call)
	h.mutex.Unlock()
	return h.reply(ctx, call)
}

func (h *fakeHome) Running(id string) (guard.Running, bool) {
	return guard.Running{Route: "parent", Rank: criticality.RankOf(7), Context: h.runningContext()}, id == "running"
}

// runningContext returns the context of the running request.
func (h *fakeHome) runningContext() context.Context {
	if h.parentContext == nil {
		return context.Background()
	}
	return h.parentContext
}

func (h *fakeHome) Abandoned(id string) bool { return id == "abandoned" }

func (h *fakeHome) CountCall(string, string) int { return 1 }

func (h *fakeHome) RecordCallSent(string, string, string) {}

func (h *fakeHome) RecordCallFailure(id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failedCallParents = append(h.failedCallParents, id)
}

func (h *fakeHome) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.calls)
}

func (h *fakeHome) firstCall() *peering.Call {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.calls[0]
}

func replyOK(context.Context, *peering.Call) *peering.Reply {
	return &peering.Reply{Outcome: peering.Answered, Status: 200, Header: http.Header{"X-Signature": {"s"}}, Body: []byte("ok"),
		Load: peering.Load{Limit: 10, Threshold: shed.None}}
}

func replyRefused(reason peering.Reason) func(context.Context, *peering.Call) *peering.Reply {
	return func(context.Context, *peering.Call) *peering.Reply {
		return &peering.Reply{Outcome: peering.Refused, Reason: reason, RetryAfter: 300 * time.Millisecond, Load: peering.Load{Limit: 10, Threshold: shed.None}}
	}
}

// replyDownstreamError replies with an error response that was caused by a failed call of the
// target.
func replyDownstreamError(ctx context.Context, call *peering.Call) *peering.Reply {
	reply := replyOK(ctx, call)
	reply.Status = http.StatusInternalServerError
	return reply
}

// replyTargetError replies with an error response that the target itself caused.
func replyTargetError(ctx context.Context, call *peering.Call) *peering.Reply {
	reply := replyDownstreamError(ctx, call)
	reply.TargetError = true
	return reply
}

func replyFailed(context.Context, *peering.Call) *peering.Reply {
	return &peering.Reply{Outcome: peering.Failed, Reason: peering.ExchangeBroken, Load: peering.Load{Limit: 10, Threshold: shed.None}}
}

type noopObserver struct{}

func (noopObserver) RequestFinished(string, int, string, time.Duration) {}

func (noopObserver) TenantChecked(string, problem.Reason) {}

func (noopObserver) ZoneLeft() {}

func (noopObserver) BudgetCounted(string, BudgetEvent, peering.Reason) {}

func (noopObserver) Stalled(time.Duration) {}

// fixture is a forwarder with homes on real sockets.
type fixture struct {
	forwarder *Forwarder
	homes     []*fakeHome
	// pings counts the pings that the homes have received.
	pings atomic.Int64
	// addresses are the addresses of the homes, in the same order.
	addresses  []string
	levels     *pressure.Table
	quarantine *quarantine.Quarantine
}

var testCodec = peering.NewCodec("X-Signature")

const (
	testTimeout = 2 * time.Second
	// testRetryRatio is the number of retries that a request adds to the budget. Half of
	// that amount is available immediately, so that testRequestsPerRetry requests allow
	// one immediate retry.
	testRetryRatio       = 0.1
	testRequestsPerRetry = 20
	testRetryWindow      = 10 * time.Second
	// testProcess is the process ID that all homes report.
	testProcess = 7
)

func newFixture(t *testing.T, replies ...func(context.Context, *peering.Call) *peering.Reply) *fixture {
	t.Helper()
	fixture := &fixture{levels: pressure.New(time.Now), quarantine: quarantine.New(quarantine.Config{Now: time.Now})}
	for _, reply := range replies {
		home := &fakeHome{reply: reply}
		handler := peering.Handler(peering.ServerConfig{Home: home, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Now: time.Now}), Codec: testCodec, MaxMessageBytes: 1 << 20, Process: testProcess})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				fixture.pings.Add(1)
			}
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		fixture.homes = append(fixture.homes, home)
		fixture.addresses = append(fixture.addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	fixture.forwarder = newForwarder(t, fixture, fixture.addresses)
	return fixture
}

func newForwarder(t testing.TB, fixture *fixture, addresses []string) *Forwarder {
	t.Helper()
	routes := &routetable.Holder{}
	service := []routetable.WeightedService{{Name: "s", Weight: 1}}
	routes.Update(&routetable.Configuration{Version: 4, Limits: routetable.Limits{MaxBodyBytes: 100, MaxHeaderBytes: 1000}, Routes: []routetable.Route{
		{Name: "read", Host: "a.example", Prefix: "/read/", Kind: routetable.Repeatable, Attempts: 2, Timeout: testTimeout, Objective: time.Second, Priority: 2, Services: service},
		{Name: "once", Host: "a.example", Prefix: "/once/", Kind: routetable.AtMostOnce, Attempts: 2, Timeout: testTimeout, Objective: time.Second, Services: service},
		{Name: "brief", Host: "a.example", Prefix: "/brief/", Kind: routetable.Repeatable, Attempts: 2, Timeout: 200 * time.Millisecond, Objective: time.Second, Services: service},
	}})
	var forwarder *Forwarder
	forwarder = New(Config{
		Node: "node", Zone: "z", Service: "caller", Address: localAddress, DefaultTimeout: time.Second, WaitShare: 0.2, NestedWaitShare: 0.6,
		Retries: retrybudget.AllowanceConfig{Ratio: testRetryRatio, CurrentShare: 0.5, Reserve: func() float64 { return 1 }, Window: testRetryWindow},
		Headers: callheader.Names{RequestID: "X-Id", DeadlineMillis: "X-Deadline"},
		ParentOf: func(id string) (string, bool) {
			parent, _, found := strings.Cut(id, ".")
			return parent, found
		},
	}, Dependencies{
		Routes: routes, Policies: compilePolicies(t, routepolicy.Sources{}), Directory: directoryOf(t, addresses), Local: &fakeHome{reply: replyOK}, Levels: fixture.levels,
		Quarantine: fixture.quarantine,
		Peers: peering.NewClient(peering.ClientConfig{MaxMessageBytes: 1 << 20, DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 4, IdleTimeout: time.Minute, Codec: testCodec,
			OnInterim: func(address string) { forwarder.InterimReceived(address) }}),
		Observer: noopObserver{}, Now: time.Now,
	})
	for range testRequestsPerRetry {
		forwarder.budget("s").CountRequest()
	}
	return forwarder
}

func compilePolicies(t testing.TB, sources routepolicy.Sources) *routepolicy.Holder {
	t.Helper()
	set, err := routepolicy.Compile(sources)
	assert.NilError(t, err)
	return routepolicy.NewHolder(set)
}

// localAddress is the address of the node under test.
const localAddress = "10.1.255.1:8300"

// simulatedAddress returns the address of a simulated home.
func simulatedAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:8300", i/250, i%250+1) }

// directoryOf returns a directory that lists the addresses as homes of the service in the
// zone of the node.
func directoryOf(t testing.TB, addresses []string) *registry.Directory {
	t.Helper()
	directory := registry.NewDirectory("homes/", "", nil, time.Now)
	for i, address := range addresses {
		record, err := cbor.Marshal(registry.Record{Instance: "i-" + strconv.Itoa(i), Service: "s", Zone: "z", Address: address, Slots: 10, State: registry.Ready})
		assert.NilError(t, err)
		directory.ApplyChanges([]store.Entry{{Key: "homes/" + address, Value: record, Revision: store.Revision(i + 1)}}, "store")
	}
	return directory
}

func (f *fixture) do(method, path, id, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(body))
	request.RequestURI = path
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Deadline", "5000")
	response := httptest.NewRecorder()
	f.forwarder.ServeHTTP(response, request)
	return response
}

func (f *fixture) calls() int {
	total := 0
	for _, home := range f.homes {
		total += home.count()
	}
	return total
}
