package configuration

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// pollPrefix contains no keys: listing it returns only the store's revision.
const pollPrefix = resource.KeyPrefix + "revision-probe/"

// maxPollIntervalFactor limits the factor by which the poll interval is
// multiplied. The factor doubles each time the floor lags behind but a list of
// the store finds no missed changes.
const maxPollIntervalFactor = 16

// pollLoop periodically compares the store's revision with the floor. It
// detects watches that hang and watchers that cannot reach the store.
func (s *Syncer) pollLoop(ctx context.Context) {
	factor := 1
	for pause.For(ctx, s.pollPause(factor)) {
		if !s.replica.Ready() {
			continue
		}
		missed, listed := s.pollOnce(ctx)
		switch {
		case missed:
			factor = 1
		case listed:
			factor = min(2*factor, maxPollIntervalFactor)
		}
	}
}

// pollPause returns a random pause around the interval that gives this node its
// share of the polls of all nodes.
func (s *Syncer) pollPause(factor int) time.Duration {
	members := len(livePeers(s.options.Self.Name, s.options.Membership.Members())) + 1
	interval := max(s.options.PollInterval, time.Duration(members)*s.options.MeshPollInterval)
	interval *= time.Duration(factor)
	return interval/2 + jitter(interval)
}

// pollOnce lists the store if the floor lags behind the store's revision. It
// reports whether the list contained changes that the replica had missed, and
// whether the store was listed.
func (s *Syncer) pollOnce(ctx context.Context) (missed, listed bool) {
	revision, err := s.storeRevision(ctx)
	if err != nil {
		s.recordStoreError(err)
		return false, false
	}
	if s.awaitFloor(ctx, revision) {
		return false, false
	}
	before := s.replica.Digest()
	if err := s.list(ctx); err != nil {
		s.recordStoreError(err)
		return false, false
	}
	missed = !before.sameObjects(s.replica.Digest())
	if missed {
		s.requestRelist()
	}
	return missed, true
}

func (s *Syncer) storeRevision(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.StoreTimeout)
	defer cancel()
	s.counters.storePolls.Add(1)
	floor := s.replica.Floor()
	snapshot, err := s.options.Store.List(ctx, pollPrefix)
	if err != nil {
		return 0, s.storeError("poll", err)
	}
	if snapshot.Revision < floor {
		return 0, s.storeError("poll", errStoreBehind)
	}
	s.recordStoreContact()
	return snapshot.Revision, nil
}

// awaitFloor waits up to PollGrace for watches and pulls to raise the floor to
// the revision. It also returns true if the context ends.
func (s *Syncer) awaitFloor(ctx context.Context, revision store.Revision) bool {
	const checks = 10
	for range checks {
		if s.replica.Floor() >= revision {
			return true
		}
		if !pause.For(ctx, s.options.PollGrace/checks) {
			return true
		}
	}
	return s.replica.Floor() >= revision
}

// requestRelist restarts the watch of this node, if it has one, with a list.
func (s *Syncer) requestRelist() {
	select {
	case s.relistSignal <- struct{}{}:
	default:
	}
}
