package etcd_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd"
	"github.com/lugspur/lugspur/lab/kvstore"
)

// shortTimeout makes requests to a hanging store time out quickly.
const shortTimeout = 200 * time.Millisecond

func control(t *testing.T, process *kvstore.Process, request kvstore.ControlRequest) {
	t.Helper()
	assert.NilError(t, process.Control(request))
}

func outage(kind kvstore.Outage) kvstore.ControlRequest {
	return kvstore.ControlRequest{Outage: &kind}
}

func clearFaults() kvstore.ControlRequest {
	return kvstore.ControlRequest{Clear: true}
}

func TestLostResponsesAreUnknownAndNotRetried(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address(), process.Address()}})
	lease, err := client.GrantLease(ctx, time.Minute)
	assert.NilError(t, err)
	created, err := client.CompareAndSwap(ctx, "removed", 0, nil, store.NoLease)
	assert.NilError(t, err)
	writes := []struct {
		name string
		run  func() error
	}{
		{"swap", func() error {
			_, err := client.CompareAndSwap(ctx, "written", 0, []byte("1"), lease)
			return err
		}},
		{"delete", func() error {
			_, err := client.CompareAndDelete(ctx, "removed", created)
			return err
		}},
		{"grant", func() error {
			_, err := client.GrantLease(ctx, time.Minute)
			return err
		}},
		{"renew", func() error {
			_, err := client.RenewLease(ctx, lease)
			return err
		}},
	}
	for _, write := range writes {
		t.Run(write.name, func(t *testing.T) {
			drop := 1
			control(t, process, kvstore.ControlRequest{DropResponses: &drop})
			before := process.Status()
			assert.ErrorIs(t, write.run(), store.ErrUnknownOutcome)
			after := process.Status()
			assert.Equal(t, after.Requests-before.Requests, int64(1))
			assert.Equal(t, after.Writes-before.Writes, int64(1))
		})
	}
	entry, err := client.Get(ctx, "written")
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "1")
	_, err = client.Get(ctx, "removed")
	assert.ErrorIs(t, err, store.ErrNotFound)

	drop := 1
	control(t, process, kvstore.ControlRequest{DropResponses: &drop})
	assert.ErrorIs(t, client.RevokeLease(ctx, lease), store.ErrUnknownOutcome)
	_, err = client.Get(ctx, "written")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// TestUnknownOutcomesAreResolvedByReading increments a counter while 30% of the
// responses are lost; each increment must take effect exactly once.
func TestUnknownOutcomesAreResolvedByReading(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{Seed: 7})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	probability := 0.3
	control(t, process, kvstore.ControlRequest{DropProbability: &probability})
	const increments = 60
	revision := store.Revision(0)
	unknown := 0
	for i := range increments {
		value := fmt.Sprint(i)
		next, err := client.CompareAndSwap(ctx, "counter", revision, []byte(value), store.NoLease)
		if errors.Is(err, store.ErrUnknownOutcome) {
			unknown++
			entry, readErr := client.Get(ctx, "counter")
			assert.NilError(t, readErr)
			assert.Equal(t, string(entry.Value), value)
			next, err = entry.Revision, nil
		}
		assert.NilError(t, err)
		revision = next
	}
	status := process.Status()
	assert.Equal(t, status.Writes, int64(increments))
	assert.Equal(t, status.ResponsesDropped, int64(unknown))
	assert.Assert(t, unknown > 0)
}

func TestRefusedConnectionsAreUnavailable(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	connected := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	_, err := connected.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	unconnected := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	control(t, process, outage(kvstore.OutageRefuse))

	_, err = unconnected.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, store.ErrUnknownOutcome))
	_, err = connected.List(ctx, "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)

	control(t, process, clearFaults())
	for _, client := range []*etcd.Client{connected, unconnected} {
		_, err = client.Get(ctx, "a")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}
}

func TestUnavailableStore(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	control(t, process, outage(kvstore.OutageUnavailable))
	_, err := client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	err = client.Watch(ctx, "a", 0, func([]store.Entry, store.Revision) {})
	assert.ErrorIs(t, err, store.ErrUnavailable)
	control(t, process, clearFaults())
	_, err = client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// TestHangingStoreTimesOut checks that a write which times out has an unknown outcome,
// because it takes effect once the store continues.
func TestHangingStoreTimesOut(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}, RequestTimeout: shortTimeout})
	control(t, process, outage(kvstore.OutageHang))
	_, err := client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.CompareAndSwap(ctx, "a", 0, []byte("late"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded))

	shortCtx, cancel := context.WithTimeout(ctx, shortTimeout/4)
	defer cancel()
	_, err = client.CompareAndSwap(shortCtx, "b", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	control(t, process, clearFaults())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry, err := client.Get(ctx, "a")
		if err != nil {
			return poll.Continue("%v", err)
		}
		assert.Equal(t, string(entry.Value), "late")
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(progressInterval))
}

func TestFailOver(t *testing.T) {
	ctx := testContext(t)
	refusing := startStore(t, kvstore.Config{})
	control(t, refusing, outage(kvstore.OutageRefuse))
	hanging := startStore(t, kvstore.Config{})
	control(t, hanging, outage(kvstore.OutageHang))
	healthy := startStore(t, kvstore.Config{})
	config := etcd.Config{RequestTimeout: shortTimeout}

	config.Endpoints = []string{refusing.Address(), healthy.Address()}
	client := newClient(t, config)
	_, err := client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.NilError(t, err)

	config.Endpoints = []string{hanging.Address(), healthy.Address()}
	client = newClient(t, config)
	_, err = client.Get(ctx, "a")
	assert.NilError(t, err)

	client = newClient(t, config)
	_, err = client.CompareAndSwap(ctx, "b", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	_, err = client.Get(ctx, "b")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func TestStoreRateLimit(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{RequestsPerSecond: 0.1, Burst: 1})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}, RequestTimeout: shortTimeout})
	_, err := client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(ctx, "b", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrRateLimited)
	_, err = client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrRateLimited)
	status := process.Status()
	assert.Equal(t, status.RateLimited, int64(1), "the client must pause after a 429 response")
	assert.Equal(t, status.Writes, int64(1))
}

func TestClientStaysWithinRate(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{RequestsPerSecond: 100, Burst: 10})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}, RequestsPerSecond: 80, Burst: 1})
	for range 40 {
		_, err := client.Get(ctx, "a")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}
	assert.Equal(t, process.Status().RateLimited, int64(0))
}

func TestClientRejectsRequestsDelayedBeyondTimeout(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{
		Endpoints:         []string{process.Address()},
		RequestsPerSecond: 0.1,
		Burst:             1,
		RequestTimeout:    shortTimeout,
	})
	_, err := client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrRateLimited)
	assert.Equal(t, process.Status().Requests, int64(1))
}
