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
	// MaxWatchWait is the longest time that one call of a watch may wait in the
	// store.
	MaxWatchWait = 4 * time.Second
	// confirmSlack is by how much a process that was paused may have told too late
	// a moment at which its copy was current: its watch was answered at some time
	// while it waited.
	confirmSlack = MaxWatchWait + 200*time.Millisecond
	// watchers is the number of nodes that watch the store. The answers to their
	// watches come at different times, so that the fleet hears from the store
	// several times in a longest wait.
	watchers = 4
	// Nodes that find their copies stale ask the store one after the other: the
	// first to ask tells the others.
	placeDelay    = 10 * time.Millisecond
	maxPlaceDelay = 800 * time.Millisecond
	delaySpread   = 50 * time.Millisecond
	// failurePause is the pause after a call that failed.
	failurePause = 50 * time.Millisecond
	// minSleep bounds how often the age of a copy is looked at.
	minSleep = 20 * time.Millisecond
)

// Syncer keeps a copy current from the store as far as peers don't.
type Syncer struct {
	Copy   *Copy
	Store  store.Store
	Prefix string
	// Position returns the node's place in the order in which nodes watch, the same
	// on all nodes that know the same; false if it is not known.
	Position func() (int, bool)
	// BatchDelay is how long changes are gathered, so that those that come together
	// cost one call.
	BatchDelay time.Duration
	// InitialDelay is how long a node that does not watch waits for peers before it
	// asks the store for the first time.
	InitialDelay time.Duration
	Now          func() time.Time
}

// Run keeps the copy until the context ends.
func (k *Syncer) Run(ctx context.Context) {
	k.awaitPeers(ctx)
	for ctx.Err() == nil {
		if wait := k.wait(); wait > 0 {
			pause.For(ctx, max(wait, minSleep))
			continue
		}
		if err := k.ask(ctx); err != nil {
			pause.For(ctx, failurePause/2+rand.N(failurePause))
		}
	}
}

// awaitPeers waits until a peer told the copy, the node finds that it is to watch,
// or the first delay is over.
func (k *Syncer) awaitPeers(ctx context.Context) {
	deadline := k.Now().Add(k.InitialDelay)
	for ctx.Err() == nil && k.Now().Before(deadline) && !k.Copy.Initialized() && !k.IsWatcher() {
		pause.For(ctx, minSleep)
	}
}

// IsWatcher reports whether the node is one of those that watch the store.
func (k *Syncer) IsWatcher() bool {
	place, known := k.Position()
	return known && place < watchers
}

// wait returns how long the store needs not be asked, zero if it is to be asked
// now.
func (k *Syncer) wait() time.Duration {
	age, known := k.Copy.Age()
	if !known || k.IsWatcher() {
		return 0
	}
	delay := rand.N(maxPlaceDelay)
	if place, known := k.Position(); known {
		delay = min(time.Duration(place)*placeDelay, maxPlaceDelay) + rand.N(delaySpread)
	}
	return k.Copy.staleAfter + delay - age
}

// ask reads what is new from the store, and goes on watching if the node is one
// of those that do.
func (k *Syncer) ask(ctx context.Context) error {
	cursor, filled := k.Copy.position()
	if !filled {
		return k.list(ctx)
	}
	err := k.watch(ctx, cursor)
	if errors.Is(err, store.ErrCompacted) {
		return k.list(ctx)
	}
	return err
}

func (k *Syncer) list(ctx context.Context) error {
	asked := k.Now()
	snapshot, err := k.Store.List(ctx, k.Prefix)
	if err != nil {
		return err
	}
	k.Copy.takeSnapshot(snapshot, asked)
	return nil
}

// watch ends without an error once the node is not to watch any longer.
func (k *Syncer) watch(ctx context.Context, cursor store.Revision) error {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	answered := false
	err := k.Store.Watch(watchCtx, k.Prefix, cursor, func(events []store.Entry, progress store.Revision) {
		answered = true
		k.Copy.takeEvents(events, progress)
		if !k.IsWatcher() {
			stop()
			return
		}
		if len(events) > 0 {
			pause.For(watchCtx, k.BatchDelay)
		}
	})
	if answered && watchCtx.Err() != nil {
		return nil
	}
	return err
}

// position returns the revision from which on the store is to be watched, and
// whether the copy holds everything up to it.
func (c *Copy) position() (store.Revision, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cursor, c.filled
}
