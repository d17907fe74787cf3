package etcd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd"
	"github.com/lugspur/lugspur/internal/store/storetest"
	"github.com/lugspur/lugspur/lab/kvstore"
)

const (
	loopback = "127.0.0.1:0"
	// unlimitedRate is a request rate that no test reaches.
	unlimitedRate = 1e6
	// testTimeout bounds each wait of a test.
	testTimeout = 10 * time.Second
	// progressInterval is short, so that watches report progress quickly.
	progressInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func startStore(t *testing.T, config kvstore.Config) *kvstore.Process {
	t.Helper()
	if config.ProgressInterval == 0 {
		config.ProgressInterval = progressInterval
	}
	process, err := kvstore.Start(config, loopback, loopback)
	assert.NilError(t, err)
	t.Cleanup(process.Close)
	return process
}

func newClient(t *testing.T, config etcd.Config) *etcd.Client {
	t.Helper()
	if config.RequestsPerSecond == 0 {
		config.RequestsPerSecond = unlimitedRate
	}
	client, err := etcd.New(config)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return client
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store {
		process := startStore(t, kvstore.Config{})
		return newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	})
}

func TestConformanceWithSmallPages(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store {
		process := startStore(t, kvstore.Config{})
		return newClient(t, etcd.Config{Endpoints: []string{process.Address()}, PageEntries: 3})
	})
}

func TestCompaction(t *testing.T) {
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	storetest.RunCompaction(t, client, func() {
		assert.NilError(t, process.Control(kvstore.ControlRequest{Compact: true}))
	})
}

func TestNewRejectsInvalidEndpoints(t *testing.T) {
	for _, endpoints := range [][]string{nil, {"store.example:2379"}, {"127.0.0.1"}, {"http://127.0.0.1:2379"}} {
		_, err := etcd.New(etcd.Config{Endpoints: endpoints})
		assert.Assert(t, err != nil, "%v", endpoints)
	}
}

// TestListIsOneRevision writes a key between two pages of a list, which must not
// contain it.
func TestListIsOneRevision(t *testing.T) {
	ctx := testContext(t)
	server := kvstore.New(kvstore.Config{})
	t.Cleanup(server.Close)
	writer := newClient(t, etcd.Config{Endpoints: []string{startServer(t, server.Handler())}})
	pages := 0
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pages++
		if pages == 2 {
			_, err := writer.CompareAndSwap(ctx, "k/z", 0, []byte("late"), store.NoLease)
			assert.Check(t, err)
		}
		server.Handler().ServeHTTP(w, r)
	}))
	for _, key := range []string{"k/a", "k/b", "k/c"} {
		_, err := writer.CompareAndSwap(ctx, key, 0, []byte("1"), store.NoLease)
		assert.NilError(t, err)
	}
	reader := newClient(t, etcd.Config{Endpoints: []string{address}, PageEntries: 1})
	snapshot, err := reader.List(ctx, "k/")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), 3)
	assert.Equal(t, snapshot.Revision, snapshot.Entries[2].Revision)
}

func TestErrorsIncludeStepAndPeer(t *testing.T) {
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	_, err := client.CompareAndSwap(testContext(t), "a", 5, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	assert.ErrorContains(t, err, "compare-and-swap at "+process.Address())
}

func TestClosedClient(t *testing.T) {
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	watchErr := make(chan error, 1)
	progressed := make(chan struct{}, 1)
	go func() {
		watchErr <- client.Watch(context.Background(), "", 0, func([]store.Entry, store.Revision) {
			select {
			case progressed <- struct{}{}:
			default:
			}
		})
	}()
	<-progressed
	client.Close()
	assert.ErrorIs(t, <-watchErr, store.ErrUnavailable)
	_, err := client.CompareAndSwap(testContext(t), "a", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}
