package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// watchBuffer is the number of deliveries that a watch can buffer for the test.
	watchBuffer = 1024
	// watchTimeout bounds the wait for a delivery or for the end of a watch.
	watchTimeout = 10 * time.Second
)

type delivery struct {
	batch    []store.Entry
	progress store.Revision
}

// watcher runs one watch and buffers its deliveries for the test.
type watcher struct {
	deliveries chan delivery
	ended      chan error
	pending    []store.Entry
	progress   store.Revision
}

func startWatch(ctx context.Context, s store.Store, prefix string, after store.Revision) *watcher {
	w := &watcher{deliveries: make(chan delivery, watchBuffer), ended: make(chan error, 1)}
	go func() {
		w.ended <- s.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
			w.deliveries <- delivery{batch: batch, progress: progress}
		})
	}()
	return w
}

func (w *watcher) receiveDelivery(t *testing.T) {
	t.Helper()
	select {
	case received := <-w.deliveries:
		w.pending = append(w.pending, received.batch...)
		if received.progress != 0 {
			assert.Assert(t, received.progress >= w.progress, "progress decreased from %d to %d", w.progress, received.progress)
			w.progress = received.progress
		}
	case err := <-w.ended:
		t.Fatalf("watch ended: %v", err)
	case <-time.After(watchTimeout):
		t.Fatalf("no delivery from the watch; %d entries pending, progress %d", len(w.pending), w.progress)
	}
}

// receive returns the next entries and asserts that they are exactly count.
func (w *watcher) receive(t *testing.T, count int) []store.Entry {
	t.Helper()
	for len(w.pending) < count {
		w.receiveDelivery(t)
	}
	assert.Equal(t, len(w.pending), count, "entries %v", w.pending)
	entries := w.pending
	w.pending = nil
	return entries
}

// awaitProgress waits until the watch has reported progress up to the revision
// and returns the entries received by then.
func (w *watcher) awaitProgress(t *testing.T, revision store.Revision) []store.Entry {
	t.Helper()
	for w.progress < revision {
		w.receiveDelivery(t)
	}
	entries := w.pending
	w.pending = nil
	return entries
}

func watchOrder(ctx context.Context, t *testing.T, s store.Store) {
	before, err := s.List(ctx, "w/")
	assert.NilError(t, err)
	var written []store.Entry
	write := func(key string, expected store.Revision, value string) store.Revision {
		revision := swap(ctx, t, s, key, expected, value)
		written = append(written, store.Entry{Key: key, Value: []byte(value), Revision: revision})
		return revision
	}
	first := write("w/a", 0, "1")
	watch := startWatch(ctx, s, "w/", before.Revision)
	second := write("w/b", 0, "1")
	write("w/a", first, "2")
	removed, err := s.CompareAndDelete(ctx, "w/b", second)
	assert.NilError(t, err)
	written = append(written, store.Entry{Key: "w/b", Revision: removed, Deleted: true})
	for i := range 50 {
		write(fmt.Sprintf("w/c%d", i), 0, "1")
	}
	assert.DeepEqual(t, watch.awaitProgress(t, written[len(written)-1].Revision), written)
}

func watchResumption(ctx context.Context, t *testing.T, s store.Store) {
	first := create(ctx, t, s, "w/a", "0")
	watchCtx, cancel := context.WithCancel(ctx)
	watch := startWatch(watchCtx, s, "w/", first)
	second := swap(ctx, t, s, "w/a", first, "1")
	assert.DeepEqual(t, watch.receive(t, 1), []store.Entry{{Key: "w/a", Value: []byte("1"), Revision: second}})
	progress := watch.progress
	cancel()
	assert.ErrorIs(t, <-watch.ended, context.Canceled)
	third := swap(ctx, t, s, "w/a", second, "2")
	resumed := startWatch(ctx, s, "w/", progress)
	fourth := swap(ctx, t, s, "w/a", third, "3")
	assert.DeepEqual(t, resumed.awaitProgress(t, fourth), []store.Entry{
		{Key: "w/a", Value: []byte("2"), Revision: third},
		{Key: "w/a", Value: []byte("3"), Revision: fourth},
	})
}

func watchPrefix(ctx context.Context, t *testing.T, s store.Store) {
	before, err := s.List(ctx, "")
	assert.NilError(t, err)
	watch := startWatch(ctx, s, "p/", before.Revision)
	for _, outside := range []string{"p", "p.", "p0", "q/a"} {
		create(ctx, t, s, outside, "x")
	}
	inside := create(ctx, t, s, "p/a", "1")
	assert.DeepEqual(t, watch.awaitProgress(t, inside), []store.Entry{{Key: "p/a", Value: []byte("1"), Revision: inside}})
}

func watchProgress(ctx context.Context, t *testing.T, s store.Store) {
	before, err := s.List(ctx, "")
	assert.NilError(t, err)
	watch := startWatch(ctx, s, "p/", before.Revision)
	outside := create(ctx, t, s, "q/a", "1")
	assert.Equal(t, len(watch.awaitProgress(t, outside)), 0)
}

func watchEndsWithContext(ctx context.Context, t *testing.T, s store.Store) {
	shortCtx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	watch := startWatch(shortCtx, s, "p/", 1)
	select {
	case err := <-watch.ended:
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(watchTimeout):
		t.Fatal("the watch did not end")
	}
}
