package adminclient_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/admin/admintest"
	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/resource"
)

var (
	serviceID     = resource.ID{Kind: resource.KindService, Name: "cropcal"}
	serviceSpec   = []byte(`{"timeout_ms":100}`)
	updatedSpec   = []byte(`{"timeout_ms":200}`)
	drainedTarget = adminclient.DrainSubject{Collection: "targets", Name: "cropcal-1"}
)

func newClient(t *testing.T, transport http.RoundTripper, addresses ...string) *adminclient.Client {
	t.Helper()
	created, err := adminclient.New(adminclient.Options{
		Addresses:        addresses,
		Token:            admintest.Token,
		Author:           "meera",
		HTTP:             &http.Client{Transport: transport},
		ResolveTimeout:   time.Second,
		NodeWriteTimeout: admintest.WriteTimeout,
	})
	assert.NilError(t, err)
	return created
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// responseDropper is a transport that forwards requests and drops the responses
// of writes.
type responseDropper struct {
	writes atomic.Int32
	// dropRequests also drops the requests of writes.
	dropRequests bool
}

var errDropped = errors.New("connection reset")

func (d *responseDropper) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodGet {
		return http.DefaultTransport.RoundTrip(request)
	}
	d.writes.Add(1)
	if !d.dropRequests {
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return nil, err
		}
		response.Body.Close()
	}
	return nil, errDropped
}

func TestWritesAndReads(t *testing.T) {
	node := admintest.Start(t)
	c := newClient(t, nil, node.Server.URL)
	_, err := c.Get(t.Context(), serviceID)
	assert.ErrorIs(t, err, adminclient.ErrNotFound)

	response, err := c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)
	object, err := c.Get(t.Context(), serviceID)
	assert.NilError(t, err)
	assert.Equal(t, object.Revision, response.Revision)
	assert.Equal(t, object.LastChange.Author, "meera")

	_, err = c.Put(t.Context(), serviceID, updatedSpec, 0)
	assert.ErrorIs(t, err, adminclient.ErrConflict)
	_, err = c.Put(t.Context(), serviceID, []byte(`{"timeout":1}`), response.Revision)
	assert.ErrorIs(t, err, adminclient.ErrInvalid)

	_, err = c.Drain(t.Context(), drainedTarget, resource.Drain{Reason: "moves"}, false)
	assert.NilError(t, err)
	list, err := c.List(t.Context(), resource.KindDrain)
	assert.NilError(t, err)
	assert.Equal(t, list.Items[0].Name, "target.cropcal-1")
	_, err = c.Join(t.Context(), drainedTarget)
	assert.NilError(t, err)

	_, err = c.Delete(t.Context(), serviceID, response.Revision)
	assert.NilError(t, err)
	history, err := c.History(t.Context(), serviceID)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Changes), 2)
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Node.Name, "node-a1")
}

func TestInvalidTokenIsDenied(t *testing.T) {
	node := admintest.Start(t)
	c, err := adminclient.New(adminclient.Options{Addresses: []string{node.Server.URL}})
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.ErrorIs(t, err, adminclient.ErrDenied)
}

func TestReadsFailOver(t *testing.T) {
	node := admintest.Start(t)
	badGateway := httptest.NewServer(http.NotFoundHandler())
	badGateway.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	defer badGateway.Close()
	c := newClient(t, nil, closedAddress(t), badGateway.URL, node.Server.URL)
	_, err := c.Status(t.Context())
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)

	unreachable := newClient(t, nil, closedAddress(t), closedAddress(t))
	_, err = unreachable.Status(t.Context())
	assert.ErrorIs(t, err, adminclient.ErrUnavailable)
	_, err = unreachable.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.ErrorIs(t, err, adminclient.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, adminclient.ErrUnknownOutcome))
}

