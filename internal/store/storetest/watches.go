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
	// watchBuffer is the number of batches that a watch may be ahead.
	watchBuffer = 1024
	// watchPatience is how long a test waits for a watch.
	watchPatience = 10 * time.Second
)

type delivery struct {
	batch    []store.Entry
	progress store.Revision
}

// watcher runs one watch and hands its deliveries to the test.
type watcher struct {
	deliveries chan delivery
	ended      chan error
	pending    []store.Entry
	progress   store.Revision
}

func startWatch(ctx context.Context, tested store.Store, prefix string, after store.Revision) *watcher {
	w := &watcher{deliveries: make(chan delivery, watchBuffer), ended: make(chan error, 1)}
	go func() {
		w.ended <- tested.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
			w.deliveries <- delivery{batch: batch, progress: progress}
		})
	}()
	return w
}

func (w *watcher) next(t *testing.T) {
	t.Helper()
	select {
	case got := <-w.deliveries:
		w.pending = append(w.pending, got.batch...)
		if got.progress != 0 {
			assert.Assert(t, got.progress >= w.progress, "progress went back from %d to %d", w.progress, got.progress)
			w.progress = got.progress
		}
	case err := <-w.ended:
		t.Fatalf("watch ended: %v", err)
	case <-time.After(watchPatience):
		t.Fatalf("nothing from the watch; have %d entries, progress %d", len(w.pending), w.progress)
	}
}

// take returns the next entries, exactly so many.
func (w *watcher) take(t *testing.T, count int) []store.Entry {
	t.Helper()
	for len(w.pending) < count {
		w.next(t)
	}
	assert.Equal(t, len(w.pending), count, "entries %v", w.pending)
	taken := w.pending
	w.pending = nil
	return taken
}

// awaitProgress waits until the watch has reported the revision and returns
// the entries that came until then.
func (w *watcher) awaitProgress(t *testing.T, revision store.Revision) []store.Entry {
	t.Helper()
	for w.progress < revision {
		w.next(t)
	}
	taken := w.pending
	w.pending = nil
	return taken
}

func watchOrder(ctx context.Context, t *testing.T, tested store.Store) {
	before, err := tested.List(ctx, "w/")
	assert.NilError(t, err)
	var want []store.Entry
	write := func(key string, expected store.Revision, value string) store.Revision {
		revision := swap(ctx, t, tested, key, expected, value)
		want = append(want, store.Entry{Key: key, Value: []byte(value), Revision: revision})
		return revision
	}
	first := write("w/a", 0, "1")
	watch := startWatch(ctx, tested, "w/", before.Revision)
	second := write("w/b", 0, "1")
	write("w/a", first, "2")
	removed, err := tested.CompareAndDelete(ctx, "w/b", second)
	assert.NilError(t, err)
	want = append(want, store.Entry{Key: "w/b", Revision: removed, Deleted: true})
	for i := range 50 {
		write(fmt.Sprintf("w/c%d", i), 0, "1")
	}
	assert.DeepEqual(t, watch.awaitProgress(t, want[len(want)-1].Revision), want)
}

func watchResumes(ctx context.Context, t *testing.T, tested store.Store) {
	start := create(ctx, t, tested, "w/a", "0")
	first, cancel := context.WithCancel(ctx)
	watch := startWatch(first, tested, "w/", start)
	one := swap(ctx, t, tested, "w/a", start, "1")
	assert.DeepEqual(t, watch.take(t, 1), []store.Entry{{Key: "w/a", Value: []byte("1"), Revision: one}})
	seen := watch.progress
	cancel()
	assert.ErrorIs(t, <-watch.ended, context.Canceled)
	two := swap(ctx, t, tested, "w/a", one, "2")
	again := startWatch(ctx, tested, "w/", seen)
	three := swap(ctx, t, tested, "w/a", two, "3")
	assert.DeepEqual(t, again.awaitProgress(t, three), []store.Entry{
		{Key: "w/a", Value: []byte("2"), Revision: two},
		{Key: "w/a", Value: []byte("3"), Revision: three},
	})
}

func watchPrefix(ctx context.Context, t *testing.T, tested store.Store) {
	before, err := tested.List(ctx, "")
	assert.NilError(t, err)
	watch := startWatch(ctx, tested, "p/", before.Revision)
	for _, outside := range []string{"p", "p.", "p0", "q/a"} {
		create(ctx, t, tested, outside, "x")
	}
	inside := create(ctx, t, tested, "p/a", "1")
	assert.DeepEqual(t, watch.awaitProgress(t, inside), []store.Entry{{Key: "p/a", Value: []byte("1"), Revision: inside}})
}

func watchProgress(ctx context.Context, t *testing.T, tested store.Store) {
	before, err := tested.List(ctx, "")
	assert.NilError(t, err)
	watch := startWatch(ctx, tested, "p/", before.Revision)
	outside := create(ctx, t, tested, "q/a", "1")
	assert.Equal(t, len(watch.awaitProgress(t, outside)), 0)
}

func watchEnds(ctx context.Context, t *testing.T, tested store.Store) {
	short, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	watch := startWatch(short, tested, "p/", 1)
	select {
	case err := <-watch.ended:
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(watchPatience):
		t.Fatal("the watch did not end")
	}
}
