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

// shortTimeout makes requests to a hanging store fail quickly.
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

func TestLostAnswersAreUnknownAndNotSentAgain(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{Endpoints: []string{process.Address(), process.Address()}})
	lease, err := client.GrantLease(ctx, time.Minute)
	assert.NilError(t, err)
	kept, err := client.CompareAndSwap(ctx, "removed", 0, nil, store.NoLease)
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
			_, err := client.CompareAndDelete(ctx, "removed", kept)
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
			control(t, process, kvstore.ControlRequest{DropAnswers: &drop})
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
	control(t, process, kvstore.ControlRequest{DropAnswers: &drop})
	assert.ErrorIs(t, client.RevokeLease(ctx, lease), store.ErrUnknownOutcome)
	_, err = client.Get(ctx, "written")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// TestUnknownOutcomesAreResolvedByReading counts with a key while a third of
// the answers is lost; each count must take effect once.
func TestUnknownOutcomesAreResolvedByReading(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{Seed: 7})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}})
	probability := 0.3
	control(t, process, kvstore.ControlRequest{DropProbability: &probability})
	const count = 60
	revision := store.Revision(0)
	unknown := 0
	for i := range count {
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
	assert.Equal(t, status.Writes, int64(count))
	assert.Equal(t, status.AnswersDropped, int64(unknown))
	assert.Assert(t, unknown > 0)
}

func TestRefusedConnectionsAreUnavailable(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	used := open(t, etcd.Config{Endpoints: []string{process.Address()}})
	_, err := used.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	fresh := open(t, etcd.Config{Endpoints: []string{process.Address()}})
	control(t, process, outage(kvstore.OutageRefuse))

	_, err = fresh.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, store.ErrUnknownOutcome))
	_, err = used.List(ctx, "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)

	control(t, process, clearFaults())
	for _, client := range []*etcd.Client{used, fresh} {
		_, err = client.Get(ctx, "a")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}
}

func TestUnavailableStore(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}})
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

// TestHangingStore gives up on a write that takes effect later.
func TestHangingStore(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}, RequestTimeout: shortTimeout})
	control(t, process, outage(kvstore.OutageHang))
	_, err := client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.CompareAndSwap(ctx, "a", 0, []byte("late"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded))

	short, cancel := context.WithTimeout(ctx, shortTimeout/4)
	defer cancel()
	_, err = client.CompareAndSwap(short, "b", 0, nil, store.NoLease)
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
	}, poll.WithTimeout(patience), poll.WithDelay(progressInterval))
}

func TestFailOver(t *testing.T) {
	ctx := testContext(t)
	dead := startStore(t, kvstore.Config{})
	control(t, dead, outage(kvstore.OutageRefuse))
	hanging := startStore(t, kvstore.Config{})
	control(t, hanging, outage(kvstore.OutageHang))
	healthy := startStore(t, kvstore.Config{})
	config := etcd.Config{RequestTimeout: shortTimeout}

	config.Endpoints = []string{dead.Address(), healthy.Address()}
	client := open(t, config)
	_, err := client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.NilError(t, err)

	config.Endpoints = []string{hanging.Address(), healthy.Address()}
	client = open(t, config)
	_, err = client.Get(ctx, "a")
	assert.NilError(t, err)

	client = open(t, config)
	_, err = client.CompareAndSwap(ctx, "b", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	_, err = client.Get(ctx, "b")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func TestStoreRateLimit(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{RequestsPerSecond: 0.1, Burst: 1})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}, RequestTimeout: shortTimeout})
	_, err := client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(ctx, "b", 0, nil, store.NoLease)
	assert.ErrorIs(t, err, store.ErrRateLimited)
	_, err = client.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrRateLimited)
	status := process.Status()
	assert.Equal(t, status.RateLimited, int64(1), "the client must pause after the refusal")
	assert.Equal(t, status.Writes, int64(1))
}

func TestClientKeepsItsPace(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{RequestsPerSecond: 100, Burst: 10})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}, RequestsPerSecond: 80, Burst: 1})
	for range 40 {
		_, err := client.Get(ctx, "a")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}
	assert.Equal(t, process.Status().RateLimited, int64(0))
}

func TestClientRefusesWhatItCannotSendInTime(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{
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
