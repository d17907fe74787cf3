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

// faultyStore can be made to refuse calls or lose responses.
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

// listRecords returns all entries of the store once it responds.
func listRecords(kv store.Store) func(context.Context) ([]store.Entry, error) {
	return func(ctx context.Context) ([]store.Entry, error) {
		for ctx.Err() == nil {
			if snapshot, err := kv.List(ctx, ""); err == nil {
				return snapshot.Entries, nil
			}
			time.Sleep(5 * time.Millisecond)
		}
		return nil, ctx.Err()
	}
}

func startRegistrar(t *testing.T, kv store.Store) *Registrar {
	t.Helper()
	config := RegistrarConfig{Zone: "z", Address: homeAddress, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix, Records: listRecords(kv)}
	r := NewRegistrar(config, Stores{Record: kv, Departure: kv}, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	return r
}

func awaitState(t *testing.T, r *Registrar, state State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := r.Target().State; got != state {
			return poll.Continue("state is %s, expected %s", got, state)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

func readyHeartbeat(id string, sequence uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "s", Slots: 10, Sequence: sequence}
}

func drainingHeartbeat(id string, sequence uint64) Heartbeat {
	heartbeat := readyHeartbeat(id, sequence)
	heartbeat.Draining = true
	return heartbeat
}

func TestAcknowledgedDrainSurvivesNodeRestart(t *testing.T) {
	ctx := context.Background()
	kv := memory.New(time.Now)
	first := startRegistrar(t, kv)
	assert.NilError(t, first.Heartbeat(ctx, readyHeartbeat("i-1", 1)))
	awaitState(t, first, Ready)
	assert.NilError(t, first.Heartbeat(ctx, drainingHeartbeat("i-1", 2)))

	second := startRegistrar(t, kv)
	assert.NilError(t, second.Heartbeat(ctx, readyHeartbeat("i-1", 1)), "delayed heartbeat")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		second.mutex.Lock()
		defer second.mutex.Unlock()
		if !second.recovered {
			return poll.Continue("recovery is not complete")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, second.Target().State != Ready, "state %s", second.Target().State)
	assert.NilError(t, second.Heartbeat(ctx, readyHeartbeat("i-1", 9)))
	assert.Assert(t, second.Target().State != Ready, "a departed target must not become ready again")
	assert.NilError(t, second.Heartbeat(ctx, readyHeartbeat("i-2", 1)))
	awaitState(t, second, Ready)
}

// awaitPublished waits until the node's record names the instance.
func awaitPublished(t *testing.T, kv store.Store, instance string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry, err := kv.Get(t.Context(), homesPrefix+homeAddress)
		if err != nil {
			return poll.Continue("no record is published: %v", err)
		}
		record, err := decodeRecord(entry, homesPrefix)
		if err != nil || record.Instance != instance {
			return poll.Continue("the record names %s (%v)", record.Instance, err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// TestRestartedNodeAdoptsTarget replaces a killed node process: the new one must adopt the
// target, which is still running, before its next heartbeat.
func TestRestartedNodeAdoptsTarget(t *testing.T) {
	ctx := context.Background()
	kv := memory.New(time.Now)
	first := startRegistrar(t, kv)
	assert.NilError(t, first.Heartbeat(ctx, readyHeartbeat("i-1", 5)))
	awaitPublished(t, kv, "i-1")

	second := startRegistrar(t, kv)
	awaitState(t, second, Ready)
	assert.Equal(t, second.Target().ID, "i-1")
	assert.Equal(t, second.Target().Slots, 10)
	assert.NilError(t, second.Heartbeat(ctx, readyHeartbeat("i-1", 6)))
	assert.Equal(t, second.Target().Sequence, uint64(6))
	// Another target replaces it.
	assert.NilError(t, second.Heartbeat(ctx, readyHeartbeat("i-2", 1)))
	assert.Equal(t, second.Target().ID, "i-2")

	awaitPublished(t, kv, "i-2")

	// A target that has left since is not adopted.
	assert.NilError(t, second.Depart(ctx, "i-2", 0))
	third := startRegistrar(t, kv)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		third.mutex.Lock()
		defer third.mutex.Unlock()
		if !third.recovered {
			return poll.Continue("recovery is not complete")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, third.Target().State != Ready)
}

func TestTargetIsAbsentUntilDeparturesAreRead(t *testing.T) {
	kv := &faultyStore{Store: memory.New(time.Now)}
	kv.down.Store(true)
	r := startRegistrar(t, kv)
	assert.NilError(t, r.Heartbeat(context.Background(), readyHeartbeat("i-1", 1)))
	assert.Equal(t, r.Target().State, Absent)
	kv.down.Store(false)
	awaitState(t, r, Ready)
}

// TestFirstStartIsReadyBeforeRecovery starts the first process of a cluster, whose target is
// ready before any records are read. A departure that is read later still applies.
func TestFirstStartIsReadyBeforeRecovery(t *testing.T) {
	read := make(chan []store.Entry)
	config := RegistrarConfig{Zone: "z", Address: homeAddress, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix, FirstStart: true,
		Records: func(context.Context) ([]store.Entry, error) { return <-read, nil }}
	kv := memory.New(time.Now)
	r := NewRegistrar(config, Stores{Record: kv, Departure: kv}, nil, time.Now)
	go r.Run(t.Context())
	assert.NilError(t, r.Heartbeat(t.Context(), readyHeartbeat("i-1", 1)))
	awaitState(t, r, Ready)
	read <- []store.Entry{{Key: departuresPrefix + "i-1", Value: encode(Departure{Instance: "i-1", Address: homeAddress})}}
	awaitState(t, r, Draining)
}

func TestDrainIsAcknowledgedOnlyWhenDurable(t *testing.T) {
	kv := &faultyStore{Store: memory.New(time.Now)}
	r := startRegistrar(t, kv)
	assert.NilError(t, r.Heartbeat(context.Background(), readyHeartbeat("i-1", 1)))
	awaitState(t, r, Ready)
	kv.down.Store(true)
	err := r.Heartbeat(context.Background(), drainingHeartbeat("i-1", 2))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, r.Target().State, Draining, "an unacknowledged drain must stop new work")
	kv.down.Store(false)
	assert.NilError(t, r.Heartbeat(context.Background(), drainingHeartbeat("i-1", 3)))
}

func TestDepartureWriteWithUnknownOutcomeIsRetried(t *testing.T) {
	memoryStore := memory.New(time.Now)
	kv := &faultyStore{Store: memoryStore}
	r := startRegistrar(t, kv)
	kv.lossy.Store(true)
	err := r.Depart(context.Background(), "i-1", 0)
	// The retry finds the key, which confirms the write.
	if err != nil {
		assert.Assert(t, errors.Is(err, store.ErrUnknownOutcome))
	}
	kv.lossy.Store(false)
	assert.NilError(t, r.Depart(context.Background(), "i-1", 0))
	_, err = memoryStore.Get(context.Background(), departuresPrefix+"i-1")
	assert.NilError(t, err)
}

func TestDepartBeforeDrainingHeartbeat(t *testing.T) {
	r := startRegistrar(t, memory.New(time.Now))
	assert.NilError(t, r.Heartbeat(context.Background(), readyHeartbeat("i-1", 1)))
	awaitState(t, r, Ready)
	assert.NilError(t, r.Depart(context.Background(), "i-1", 0))
	assert.Equal(t, r.Target().State, Gone)
	assert.NilError(t, r.Heartbeat(context.Background(), drainingHeartbeat("i-1", 2)))
	assert.Equal(t, r.Target().State, Gone, "a state must not move backwards")
}

func TestDelayedHeartbeatOfReplacedTargetIsIgnored(t *testing.T) {
	r := startRegistrar(t, memory.New(time.Now))
	for _, heartbeat := range []Heartbeat{readyHeartbeat("i-1", 5), readyHeartbeat("i-2", 1), readyHeartbeat("i-1", 6)} {
		assert.NilError(t, r.Heartbeat(context.Background(), heartbeat))
	}
	awaitState(t, r, Ready)
	assert.Equal(t, r.Target().ID, "i-2")
}

// TestDelayedHeartbeatDoesNotDisplaceSuccessor delivers a heartbeat of a crashed target that was
// delayed by a network partition. A node process that started meanwhile knows only the successor
// at the same address and takes the delayed heartbeat for that of a newer target. The healthy
// successor was then treated as replaced permanently and received no more requests.
func TestDelayedHeartbeatDoesNotDisplaceSuccessor(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistrar(RegistrarConfig{HomesPrefix: homesPrefix, FirstStart: true}, Stores{}, nil, func() time.Time { return now })
	r.recoverFrom(nil)
	send := func(id string, sequence uint64) {
		t.Helper()
		assert.NilError(t, r.Heartbeat(context.Background(), readyHeartbeat(id, sequence)))
	}
	send("i-2", 1)
	send("i-1", 6)
	for sequence := uint64(2); sequence < 4; sequence++ {
		now = now.Add(1500 * time.Millisecond)
		send("i-2", sequence)
	}
	assert.Equal(t, r.Target().ID, "i-2", "the successor is still running")
	assert.Equal(t, r.Target().State, Ready)
	for sequence := uint64(7); sequence < 10; sequence++ {
		now = now.Add(200 * time.Millisecond)
		send("i-1", sequence)
	}
	assert.Equal(t, r.Target().ID, "i-2", "a burst of heartbeats must not reinstate the earlier target")
	send("i-2", 4)
	now = now.Add(reinstateAfter)
	send("i-1", 10)
	assert.Equal(t, r.Target().ID, "i-2")
}

// countingStore counts the calls that write to the store.
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

// TestRestartReusesRecordAndLease replaces a killed node process: its record is still stored,
// and the lease only needs to be renewed.
func TestRestartReusesRecordAndLease(t *testing.T) {
	kv := &countingStore{Store: memory.New(time.Now)}
	first := startRegistrar(t, kv)
	assert.NilError(t, first.Heartbeat(t.Context(), readyHeartbeat("i-1", 1)))
	awaitPublished(t, kv, "i-1")
	assert.Equal(t, kv.grants.Load(), int32(1))

	second := startRegistrar(t, kv)
	awaitState(t, second, Ready)
	assert.NilError(t, second.Heartbeat(t.Context(), readyHeartbeat("i-1", 2)))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if kv.renewals.Load() == 0 {
			return poll.Continue("the lease is not renewed")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, kv.grants.Load(), int32(1), "the lease of the earlier process is kept")
	assert.Equal(t, kv.writes.Load(), int32(1))
}

// TestRemovedRecordIsRewritten removes the record with its lease while the node is
// alive, as an outage of the store does.
func TestRemovedRecordIsRewritten(t *testing.T) {
	kv := memory.New(time.Now)
	r := startRegistrar(t, kv)
	assert.NilError(t, r.Heartbeat(t.Context(), readyHeartbeat("i-1", 1)))
	awaitPublished(t, kv, "i-1")
	entry, err := kv.Get(t.Context(), homesPrefix+homeAddress)
	assert.NilError(t, err)
	assert.NilError(t, kv.RevokeLease(t.Context(), entry.Lease))
	r.ApplyChanges([]store.Entry{{Key: entry.Key, Revision: entry.Revision + 1, Deleted: true}})
	awaitPublished(t, kv, "i-1")
}
