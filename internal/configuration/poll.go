package configuration

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// pollPrefix holds no keys: listing it tells the store's revision and no more.
const pollPrefix = resource.KeyPrefix + "revision-probe/"

// maxPollStretch bounds how far polls that found nothing are spaced out.
const maxPollStretch = 16

// pollLoop compares the store's revision with the floor now and then. It finds
// watches that hang and watchers that cannot reach the store.
func (s *Syncer) pollLoop(ctx context.Context) {
	stretch := 1
	for pause.For(ctx, s.pollPause(stretch)) {
		if !s.replica.Ready() {
			continue
		}
		missed, listed := s.pollOnce(ctx)
		switch {
		case missed:
			stretch = 1
		case listed:
			stretch = min(2*stretch, maxPollStretch)
		}
	}
}

// pollPause is random around the interval that gives this node its share of
// all nodes' polls.
func (s *Syncer) pollPause(stretch int) time.Duration {
	members := len(livePeers(s.options.Self.Name, s.options.Membership.Members())) + 1
	interval := max(s.options.PollInterval, time.Duration(members)*s.options.PollShare)
	interval *= time.Duration(stretch)
	return interval/2 + jitter(interval)
}

// pollOnce reports whether the floor lagged behind so that the node listed the
// store, and whether the list held anything new.
func (s *Syncer) pollOnce(ctx context.Context) (missed, listed bool) {
	revision, err := s.storeRevision(ctx)
	if err != nil {
		s.noteStoreError(err)
		return false, false
	}
	if s.caughtUp(ctx, revision) {
		return false, false
	}
	before := s.replica.Digest()
	if err := s.list(ctx); err != nil {
		s.noteStoreError(err)
		return false, false
	}
	missed = !before.sameObjects(s.replica.Digest())
	if missed {
		s.signalRelist()
	}
	return missed, true
}

func (s *Syncer) storeRevision(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.StoreTimeout)
	defer cancel()
	s.counters.polls.Add(1)
	known := s.replica.Floor()
	snapshot, err := s.options.Store.List(ctx, pollPrefix)
	if err != nil {
		return 0, s.storeError("poll", err)
	}
	if snapshot.Revision < known {
		return 0, s.storeError("poll", errStoreBehind)
	}
	s.noteStoreContact()
	return snapshot.Revision, nil
}

// caughtUp waits for the floor to reach the revision by the usual ways.
func (s *Syncer) caughtUp(ctx context.Context, revision store.Revision) bool {
	const steps = 10
	for range steps {
		if s.replica.Floor() >= revision {
			return true
		}
		if !pause.For(ctx, s.options.PollGrace/steps) {
			return true
		}
	}
	return s.replica.Floor() >= revision
}

// signalRelist makes the watch of this node, if it has one, start anew.
func (s *Syncer) signalRelist() {
	select {
	case s.relist <- struct{}{}:
	default:
	}
}
