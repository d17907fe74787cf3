package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/mesh"
)

// testMesh returns a mesh whose front service calls one required and one
// optional service.
func testMesh() *mesh.Mesh {
	quick := mesh.ServiceTime{Distribution: mesh.Lognormal, MedianMs: 0.1}
	target := func(service string) mesh.Target {
		return mesh.Target{Name: service + "-1", Service: service, Zone: "a", Address: "127.0.0.1:0", Slots: 1, Connections: 8}
	}
	return &mesh.Mesh{
		Name:  "test",
		Zones: []mesh.Zone{{Name: "a", Region: "r"}},
		Services: []mesh.Service{
			{Name: "front", Time: quick, AnswerBytes: 64, Calls: []mesh.Call{
				{Service: "back", Method: "GET", Path: "/x"},
				{Service: "extra", Method: "GET", Path: "/y", Optional: true, Parallel: true},
			}},
			{Name: "back", Time: quick, AnswerBytes: 2000},
			{Name: "extra", Time: quick, AnswerBytes: 10},
		},
		Targets: []mesh.Target{target("front"), target("back"), target("extra")},
	}
}

// fakeMesh forwards /<service>/<path> to the service's target, or refuses calls
// of the services in refuse.
type fakeMesh struct {
	mutex     sync.Mutex
	addresses map[string]string
	refuse    map[string]bool
	received  []http.Header
}

func (f *fakeMesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	f.mutex.Lock()
	address, refused := f.addresses[service], f.refuse[service]
	f.received = append(f.received, r.Header.Clone())
	f.mutex.Unlock()
	if refused {
		problem.New(problem.Overloaded, problem.ExecutedNo, "admission", "node", "shed").WithRetryAfter(2 * time.Second).Write(w)
		return
	}
	request, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+"/"+path, nil)
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

type fixture struct {
	*Emulator
	mesh      *fakeMesh
	addresses map[string]string
	records   *bytes.Buffer
}

func start(t *testing.T, m *mesh.Mesh) *fixture {
	t.Helper()
	f := &fixture{mesh: &fakeMesh{refuse: map[string]bool{}}, addresses: map[string]string{}, records: &bytes.Buffer{}}
	server := httptest.NewServer(f.mesh)
	t.Cleanup(server.Close)
	started, err := Start(Config{Mesh: m, ControlAddress: "127.0.0.1:0", Seed: 3, Records: f.records})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, started.Close()) })
	f.Emulator = started
	for _, target := range started.Targets() {
		f.addresses[target.Service] = target.Address
	}
	f.mesh.addresses = f.addresses
	assert.NilError(t, started.SetMeshAddresses(map[string]string{"a": strings.TrimPrefix(server.URL, "http://")}))
	return f
}

type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (f *fixture) get(ctx context.Context, service, path string, header http.Header) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addresses[service]+path, nil)
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body, err: err}
}

func (f *fixture) control(t *testing.T, path, body string) int {
	t.Helper()
	response, err := http.Post("http://"+f.ControlAddress()+path, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

func (f *fixture) waitFor(t *testing.T, condition func(TargetState) bool, service string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, state := range f.State().Targets {
			if state.Service == service && condition(state) {
				return poll.Success()
			}
		}
		return poll.Continue("%+v", f.State())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

func callHeader(nonce string) http.Header {
	header := http.Header{}
	header.Set(answer.NonceHeader, nonce)
	header.Set(callcontext.RequestIDHeader, "00ff")
	header.Set(callcontext.BaggageHeader, "lugspur=v1.abc,other=1")
	header.Set("Traceparent", "00-1-2-01")
	header.Set(callcontext.CallerHeader, "grower-1")
	return header
}

func TestDownstreamAnswersAndRecords(t *testing.T) {
	f := start(t, testMesh())
	got := f.get(t.Context(), "front", "/view", callHeader("n1"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	expected := answer.Expectation{Service: "front", Nonce: "n1", Required: []answer.Expectation{{Service: "back"}, {Service: "extra"}}}
	assert.Equal(t, len(answer.Verify(got.body, expected)), 0)
	assert.Equal(t, got.header.Get(LoadHeader), "0.000")
	for _, forwarded := range f.mesh.received {
		for _, name := range copiedHeaders {
			assert.Equal(t, forwarded.Get(name), callHeader("n1").Get(name))
		}
	}
	assert.NilError(t, f.WaitIdle(t.Context()))
	records := f.Records()
	assert.Equal(t, len(records), 3)
	last := records[2]
	assert.Equal(t, last.Target, "front-1")
	assert.Equal(t, last.RequestID, "00ff")
	assert.Equal(t, last.Caller, "grower-1")
	assert.Assert(t, last.Effect && last.Outcome == OutcomeComplete)

	response, err := http.Get("http://" + f.ControlAddress() + "/records?service=back")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var served []Record
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&served))
	assert.Equal(t, len(served), 1)
	assert.NilError(t, f.Close())
	streamed, err := ReadRecords(f.records)
	assert.NilError(t, err)
	assert.Equal(t, len(streamed), 3)
}

func TestDownstreamRefusals(t *testing.T) {
	f := start(t, testMesh())
	f.mesh.refuse["extra"] = true
	got := f.get(t.Context(), "front", "/view", callHeader("n1"))
	assert.Equal(t, got.status, http.StatusOK)
	f.mesh.refuse["back"] = true
	got = f.get(t.Context(), "front", "/view", callHeader("n2"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "2")
	assert.Equal(t, got.header.Get(problem.ExecutedHeader), "no")
	assert.NilError(t, f.WaitIdle(t.Context()))
	records := f.Records()
	last := records[len(records)-1]
	assert.Assert(t, !last.Effect && last.Outcome == OutcomeChildFailed)
	assert.NilError(t, f.SetMeshAddresses(map[string]string{"a": "127.0.0.1:1"}))
	assert.Equal(t, f.get(t.Context(), "front", "/view", nil).status, http.StatusBadGateway)
}

// occupySlot starts a call of back and waits until it holds a slot. The call runs
// until it is canceled if back is slowed down.
func (f *fixture) occupySlot(t *testing.T, header http.Header) (cancel func(), done <-chan reply) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	finished := make(chan reply, 1)
	go func() { finished <- f.get(ctx, "back", "/x", header) }()
	f.waitFor(t, func(s TargetState) bool { return s.Busy == 1 }, "back")
	return stop, finished
}
