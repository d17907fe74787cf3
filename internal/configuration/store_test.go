package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// lostAnswer says what a compare-and-swap whose answer is lost does.
type lostAnswer int

const (
	answered lostAnswer = iota
	lostWithEffect
	lostWithoutEffect
	lostWithLateEffect
	refusedUnavailable
)

// faultyStore is a memory store that can be taken down and that loses answers.
type faultyStore struct {
	store.Store
	lists, polls, gets, swaps, watches, watching atomic.Int64

	mu       sync.Mutex
	faults   []lostAnswer
	late     []func()
	down     bool
	loseGets bool
	goneDown chan struct{}
}

func newFaultyStore() *faultyStore {
	return &faultyStore{Store: memory.New(time.Now), goneDown: make(chan struct{})}
}

func (f *faultyStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.goneDown)
		f.goneDown = make(chan struct{})
	}
	f.down = down
}

func (f *faultyStore) state() (down bool, goneDown chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.goneDown
}

func (f *faultyStore) lose(faults ...lostAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, faults...)
}

func (f *faultyStore) setLoseGets(lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseGets = lose
}

func (f *faultyStore) nextFault() lostAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return answered
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

// runLate lets the writes whose effect is late take effect now.
func (f *faultyStore) runLate() {
	f.mu.Lock()
	late := f.late
	f.late = nil
	f.mu.Unlock()
	for _, run := range late {
		run()
	}
}

func (f *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	f.gets.Add(1)
	f.mu.Lock()
	lost := f.loseGets || f.down
	f.mu.Unlock()
	if lost {
		return store.Entry{}, store.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if prefix == pollPrefix {
		f.polls.Add(1)
	} else {
		f.lists.Add(1)
	}
	if down, _ := f.state(); down {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	f.swaps.Add(1)
	if down, _ := f.state(); down {
		return 0, store.ErrUnavailable
	}
	switch f.nextFault() {
	case lostWithEffect:
		_, _ = f.Store.CompareAndSwap(ctx, key, expected, value, lease)
		return 0, store.ErrUnknownOutcome
	case lostWithoutEffect:
		return 0, store.ErrUnknownOutcome
	case refusedUnavailable:
		return 0, store.ErrUnavailable
	case lostWithLateEffect:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.late = append(f.late, func() {
			_, _ = f.Store.CompareAndSwap(context.Background(), key, expected, value, lease)
		})
		return 0, store.ErrUnknownOutcome
	}
	return f.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (f *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	f.watches.Add(1)
	down, goneDown := f.state()
	if down {
		return store.ErrUnavailable
	}
	f.watching.Add(1)
	defer f.watching.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-ctx.Done():
		case <-goneDown:
			cancel(store.ErrUnavailable)
		}
	}()
	err := f.Store.Watch(ctx, prefix, after, handler)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// quietLog drops the log.
func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// eventually polls a condition up to a generous deadline.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func serviceID(name string) resource.ID {
	return resource.ID{Kind: resource.KindService, Name: name}
}

// service returns an envelope that tells versions apart by their timeout.
func service(name string, timeout int) resource.Envelope {
	return resource.Envelope{ID: serviceID(name), Service: &resource.Service{TimeoutMillis: timeout}}
}

func version(name string, revision store.Revision, deleted bool) resource.Versioned {
	result := resource.Versioned{Envelope: service(name, int(revision)), Revision: revision}
	if deleted {
		result.Deleted = true
		result.Service = nil
	}
	return result
}

func newTestWriter(backing store.Store) (*Writer, *Replica) {
	replica := NewReplica(time.Now)
	return NewWriter(backing, replica, func(...resource.Versioned) {}, time.Now), replica
}

func mustWrite(t testing.TB, writer *Writer, name string, expected store.Revision, change resource.Change) resource.Versioned {
	t.Helper()
	written, err := writer.Write(t.Context(), service(name, 1), expected, change)
	assert.NilError(t, err)
	return written
}
