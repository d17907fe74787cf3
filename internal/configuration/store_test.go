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

// swapFault is a fault that faultyStore injects into a compare-and-swap.
type swapFault int

const (
	noFault swapFault = iota
	// lostAfterApply applies the swap but loses the response.
	lostAfterApply
	// lostBeforeApply loses the request.
	lostBeforeApply
	// appliedLate loses the response and delays the swap until runDelayedSwaps.
	appliedLate
	// notSent fails because the store is unavailable.
	notSent
)

// faultyStore is an in-memory store that can be made unavailable and that injects
// faults into requests.
type faultyStore struct {
	store.Store
	lists, polls, gets, swaps, watches, watching atomic.Int64

	mu           sync.Mutex
	faults       []swapFault
	delayedSwaps []func()
	down         bool
	failGets     bool
	downSignal   chan struct{}
}

func newFaultyStore() *faultyStore {
	return &faultyStore{Store: memory.New(time.Now), downSignal: make(chan struct{})}
}

func (f *faultyStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.downSignal)
		f.downSignal = make(chan struct{})
	}
	f.down = down
}

func (f *faultyStore) state() (down bool, wentDown chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.downSignal
}

func (f *faultyStore) injectFaults(faults ...swapFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, faults...)
}

func (f *faultyStore) setFailGets(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failGets = fail
}

func (f *faultyStore) nextFault() swapFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return noFault
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

// runDelayedSwaps applies the delayed compare-and-swaps.
func (f *faultyStore) runDelayedSwaps() {
	f.mu.Lock()
	delayed := f.delayedSwaps
	f.delayedSwaps = nil
	f.mu.Unlock()
	for _, swap := range delayed {
		swap()
	}
}

func (f *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	f.gets.Add(1)
	f.mu.Lock()
	unavailable := f.failGets || f.down
	f.mu.Unlock()
	if unavailable {
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
	case lostAfterApply:
		_, _ = f.Store.CompareAndSwap(ctx, key, expected, value, lease)
		return 0, store.ErrUnknownOutcome
	case lostBeforeApply:
		return 0, store.ErrUnknownOutcome
	case notSent:
		return 0, store.ErrUnavailable
	case appliedLate:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.delayedSwaps = append(f.delayedSwaps, func() {
			_, _ = f.Store.CompareAndSwap(context.Background(), key, expected, value, lease)
		})
		return 0, store.ErrUnknownOutcome
	}
	return f.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (f *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	f.watches.Add(1)
	down, wentDown := f.state()
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
		case <-wentDown:
			cancel(store.ErrUnavailable)
		}
	}()
	err := f.Store.Watch(ctx, prefix, after, handler)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// discardLog returns a logger that discards all entries below the panic level.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// eventually polls a condition and fails the test after 30 s.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached: %s", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func serviceID(name string) resource.ID {
	return resource.ID{Kind: resource.KindService, Name: name}
}

// service returns the envelope of a service. Versions differ in their timeouts.
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
