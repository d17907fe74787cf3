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
	serviceID = resource.ID{Kind: resource.KindService, Name: "cropcal"}
	spec      = []byte(`{"timeout_ms":100}`)
	otherSpec = []byte(`{"timeout_ms":200}`)
	target    = adminclient.DrainSubject{Collection: "targets", Name: "cropcal-1"}
)

func client(t *testing.T, transport http.RoundTripper, addresses ...string) *adminclient.Client {
	t.Helper()
	made, err := adminclient.New(adminclient.Options{
		Addresses:        addresses,
		Token:            admintest.Token,
		Author:           "meera",
		HTTP:             &http.Client{Transport: transport},
		ResolveTimeout:   time.Second,
		NodeWriteTimeout: admintest.WriteTimeout,
	})
	assert.NilError(t, err)
	return made
}

// refusing returns an address at which nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// dropping passes requests on and loses the answers of writes.
type dropping struct {
	writes atomic.Int32
	// lose says whether the request is lost as well.
	lose bool
}

var errDropped = errors.New("connection reset")

func (d *dropping) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodGet {
		return http.DefaultTransport.RoundTrip(request)
	}
	d.writes.Add(1)
	if !d.lose {
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
	c := client(t, nil, node.Server.URL)
	_, err := c.Get(t.Context(), serviceID)
	assert.ErrorIs(t, err, adminclient.ErrNotFound)

	answer, err := c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)
	object, err := c.Get(t.Context(), serviceID)
	assert.NilError(t, err)
	assert.Equal(t, object.Revision, answer.Revision)
	assert.Equal(t, object.LastChange.Author, "meera")

	_, err = c.Put(t.Context(), serviceID, otherSpec, 0)
	assert.ErrorIs(t, err, adminclient.ErrConflict)
	_, err = c.Put(t.Context(), serviceID, []byte(`{"timeout":1}`), answer.Revision)
	assert.ErrorIs(t, err, adminclient.ErrInvalid)

	_, err = c.Drain(t.Context(), target, resource.Drain{Reason: "moves"}, false)
	assert.NilError(t, err)
	list, err := c.List(t.Context(), resource.KindDrain)
	assert.NilError(t, err)
	assert.Equal(t, list.Items[0].Name, "target.cropcal-1")
	_, err = c.Join(t.Context(), target)
	assert.NilError(t, err)

	_, err = c.Delete(t.Context(), serviceID, answer.Revision)
	assert.NilError(t, err)
	history, err := c.History(t.Context(), serviceID)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Changes), 2)
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Node.Name, "node-a1")
}

func TestWrongTokenIsDenied(t *testing.T) {
	node := admintest.Start(t)
	c, err := adminclient.New(adminclient.Options{Addresses: []string{node.Server.URL}})
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), serviceID, spec, 0)
	assert.ErrorIs(t, err, adminclient.ErrDenied)
}

func TestReadsFailOver(t *testing.T) {
	node := admintest.Start(t)
	broken := httptest.NewServer(http.NotFoundHandler())
	broken.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	defer broken.Close()
	c := client(t, nil, refusing(t), broken.URL, node.Server.URL)
	_, err := c.Status(t.Context())
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)

	unreachable := client(t, nil, refusing(t), refusing(t))
	_, err = unreachable.Status(t.Context())
	assert.ErrorIs(t, err, adminclient.ErrUnavailable)
	_, err = unreachable.Put(t.Context(), serviceID, spec, 0)
	assert.ErrorIs(t, err, adminclient.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, adminclient.ErrUnknownOutcome))
}

