// Package epoch holds which epoch of the store a process knows of. Every answer of the
// store names its epoch, and peers tell theirs with how far their copies reach.
package epoch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Change is that the store came back from a copy.
type Change struct {
	From, To store.Epoch
	// Source is who told, the store or a peer.
	Source string
}

// Tracker holds the newest epoch that was heard of. It is safe for concurrent use.
type Tracker struct {
	current atomic.Uint32
	changes atomic.Int64

	mutex     sync.Mutex
	known     bool
	listeners []func(Change)
}

// NewTracker returns a tracker that knows no epoch.
func NewTracker() *Tracker { return &Tracker{} }

// OnChange has a function be told of each change, in order. Functions are added before
// the first epoch is observed, must not block, and must not observe epochs.
func (t *Tracker) OnChange(listener func(Change)) { t.listeners = append(t.listeners, listener) }

// Current returns the newest epoch, zero if none is known.
func (t *Tracker) Current() store.Epoch { return store.Epoch(t.current.Load()) }

// Changes returns how often the epoch changed since the process started.
func (t *Tracker) Changes() int { return int(t.changes.Load()) }

// Observe takes an epoch that a source named and returns the newest that is known. The
// first one that a process hears of is no change.
func (t *Tracker) Observe(heard store.Epoch, source string) store.Epoch {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.Current()
	if t.known && heard <= current {
		return current
	}
	first := !t.known
	t.current.Store(uint32(heard))
	t.known = true
	if !first {
		t.changes.Add(1)
		change := Change{From: current, To: heard, Source: source}
		for _, tell := range t.listeners {
			tell(change)
		}
	}
	return heard
}

const (
	// rewriteTime is how long whoever wrote an entry is given to write it again after a store
	// that came back from a copy had lost it. Others hear of that after up to 0.8 s, for which
	// changes are gathered, and the way between nodes.
	rewriteTime = 1200 * time.Millisecond
	// takeOverSpacing is by how much later each node than the one before it in the order of
	// nodes takes over, so that one at a time tries.
	takeOverSpacing = 150 * time.Millisecond
)

// TakeOverDelay returns how long the node at a place in the order of nodes waits before it
// writes an entry again that the store lost and that another node had written.
func TakeOverDelay(place int) time.Duration {
	return rewriteTime + time.Duration(place)*takeOverSpacing
}
