package replica

import (
	"context"
	"sync"
	"time"
)

const (
	// initialSyncTimeout bounds how long a starting process waits for the answer of a peer that
	// was up before it. The wait guards against a store that was restored from a backup and
	// holds an older document than the peers: in a test with five real nodes, a starting node
	// served its first 5 of 20 requests from the older version. A peer is found and answers
	// within 0.1 s; 0.6 s leave time for some ten queries where many peers are down.
	initialSyncTimeout = 600 * time.Millisecond
	// maxUnsyncedPeers is the number of answers from peers that are not synced themselves after
	// which the wait ends, because most likely all nodes have just started.
	maxUnsyncedPeers = 5
)

// initialSync tracks whether a starting process has received the state of a peer that was up
// before it.
type initialSync struct {
	mutex sync.Mutex
	// unsyncedPeers are the peers that answered before they were synced themselves.
	unsyncedPeers map[string]bool
	done          chan struct{}
	finished      bool
}

func newInitialSync() *initialSync {
	return &initialSync{unsyncedPeers: make(map[string]bool), done: make(chan struct{})}
}

func (s *initialSync) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finishLocked()
}

func (s *initialSync) finishLocked() {
	if !s.finished {
		s.finished = true
		close(s.done)
	}
}

// isFinished reports whether the process no longer waits for peers.
func (s *initialSync) isFinished() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.finished
}

// recordAnswer records the answer of a peer; knownPeers is the number of peers with a record.
func (s *initialSync) recordAnswer(peer string, synced bool, knownPeers int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !synced {
		s.unsyncedPeers[peer] = true
	}
	if synced || len(s.unsyncedPeers) >= min(maxUnsyncedPeers, knownPeers) {
		s.finishLocked()
	}
}

// Synced reports whether the process has received the state of a peer that was up before it, or
// has given up waiting for one.
func (a *AntiEntropy) Synced() bool { return a.initialSync.isFinished() }

// AwaitSynced waits until the initial sync has finished or the context ends. It gives up after
// initialSyncTimeout if no synced peer answers.
func (a *AntiEntropy) AwaitSynced(ctx context.Context) {
	timer := time.NewTimer(initialSyncTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.initialSync.done:
	case <-timer.C:
		a.initialSync.finish()
	}
}
