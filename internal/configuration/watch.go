package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// maxForwardedVersions limits how many versions of one list or pull are pushed
// to peers; peers get larger sets by pulling.
const maxForwardedVersions = 64

// errStoreBehind means that the store's revision is below the replica's floor,
// because the store was restored from an old backup.
var errStoreBehind = errors.New("store revision is behind the accepted configuration")

// superviseWatch starts the watch when the node becomes a watcher and stops it
// when the node no longer is one.
func (s *Syncer) superviseWatch(ctx context.Context) {
	started := s.options.Now()
	stop := func() {}
	watching := false
	for {
		isWatcher := s.shouldWatch(started)
		if isWatcher != watching {
			stop()
			stop = func() {}
		}
		if isWatcher && !watching {
			stop = s.startWatch(ctx)
		}
		watching = isWatcher
		interval := s.options.WatcherCheckInterval/2 + jitter(s.options.WatcherCheckInterval/2)
		if !pause.For(ctx, interval) {
			stop()
			return
		}
	}
}

// shouldWatch reports whether the node is to watch the store now. A node that
// has no configuration yet tries its peers first, if it has any, so that a mesh
// whose nodes all start at once does not overload the store.
func (s *Syncer) shouldWatch(started time.Time) bool {
	members := s.options.Membership.Members()
	if !IsWatcher(s.options.Self, members, s.options.WatchersPerZone) {
		return false
	}
	noPeers := len(s.options.Seeds) == 0 && len(livePeers(s.options.Self.Name, members)) == 0
	return noPeers || s.replica.Ready() || s.options.Now().Sub(started) >= s.options.StartupGrace
}

// startWatch starts the watch. The returned function stops it and waits for its
// end.
func (s *Syncer) startWatch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.watchLoop(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (s *Syncer) watchLoop(ctx context.Context) {
	s.setWatching(true)
	defer s.setWatching(false)
	retry := newBackoff(s.options.MinBackoff, s.options.MaxBackoff)
	list := !s.replica.Ready()
	for ctx.Err() == nil {
		started := time.Now()
		err := s.watchOnce(ctx, list)
		if ctx.Err() != nil {
			return
		}
		s.recordStoreError(err)
		list = !s.replica.Ready() || errors.Is(err, store.ErrCompacted) || errors.Is(err, errRelist)
		if time.Since(started) > s.options.MaxBackoff || errors.Is(err, errRelist) {
			retry.reset()
		}
		if retry.wait(ctx) != nil {
			return
		}
	}
}

// errRelist ends a watch that has missed changes.
var errRelist = errors.New("watch lags behind the store")

// watchOnce lists the store if requested and then watches it until an error
// occurs. The watch starts at the floor, up to which the replica is complete.
func (s *Syncer) watchOnce(ctx context.Context, list bool) error {
	if list {
		if err := s.list(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopRelist := s.cancelOnRelist(ctx, cancel)
	defer stopRelist()
	s.counters.storeWatches.Add(1)
	err := s.options.Store.Watch(ctx, resource.KeyPrefix, s.replica.Floor(), s.handleBatch)
	if cause := context.Cause(ctx); errors.Is(cause, errRelist) {
		return cause
	}
	return s.storeError("watch", err)
}

// cancelOnRelist cancels the watch with errRelist when a relist is requested. The
// returned function cancels the watch and waits for the goroutine to end.
func (s *Syncer) cancelOnRelist(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-ctx.Done():
		case <-s.relistSignal:
			cancel(errRelist)
		}
	}()
	return func() {
		cancel(nil)
		<-done
	}
}

func (s *Syncer) handleBatch(batch []store.Entry, progress store.Revision) {
	for _, stored := range batch {
		s.handleEntry(stored)
	}
	if progress != 0 {
		s.replica.SetFloor(progress)
	}
	s.recordStoreContact()
}

func (s *Syncer) handleEntry(stored store.Entry) {
	if stored.Deleted {
		s.handleRemoval(stored)
		return
	}
	version, err := decodeStoreEntry(stored)
	if err != nil {
		s.skipInvalid(err)
		return
	}
	s.Announce(s.replica.Apply(version)...)
}

// handleRemoval handles a key that was deleted by another program: a Writer
// stores tombstones instead.
func (s *Syncer) handleRemoval(stored store.Entry) {
	id, err := resource.ParseKey(stored.Key)
	if err != nil {
		s.skipInvalid(err)
		return
	}
	s.Announce(s.replica.Remove(id, stored.Revision)...)
}

func (s *Syncer) skipInvalid(err error) {
	s.counters.invalidObjects.Add(1)
	s.options.Log.WithError(err).Error("the store holds an invalid object; skipping it")
}

// list reads all objects from the store.
func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.StoreTimeout)
	defer cancel()
	s.counters.storeLists.Add(1)
	floor := s.replica.Floor()
	snapshot, err := s.options.Store.List(ctx, resource.KeyPrefix)
	if err != nil {
		return s.storeError("list", err)
	}
	if snapshot.Revision < floor {
		return s.storeError("list", errStoreBehind)
	}
	s.applyList(snapshot)
	s.recordStoreContact()
	return nil
}

func (s *Syncer) applyList(snapshot store.Snapshot) {
	versions := make([]resource.Versioned, 0, len(snapshot.Entries))
	for _, stored := range snapshot.Entries {
		version, err := decodeStoreEntry(stored)
		if err != nil {
			s.skipInvalid(err)
			continue
		}
		versions = append(versions, version)
	}
	initial := !s.replica.Ready()
	changed := s.replica.ApplyComplete(versions, snapshot.Revision)
	if initial {
		s.replica.RaiseCollected(snapshot.Revision)
	}
	if !initial && len(changed) <= maxForwardedVersions {
		s.Announce(changed...)
	}
}

func (s *Syncer) storeError(step string, err error) error {
	return oops.In("configuration").With("step", step).With("peer", "store").Wrap(err)
}
