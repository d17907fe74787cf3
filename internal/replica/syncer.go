package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// MaxWatchWait is the longest time that one call of a watch may block in the store.
	MaxWatchWait = 4 * time.Second
	// confirmSlack bounds the error in the time as of which a process reports its copy to be
	// current. If the process was paused, that time may be too late, as the store may have
	// answered its watch at any time during the wait.
	confirmSlack = MaxWatchWait + 200*time.Millisecond
	// watchers is the number of nodes that watch the store. Their watches are answered at
	// different times, so that the fleet receives several answers within MaxWatchWait.
	watchers = 4
	// Nodes whose copies are stale read from the store one after the other, in the order of
	// their positions, so that the others receive the changes from the first one.
	positionDelay    = 10 * time.Millisecond
	maxPositionDelay = 800 * time.Millisecond
	delayJitter      = 50 * time.Millisecond
	// failurePause is the mean pause after a failed call.
	failurePause = 50 * time.Millisecond
	// minSleep is the minimum time between two checks of a copy's age.
	minSleep = 20 * time.Millisecond
)

// Syncer reads from the store to keep a copy current when synchronization with peers does not.
type Syncer struct {
	Copy   *Copy
	Store  store.Store
	Prefix string
	// Position returns the node's position in the order of nodes that determines who watches,
	// which is the same on all nodes with the same view of the fleet; false if it is not known.
	Position func() (int, bool)
	// BatchDelay is how long a watch pauses after events, so that several changes cost one call.
	BatchDelay time.Duration
	// InitialDelay is how long a node that is not a watcher waits for peers before its first read
	// from the store.
	InitialDelay time.Duration
	Now          func() time.Time
}

// Run keeps the copy current until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.awaitPeers(ctx)
	for ctx.Err() == nil {
		if wait := s.wait(); wait > 0 {
			pause.For(ctx, max(wait, minSleep))
			continue
		}
		if err := s.refresh(ctx); err != nil {
			pause.For(ctx, failurePause/2+rand.N(failurePause))
		}
	}
}

// awaitPeers waits until a peer has filled the copy, the node is a watcher, or InitialDelay is
// over.
func (s *Syncer) awaitPeers(ctx context.Context) {
	deadline := s.Now().Add(s.InitialDelay)
	for ctx.Err() == nil && s.Now().Before(deadline) && !s.Copy.Initialized() && !s.IsWatcher() {
		pause.For(ctx, minSleep)
	}
}

// IsWatcher reports whether the node is one of those that watch the store.
func (s *Syncer) IsWatcher() bool {
	position, known := s.Position()
	return known && position < watchers
}

// wait returns the time until the next read from the store, at most zero if it is due now.
func (s *Syncer) wait() time.Duration {
	age, known := s.Copy.Age()
	if !known || s.IsWatcher() {
		return 0
	}
	delay := rand.N(maxPositionDelay)
	if position, known := s.Position(); known {
		delay = min(time.Duration(position)*positionDelay, maxPositionDelay) + rand.N(delayJitter)
	}
	return s.Copy.staleAfter + delay - age
}

// refresh reads new changes from the store, and keeps watching if the node is a watcher.
func (s *Syncer) refresh(ctx context.Context) error {
	cursor, initialized := s.Copy.watchCursor()
	if !initialized {
		return s.list(ctx)
	}
	err := s.watch(ctx, cursor)
	if errors.Is(err, store.ErrCompacted) {
		return s.list(ctx)
	}
	return err
}

func (s *Syncer) list(ctx context.Context) error {
	sentAt := s.Now()
	snapshot, err := s.Store.List(ctx, s.Prefix)
	if err != nil {
		return err
	}
	s.Copy.applySnapshot(snapshot, sentAt)
	return nil
}

// watch returns nil once the node is no longer a watcher.
func (s *Syncer) watch(ctx context.Context, cursor store.Revision) error {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	answered := false
	err := s.Store.Watch(watchCtx, s.Prefix, cursor, func(events []store.Entry, progress store.Revision) {
		answered = true
		s.Copy.applyEvents(events, progress)
		if !s.IsWatcher() {
			stop()
			return
		}
		if len(events) > 0 {
			pause.For(watchCtx, s.BatchDelay)
		}
	})
	if answered && watchCtx.Err() != nil {
		return nil
	}
	return err
}

// watchCursor returns the revision after which a watch of the store misses no change, and
// whether the copy holds everything up to it.
func (c *Copy) watchCursor() (store.Revision, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cursor, c.initialized
}
