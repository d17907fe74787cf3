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

// follow watches again from the last progress until it has seen the revision.
func follow(ctx context.Context, client *etcd.Client, until <-chan store.Revision) (seen []store.Entry, cuts int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var progress, last store.Revision
	for {
		err := client.Watch(ctx, "w/", progress, func(batch []store.Entry, revision store.Revision) {
			seen = append(seen, batch...)
			progress = revision
			select {
			case last = <-until:
			default:
			}
			if last != 0 && progress >= last {
				cancel()
			}
		})
		if ctx.Err() != nil && last != 0 && progress >= last {
			return seen, cuts, nil
		}
		if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return seen, cuts, err
		}
		cuts++
	}
}

// TestCutWatchResumes cuts watches while keys are written: the follower must
// see each change once and in order.
func TestCutWatchResumes(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}})
	until := make(chan store.Revision, 1)
	var want []store.Entry
	written := make(chan error, 1)
	go func() {
		written <- writeAndCut(ctx, client, process, func(entry store.Entry) { want = append(want, entry) })
		until <- want[len(want)-1].Revision
	}()
	seen, cuts, err := follow(ctx, client, until)
	assert.NilError(t, err)
	assert.NilError(t, <-written)
	assert.Assert(t, cuts > 0)
	assert.DeepEqual(t, seen, want)
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

// cutOpenWatch waits until a watch is open, so that the cut hits one.
func cutOpenWatch(ctx context.Context, process *kvstore.Process) error {
	for process.Status().OpenWatches == 0 {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return process.Control(kvstore.ControlRequest{CutWatches: true})
}

// TestSilentWatchEnds hangs the store below an open watch.
func TestSilentWatchEnds(t *testing.T) {
	ctx := testContext(t)
	process := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{Endpoints: []string{process.Address()}, WatchIdleTimeout: shortTimeout})
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, "w/", 0, func([]store.Entry, store.Revision) {})
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if process.Status().OpenWatches == 1 {
			return poll.Success()
		}
		return poll.Continue("no watch yet")
	}, poll.WithTimeout(patience), poll.WithDelay(progressInterval))
	control(t, process, outage(kvstore.OutageHang))
	err := <-ended
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.ErrorContains(t, err, "nothing received")
	assert.NilError(t, ctx.Err())
}

// TestWatchOpensElsewhere finds the endpoint that works.
func TestWatchOpensElsewhere(t *testing.T) {
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	hanging := startStore(t, kvstore.Config{})
	control(t, hanging, outage(kvstore.OutageHang))
	healthy := startStore(t, kvstore.Config{})
	client := open(t, etcd.Config{
		Endpoints:      []string{hanging.Address(), healthy.Address()},
		RequestTimeout: shortTimeout,
	})
	err := client.Watch(ctx, "w/", 0, func([]store.Entry, store.Revision) { cancel() })
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, hanging.Status().Requests > 0)
}