// TestLostResponseIsResolved drops the response between node and client: the
// client must find the change by its id and send it only once.
func TestLostResponseIsResolved(t *testing.T) {
	node, other := admintest.Start(t), admintest.Start(t)
	transport := &responseDropper{}
	c := newClient(t, transport, node.Server.URL, other.Server.URL)
	response, err := c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)
	assert.Equal(t, response.Outcome, admin.OutcomeAccepted)
	assert.Equal(t, transport.writes.Load(), int32(1))
	version, ok := node.Replica.Get(serviceID)
	assert.Assert(t, ok)
	assert.Equal(t, version.Revision, response.Revision)
	_, ok = other.Replica.Get(serviceID)
	assert.Assert(t, !ok)

	_, err = c.Drain(t.Context(), drainedTarget, resource.Drain{}, false)
	assert.NilError(t, err)
	response, err = c.Delete(t.Context(), serviceID, response.Revision)
	assert.NilError(t, err)
	version, _ = node.Replica.Get(serviceID)
	assert.Assert(t, version.Deleted)
	assert.Equal(t, version.Revision, response.Revision)
}

func TestLostRequestHasUnknownOutcome(t *testing.T) {
	node := admintest.Start(t)
	c := newClient(t, nil, node.Server.URL)
	created, err := c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)
	lossyClient := newClient(t, &responseDropper{dropRequests: true}, node.Server.URL)
	_, err = lossyClient.Put(t.Context(), serviceID, updatedSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrUnknownOutcome)
	assert.ErrorIs(t, err, errDropped)
	var failed *adminclient.Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, strings.HasPrefix(failed.Problem.ResolveURL, "/v1/changes/service/cropcal/"))

	_, err = c.Put(t.Context(), serviceID, updatedSpec, created.Revision)
	assert.NilError(t, err)
	_, err = lossyClient.Put(t.Context(), serviceID, serviceSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrConflict)
}

// TestUnknownAtNodeIsResolved drops the response of the store to the node.
func TestUnknownAtNodeIsResolved(t *testing.T) {
	node := admintest.Start(t)
	c := newClient(t, nil, node.Server.URL)
	created, err := c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)
	node.SetFault(admintest.ResponsesLost)
	recovery := time.AfterFunc(2*admintest.WriteTimeout, func() { node.SetFault(admintest.Healthy) })
	defer recovery.Stop()
	changed, err := c.Put(t.Context(), serviceID, updatedSpec, created.Revision)
	assert.NilError(t, err)
	assert.Assert(t, changed.Revision > created.Revision)
}

func TestOutcomeIsUnknownWhileStoreIsUnavailable(t *testing.T) {
	node := admintest.Start(t)
	c := newClient(t, nil, node.Server.URL)
	created, err := c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)
	node.SetFault(admintest.Unavailable)
	_, err = c.Put(t.Context(), serviceID, updatedSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, adminclient.ErrUnknownOutcome))
	node.SetFault(admintest.ResponsesLost)
	_, err = c.Put(t.Context(), serviceID, updatedSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrUnknownOutcome)
}

// TestUnrecognizedResponseLeavesOutcomeUnknown checks that an error response
// without the node's problem document leaves the outcome of a write unknown.
func TestUnrecognizedResponseLeavesOutcomeUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"outcome":"unknown"}`))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	_, err := newClient(t, nil, server.URL).Put(t.Context(), serviceID, serviceSpec, 3)
	assert.ErrorIs(t, err, adminclient.ErrUnknownOutcome)
}

// TestEarlyRefusalOfCreationIsNotConclusive checks that a refusal, which may come
// from another node, is ignored while the first node may still be processing the
// creation.
func TestEarlyRefusalOfCreationIsNotConclusive(t *testing.T) {
	var queries atomic.Int32
	handler := http.NewServeMux()
	handler.HandleFunc("GET /v1/changes/", func(w http.ResponseWriter, _ *http.Request) {
		outcome := `{"outcome":"refused"}`
		if queries.Add(1) > 1 {
			outcome = `{"outcome":"accepted","revision":7}`
		}
		_, _ = w.Write([]byte(outcome))
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	c, err := adminclient.New(adminclient.Options{
		Addresses:        []string{server.URL},
		HTTP:             &http.Client{Transport: &responseDropper{}},
		ResolveTimeout:   5 * time.Second,
		NodeWriteTimeout: 5 * time.Second,
	})
	assert.NilError(t, err)
	response, err := c.Put(t.Context(), serviceID, serviceSpec, 0)
	assert.NilError(t, err)
	assert.Equal(t, int64(response.Revision), int64(7))
}