// TestLostAnswerIsResolved loses the answer between node and client: the
// change is found by its id, and it is sent once.
func TestLostAnswerIsResolved(t *testing.T) {
	node, other := admintest.Start(t), admintest.Start(t)
	transport := &dropping{}
	c := client(t, transport, node.Server.URL, other.Server.URL)
	answer, err := c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, admin.OutcomeAccepted)
	assert.Equal(t, transport.writes.Load(), int32(1))
	version, ok := node.Replica.Get(serviceID)
	assert.Assert(t, ok)
	assert.Equal(t, version.Revision, answer.Revision)
	_, ok = other.Replica.Get(serviceID)
	assert.Assert(t, !ok)

	_, err = c.Drain(t.Context(), target, resource.Drain{}, false)
	assert.NilError(t, err)
	answer, err = c.Delete(t.Context(), serviceID, answer.Revision)
	assert.NilError(t, err)
	version, _ = node.Replica.Get(serviceID)
	assert.Assert(t, version.Deleted)
	assert.Equal(t, version.Revision, answer.Revision)
}

func TestLostRequestIsNotReportedAsAccepted(t *testing.T) {
	node := admintest.Start(t)
	c := client(t, nil, node.Server.URL)
	created, err := c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)
	losing := client(t, &dropping{lose: true}, node.Server.URL)
	_, err = losing.Put(t.Context(), serviceID, otherSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrUnknownOutcome)
	assert.ErrorIs(t, err, errDropped)
	var failed *adminclient.Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, strings.HasPrefix(failed.Problem.ResolveURL, "/v1/changes/service/cropcal/"))

	_, err = c.Put(t.Context(), serviceID, otherSpec, created.Revision)
	assert.NilError(t, err)
	_, err = losing.Put(t.Context(), serviceID, spec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrConflict)
}

// TestUnknownAtNodeIsResolved lets the node itself lose the store's answer.
func TestUnknownAtNodeIsResolved(t *testing.T) {
	node := admintest.Start(t)
	c := client(t, nil, node.Server.URL)
	created, err := c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)
	node.SetFault(admintest.ResponsesLost)
	healing := time.AfterFunc(2*admintest.WriteTimeout, func() { node.SetFault(admintest.Healthy) })
	defer healing.Stop()
	changed, err := c.Put(t.Context(), serviceID, otherSpec, created.Revision)
	assert.NilError(t, err)
	assert.Assert(t, changed.Revision > created.Revision)
}

func TestOutcomeStaysUnknownWhileTheStoreIsSilent(t *testing.T) {
	node := admintest.Start(t)
	c := client(t, nil, node.Server.URL)
	created, err := c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)
	node.SetFault(admintest.Unavailable)
	_, err = c.Put(t.Context(), serviceID, otherSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, adminclient.ErrUnknownOutcome))
	node.SetFault(admintest.ResponsesLost)
	_, err = c.Put(t.Context(), serviceID, otherSpec, created.Revision)
	assert.ErrorIs(t, err, adminclient.ErrUnknownOutcome)
}

// TestStrangeAnswerLeavesTheOutcomeUnknown: what is not the node's own document
// proves nothing about the write.
func TestStrangeAnswerLeavesTheOutcomeUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"outcome":"unknown"}`))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	_, err := client(t, nil, server.URL).Put(t.Context(), serviceID, spec, 3)
	assert.ErrorIs(t, err, adminclient.ErrUnknownOutcome)
}

// TestEarlyRefusalOfCreationIsNotBelieved: while the node may still work on a
// creation, another node's refusal proves nothing.
func TestEarlyRefusalOfCreationIsNotBelieved(t *testing.T) {
	var asked atomic.Int32
	handler := http.NewServeMux()
	handler.HandleFunc("GET /v1/changes/", func(w http.ResponseWriter, _ *http.Request) {
		outcome := `{"outcome":"refused"}`
		if asked.Add(1) > 1 {
			outcome = `{"outcome":"accepted","revision":7}`
		}
		_, _ = w.Write([]byte(outcome))
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	c, err := adminclient.New(adminclient.Options{
		Addresses:        []string{server.URL},
		HTTP:             &http.Client{Transport: &dropping{}},
		ResolveTimeout:   5 * time.Second,
		NodeWriteTimeout: 5 * time.Second,
	})
	assert.NilError(t, err)
	answer, err := c.Put(t.Context(), serviceID, spec, 0)
	assert.NilError(t, err)
	assert.Equal(t, int64(answer.Revision), int64(7))
}
