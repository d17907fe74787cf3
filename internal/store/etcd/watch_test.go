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

// watchUntil watches, and after each interruption watches again from the last progress,
// until the progress reaches the revision sent on lastRevision.
func watchUntil(ctx context.Context, client *etcd.Client, lastRevision <-chan store.Revision) (received []store.Entry, interruptions int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var progress, last store.Revision
	for {
		err := client.Watch(ctx, "w/", progress, func(batch []store.Entry, revision store.Revision) {
			received = append(received, batch...)
			progress = revision
			select {
			case last = <-lastRevision:
			default:
			}
			if last != 0 && progress >= last {
				cancel()
			}
		})
		if ctx.Err() != nil && last != 0 && progress >= last {
			return received, interruptions, nil
		}
		if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return received, interruptions, err
		}
		interruptions++
	}
}

// TestInterruptedWatchResumes interrupts watches while keys are written: each change
// must be delivered once and in order.
func TestInterruptedWatchResumes(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}})
	lastRevision := make(chan store.Revision, 1)
	var expected []store.Entry
	writeErr := make(chan error, 1)
	go func() {
		writeErr <- writeAndCut(ctx, client, process, func(entry store.Entry) { expected = append(expected, entry) })
		lastRevision <- expected[len(expected)-1].Revision
	}()
	received, interruptions, err := watchUntil(ctx, client, lastRevision)
	assert.NilError(t, err)
	assert.NilError(t, <-writeErr)
	assert.Assert(t, interruptions > 0)
	assert.DeepEqual(t, received, expected)
}

func writeAndCut(ctx context.Context, client *etcd.Client, process *kvstore.Process, record func(store.Entry)) error {
	const count, cutEvery = 100, 20
	for i := range count {
		key, value := fmt.Sprintf("w/%d", i%7), []byte(fmt.Sprint(i))
		entry, err := client.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		revision, err := client.CompareAndSwap(ctx, key, entry.Revision, value, store.NoLease)
		if err != nil {
			return err
		}
		record(store.Entry{Key: key, Value: value, Revision: revision})
		if i%cutEvery != 0 {
			continue
		}
		if err := cutOpenWatch(ctx, process); err != nil {
			return err
		}
	}
	return nil
}

// cutOpenWatch waits until a watch is open and interrupts it.
func cutOpenWatch(ctx context.Context, process *kvstore.Process) error {
	for process.Status().OpenWatches == 0 {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return process.Control(kvstore.ControlRequest{CutWatches: true})
}

// TestIdleWatchTimesOut makes the store hang while a watch is open; the watch must end
// with the idle timeout.
func TestIdleWatchTimesOut(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{Endpoints: []string{process.Address()}, WatchIdleTimeout: shortTimeout})
	watchErr := make(chan error, 1)
	go func() {
		watchErr <- client.Watch(ctx, "w/", 0, func([]store.Entry, store.Revision) {})
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if process.Status().OpenWatches == 1 {
			return poll.Success()
		}
		return poll.Continue("no watch is open")
	}, poll.WithTimeout(testTimeout), poll.WithDelay(progressInterval))
	control(t, process, outage(kvstore.OutageHang))
	err := <-watchErr
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.ErrorContains(t, err, "nothing received")
	assert.NilError(t, ctx.Err())
}

// TestWatchOpensAtNextEndpoint checks that a watch is opened at the second endpoint when
// the first hangs.
func TestWatchOpensAtNextEndpoint(t *testing.T) {
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	hanging := startStore(t, kvstore.Config{})
	control(t, hanging, outage(kvstore.OutageHang))
	healthy := startStore(t, kvstore.Config{})
	client := newClient(t, etcd.Config{
		Endpoints:      []string{hanging.Address(), healthy.Address()},
		RequestTimeout: shortTimeout,
	})
	err := client.Watch(ctx, "w/", 0, func([]store.Entry, store.Revision) { cancel() })
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, hanging.Status().Requests > 0)
}
