package registry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

const (
	homesPrefix      = "homes/"
	departuresPrefix = "departures/"
	homeAddress      = "10.0.0.1:8300"
)

// faultyStore refuses or loses answers on demand.
type faultyStore struct {
	store.Store
	down  atomic.Bool
	lossy atomic.Bool
}

func (f *faultyStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if f.down.Load() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

func (f *faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if f.down.Load() {
		return store.NoLease, store.ErrUnavailable
	}
	return f.Store.GrantLease(ctx, ttl)
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if f.down.Load() {
		return 0, store.ErrUnavailable
	}
	revision, err := f.Store.CompareAndSwap(ctx, key, expected, value, lease)
	if f.lossy.Load() {
		return 0, store.ErrUnknownOutcome
	}
	return revision, err
}

// recordsOf returns everything in the store once it answers.
func recordsOf(target store.Store) func(context.Context) ([]store.Entry, error) {
	return func(ctx context.Context) ([]store.Entry, error) {
		for ctx.Err() == nil {
			if snapshot, err := target.List(ctx, ""); err == nil {
				return snapshot.Entries, nil
			}
			time.Sleep(5 * time.Millisecond)
		}
		return nil, ctx.Err()
	}
}

func startRegistrar(t *testing.T, target store.Store) *Registrar {
	t.Helper()
	config := RegistrarConfig{Zone: "z", Address: homeAddress, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix, Records: recordsOf(target)}
	r := NewRegistrar(config, Stores{Record: target, Departure: target}, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	return r
}

func awaitState(t *testing.T, r *Registrar, state State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := r.Target().State; got != state {
			return poll.Continue("state %s, not %s", got, state)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

func ready(id string, sequence uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "s", Slots: 10, Sequence: sequence}
}

func draining(id string, sequence uint64) Heartbeat {
	beat := ready(id, sequence)
	beat.Draining = true
	return beat
}

func TestAcknowledgedDrainSurvivesNodeRestart(t *testing.T) {
	ctx := context.Background()
	target := memory.New(time.Now)
	first := startRegistrar(t, target)
	assert.NilError(t, first.Heartbeat(ctx, ready("i-1", 1)))
	awaitState(t, first, Ready)
	assert.NilError(t, first.Heartbeat(ctx, draining("i-1", 2)))

	second := startRegistrar(t, target)
	assert.NilError(t, second.Heartbeat(ctx, ready("i-1", 1)), "a late heartbeat")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		second.mutex.Lock()
		defer second.mutex.Unlock()
		if !second.recovered {
			return poll.Continue("not recovered")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, second.Target().State != Ready, "state %s", second.Target().State)
	assert.NilError(t, second.Heartbeat(ctx, ready("i-1", 9)))
	assert.Assert(t, second.Target().State != Ready, "a departed target must not come back")
	assert.NilError(t, second.Heartbeat(ctx, ready("i-2", 1)))
	awaitState(t, second, Ready)
}

// awaitPublished polls until the node's record names the instance.
func awaitPublished(t *testing.T, target store.Store, instance string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry, err := target.Get(t.Context(), homesPrefix+homeAddress)
		if err != nil {
			return poll.Continue("not published: %v", err)
		}
		record, err := decodeRecord(entry)
		if err != nil || record.Instance != instance {
			return poll.Continue("%s is published (%v)", record.Instance, err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// TestRestartedNodeAdoptsTarget has a process take over from one that was
// killed: the target beside it runs on and must not be lost until its next
// heartbeat.
func TestRestartedNodeAdoptsTarget(t *testing.T) {
	ctx := context.Background()
	target := memory.New(time.Now)
	first := startRegistrar(t, target)
	assert.NilError(t, first.Heartbeat(ctx, ready("i-1", 5)))
	awaitPublished(t, target, "i-1")

	second := startRegistrar(t, target)
	awaitState(t, second, Ready)
	assert.Equal(t, second.Target().ID, "i-1")
	assert.Equal(t, second.Target().Slots, 10)
	assert.NilError(t, second.Heartbeat(ctx, ready("i-1", 6)))
	assert.Equal(t, second.Target().Sequence, uint64(6))
	// Another target takes its place.
	assert.NilError(t, second.Heartbeat(ctx, ready("i-2", 1)))
	assert.Equal(t, second.Target().ID, "i-2")

	awaitPublished(t, target, "i-2")

	// One that left since is not taken over.
	assert.NilError(t, second.Depart(ctx, "i-2", 0))
	third := startRegistrar(t, target)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		third.mutex.Lock()
		defer third.mutex.Unlock()
		if !third.recovered {
			return poll.Continue("not recovered")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, third.Target().State != Ready)
}

func TestNoTargetIsReadyBeforeTheDeparturesAreRead(t *testing.T) {
	target := &faultyStore{Store: memory.New(time.Now)}
	target.down.Store(true)
	r := startRegistrar(t, target)
	assert.NilError(t, r.Heartbeat(context.Background(), ready("i-1", 1)))
	assert.Equal(t, r.Target().State, Absent)
	target.down.Store(false)
	awaitState(t, r, Ready)
}

// TestAtTheFirstStartOfAllNothingWasAcknowledged has a node start for the first
// time before it has read anything; a departure that it reads later binds it all
// the same.
func TestAtTheFirstStartOfAllNothingWasAcknowledged(t *testing.T) {
	read := make(chan []store.Entry)
	config := RegistrarConfig{Zone: "z", Address: homeAddress, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix, FirstStart: true,
		Records: func(context.Context) ([]store.Entry, error) { return <-read, nil }}
	target := memory.New(time.Now)
	r := NewRegistrar(config, Stores{Record: target, Departure: target}, nil, time.Now)
	go r.Run(t.Context())
	assert.NilError(t, r.Heartbeat(t.Context(), ready("i-1", 1)))
	awaitState(t, r, Ready)
	read <- []store.Entry{{Key: departuresPrefix + "i-1", Value: encode(Departure{Instance: "i-1", Address: homeAddress})}}
	awaitState(t, r, Draining)
}

func TestADrainIsNotAcknowledgedUnlessDurable(t *testing.T) {
	target := &faultyStore{Store: memory.New(time.Now)}
	r := startRegistrar(t, target)
	assert.NilError(t, r.Heartbeat(context.Background(), ready("i-1", 1)))
	awaitState(t, r, Ready)
	target.down.Store(true)
	err := r.Heartbeat(context.Background(), draining("i-1", 2))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, r.Target().State, Draining, "it gets no new work all the same")
	target.down.Store(false)
	assert.NilError(t, r.Heartbeat(context.Background(), draining("i-1", 3)))
}

func TestDepartureWriteWithUnknownOutcomeIsRetried(t *testing.T) {
	held := memory.New(time.Now)
	target := &faultyStore{Store: held}
	r := startRegistrar(t, target)
	target.lossy.Store(true)
	err := r.Depart(context.Background(), "i-1", 0)
	// The second try finds the key there, which is as good as an answer.
	if err != nil {
		assert.Assert(t, errors.Is(err, store.ErrUnknownOutcome))
	}
	target.lossy.Store(false)
	assert.NilError(t, r.Depart(context.Background(), "i-1", 0))
	_, err = held.Get(context.Background(), departuresPrefix+"i-1")
	assert.NilError(t, err)
}

func TestAnEarlierDeleteIsADeparture(t *testing.T) {
	r := startRegistrar(t, memory.New(time.Now))
	assert.NilError(t, r.Heartbeat(context.Background(), ready("i-1", 1)))
	awaitState(t, r, Ready)
	assert.NilError(t, r.Depart(context.Background(), "i-1", 0))
	assert.Equal(t, r.Target().State, Gone)
	assert.NilError(t, r.Heartbeat(context.Background(), draining("i-1", 2)))
	assert.Equal(t, r.Target().State, Gone, "states only move forward")
}

func TestDelayedHeartbeatOfReplacedTargetIsIgnored(t *testing.T) {
	r := startRegistrar(t, memory.New(time.Now))
	for _, beat := range []Heartbeat{ready("i-1", 5), ready("i-2", 1), ready("i-1", 6)} {
		assert.NilError(t, r.Heartbeat(context.Background(), beat))
	}
	awaitState(t, r, Ready)
	assert.Equal(t, r.Target().ID, "i-2")
}

// TestDelayedHeartbeatDoesNotDisplaceSuccessor has a heartbeat arrive that a cut held up
// since before its target crashed. A process that started meanwhile knows only the
// successor at the same address and takes the late heartbeat for a newer target's.
// What users saw was a target that was well and got no request for the rest of its
// life, as it counted as replaced for good.
func TestDelayedHeartbeatDoesNotDisplaceSuccessor(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistrar(RegistrarConfig{HomesPrefix: homesPrefix, FirstStart: true}, Stores{}, nil, func() time.Time { return now })
	r.recoverFrom(nil)
	beat := func(id string, sequence uint64) {
		t.Helper()
		assert.NilError(t, r.Heartbeat(context.Background(), ready(id, sequence)))
	}
	beat("i-2", 1)
	beat("i-1", 6)
	for sequence := uint64(2); sequence < 4; sequence++ {
		now = now.Add(1500 * time.Millisecond)
		beat("i-2", sequence)
	}
	assert.Equal(t, r.Target().ID, "i-2", "it lives")
	assert.Equal(t, r.Target().State, Ready)
	for sequence := uint64(7); sequence < 10; sequence++ {
		now = now.Add(200 * time.Millisecond)
		beat("i-1", sequence)
	}
	assert.Equal(t, r.Target().ID, "i-2", "heartbeats that come together are old ones")
	beat("i-2", 4)
	now = now.Add(returnAfter)
	beat("i-1", 10)
	assert.Equal(t, r.Target().ID, "i-2")
}

// countingStore counts calls that are not free.
type countingStore struct {
	store.Store
	grants, writes, renewals atomic.Int32
}

func (c *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	c.grants.Add(1)
	return c.Store.GrantLease(ctx, ttl)
}

func (c *countingStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	c.writes.Add(1)
	return c.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (c *countingStore) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	c.renewals.Add(1)
	return c.Store.RenewLease(ctx, lease)
}

// TestARestartWritesNothingNew has a process take over from one that was killed:
// its record lies there already, under a lease that only needs a renewal.
func TestARestartWritesNothingNew(t *testing.T) {
	target := &countingStore{Store: memory.New(time.Now)}
	first := startRegistrar(t, target)
	assert.NilError(t, first.Heartbeat(t.Context(), ready("i-1", 1)))
	awaitPublished(t, target, "i-1")
	assert.Equal(t, target.grants.Load(), int32(1))

	second := startRegistrar(t, target)
	awaitState(t, second, Ready)
	assert.NilError(t, second.Heartbeat(t.Context(), ready("i-1", 2)))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if target.renewals.Load() == 0 {
			return poll.Continue("not renewed")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, target.grants.Load(), int32(1), "the lease of the earlier process goes on")
	assert.Equal(t, target.writes.Load(), int32(1))
}

// TestRemovedRecordIsRewritten has the record go with its lease while
// the node lives, as after an outage of the store.
func TestRemovedRecordIsRewritten(t *testing.T) {
	target := memory.New(time.Now)
	r := startRegistrar(t, target)
	assert.NilError(t, r.Heartbeat(t.Context(), ready("i-1", 1)))
	awaitPublished(t, target, "i-1")
	entry, err := target.Get(t.Context(), homesPrefix+homeAddress)
	assert.NilError(t, err)
	assert.NilError(t, target.RevokeLease(t.Context(), entry.Lease))
	r.ApplyChanges([]store.Entry{{Key: entry.Key, Revision: entry.Revision + 1, Deleted: true}})
	awaitPublished(t, target, "i-1")
}
