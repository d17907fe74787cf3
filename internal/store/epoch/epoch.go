// Package epoch tracks the epoch of the store, which rises when the store is restored from a
// backup. Every answer of the store carries the epoch, and so do the digests of peers.
package epoch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Change is a change of epoch: the store was restored from a backup.
type Change struct {
	From, To store.Epoch
	// Source is the store or the peer that reported the epoch.
	Source string
}

// Tracker holds the newest known epoch. It is safe for concurrent use.
type Tracker struct {
	current atomic.Uint32
	changes atomic.Int64

	mutex     sync.Mutex
	known     bool
	listeners []func(Change)
}

func NewTracker() *Tracker { return &Tracker{} }

// OnChange adds a function that is called with each change, in order. Functions must be added
// before the first epoch is observed, must not block, and must not call Observe.
func (t *Tracker) OnChange(listener func(Change)) { t.listeners = append(t.listeners, listener) }

// Current returns the newest epoch, zero if none is known.
func (t *Tracker) Current() store.Epoch { return store.Epoch(t.current.Load()) }

// Changes returns the number of changes since the process started.
func (t *Tracker) Changes() int { return int(t.changes.Load()) }

// Observe records an epoch that a source reported and returns the newest known one. The first
// epoch that a process observes is not a change.
func (t *Tracker) Observe(observed store.Epoch, source string) store.Epoch {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.Current()
	if t.known && observed <= current {
		return current
	}
	first := !t.known
	t.current.Store(uint32(observed))
	t.known = true
	if !first {
		t.changes.Add(1)
		change := Change{From: current, To: observed, Source: source}
		for _, listener := range t.listeners {
			listener(change)
		}
	}
	return observed
}

const (
	// rewriteGrace is how long the writer of an entry has to write it again after the store
	// lost it in a restore. Other nodes see the rewritten entry after up to 0.8 s, for which
	// watches batch changes, and the latency between nodes.
	rewriteGrace = 1200 * time.Millisecond
	// takeOverSpacing is by how much later each node takes over than the one before it in the
	// order of nodes, so that one tries at a time.
	takeOverSpacing = 150 * time.Millisecond
)

// TakeOverDelay returns how long the node at a position in the order of nodes waits before it
// rewrites an entry of another node that the store lost.
func TakeOverDelay(position int) time.Duration {
	return rewriteGrace + time.Duration(position)*takeOverSpacing
}
