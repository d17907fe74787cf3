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

// maxAnnouncedList bounds how many versions out of one list are passed on; a
// longer list is left to pulls.
const maxAnnouncedList = 64

// errStoreBehind means that the store's revision is below what the node
// already knows to be in force: it was restored from an old copy.
var errStoreBehind = errors.New("store revision is behind the accepted configuration")

// superviseWatch starts and stops the watch as the node's duty changes.
func (s *Syncer) superviseWatch(ctx context.Context) {
	started := s.options.Now()
	stop := func() {}
	watching := false
	for {
		onDuty := s.onDuty(started)
		if onDuty != watching {
			stop()
			stop = func() {}
		}
		if onDuty && !watching {
			stop = s.startWatch(ctx)
		}
		watching = onDuty
		interval := s.options.DutyInterval/2 + jitter(s.options.DutyInterval/2)
		if !pause.For(ctx, interval) {
			stop()
			return
		}
	}
}

// onDuty reports whether the node must watch the store now. A node that has no
// configuration yet and knows peers tries them first, so that a mesh that
// starts as a whole does not fall upon the store.
func (s *Syncer) onDuty(started time.Time) bool {
	members := s.options.Membership.Members()
	if !OnDuty(s.options.Self, members, s.options.WatchersPerZone) {
		return false
	}
	alone := len(s.options.Seeds) == 0 && len(livePeers(s.options.Self.Name, members)) == 0
	return alone || s.replica.Ready() || s.options.Now().Sub(started) >= s.options.StartupGrace
}

// startWatch runs the watch until the returned function is called, which
// waits for its end.
func (s *Syncer) startWatch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.watchLoop(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (s *Syncer) watchLoop(ctx context.Context) {
	s.setWatching(true)
	defer s.setWatching(false)
	pause := newBackoff(s.options.MinBackoff, s.options.MaxBackoff)
	list := !s.replica.Ready()
	for ctx.Err() == nil {
		started := time.Now()
		err := s.watchOnce(ctx, list)
		if ctx.Err() != nil {
			return
		}
		s.noteStoreError(err)
		list = !s.replica.Ready() || errors.Is(err, store.ErrCompacted) || errors.Is(err, errRelist)
		if time.Since(started) > s.options.MaxBackoff || errors.Is(err, errRelist) {
			pause.reset()
		}
		if pause.wait(ctx) != nil {
			return
		}
	}
}

// errRelist ends a watch that has missed something.
var errRelist = errors.New("watch lags behind the store")

// watchOnce lists if asked to and then watches until an error. A ready replica
// watches from its floor: it is complete up to there.
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
	s.counters.watches.Add(1)
	err := s.options.Store.Watch(ctx, resource.KeyPrefix, s.replica.Floor(), s.handleBatch)
	if cause := context.Cause(ctx); errors.Is(cause, errRelist) {
		return cause
	}
	return s.storeError("watch", err)
}

// cancelOnRelist ends the watch when the safety poll found it lagging.
func (s *Syncer) cancelOnRelist(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-ctx.Done():
		case <-s.relist:
			cancel(errRelist)
		}
	}()
	return func() {
		cancel(nil)
		<-ended
	}
}

func (s *Syncer) handleBatch(batch []store.Entry, progress store.Revision) {
	for _, stored := range batch {
		s.handleStored(stored)
	}
	if progress != 0 {
		s.replica.SetFloor(progress)
	}
	s.noteStoreContact()
}

func (s *Syncer) handleStored(stored store.Entry) {
	if stored.Deleted {
		s.handleRemoved(stored)
		return
	}
	version, err := decodeEntry(stored)
	if err != nil {
		s.rejectStored(err)
		return
	}
	s.Announce(s.replica.Apply(version)...)
}

// handleRemoved deals with a key that was removed from outside: the writer
// itself leaves tombstones.
func (s *Syncer) handleRemoved(stored store.Entry) {
	id, err := resource.ParseKey(stored.Key)
	if err != nil {
		s.rejectStored(err)
		return
	}
	s.Announce(s.replica.Remove(id, stored.Revision)...)
}

func (s *Syncer) rejectStored(err error) {
	s.counters.invalid.Add(1)
	s.options.Log.WithError(err).Error("the store holds an invalid object; it is passed over")
}

// list reads all objects from the store.
func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.StoreTimeout)
	defer cancel()
	s.counters.lists.Add(1)
	known := s.replica.Floor()
	snapshot, err := s.options.Store.List(ctx, resource.KeyPrefix)
	if err != nil {
		return s.storeError("list", err)
	}
	if snapshot.Revision < known {
		return s.storeError("list", errStoreBehind)
	}
	s.applyList(snapshot)
	s.noteStoreContact()
	return nil
}

func (s *Syncer) applyList(snapshot store.Snapshot) {
	versions := make([]resource.Versioned, 0, len(snapshot.Entries))
	for _, stored := range snapshot.Entries {
		version, err := decodeEntry(stored)
		if err != nil {
			s.rejectStored(err)
			continue
		}
		versions = append(versions, version)
	}
	first := !s.replica.Ready()
	changed := s.replica.ApplyComplete(versions, snapshot.Revision)
	if first {
		s.replica.ForgetTombstonesBelow(snapshot.Revision)
	}
	if !first && len(changed) <= maxAnnouncedList {
		s.Announce(changed...)
	}
}

func (s *Syncer) storeError(step string, err error) error {
	return oops.In("configuration").With("step", step).With("peer", "store").Wrap(err)
}
