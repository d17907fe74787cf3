package replica

import (
	"context"
	"sync"
	"time"
)

const (
	// settleTimeout bounds how long a process that started waits for the word of a peer
	// that was there before. It guards against a store that came back from a copy and holds
	// an older document than the peers; five real nodes: a node that started answered its
	// first 5 of 20 requests by the older version. A peer is found and answers within 0.1 s;
	// with 0.6 s some ten are asked where many are down.
	settleTimeout = 600 * time.Millisecond
	// settleAnswers is how many peers that started themselves make a process go on: most
	// likely all did.
	settleAnswers = 5
)

// settling is the time of a process between its start and the first word of a peer.
type settling struct {
	mutex sync.Mutex
	// unsettled are the peers that answered and were not settled either.
	unsettled map[string]bool
	done      chan struct{}
	over      bool
}

func newSettling() *settling {
	return &settling{unsettled: make(map[string]bool), done: make(chan struct{})}
}

func (s *settling) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endLocked()
}

func (s *settling) endLocked() {
	if !s.over {
		s.over = true
		close(s.done)
	}
}

// ended reports whether the process goes by what it knows.
func (s *settling) ended() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.over
}

// heard takes that a peer answered, of so many that are known.
func (s *settling) heard(peer string, settled bool, known int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !settled {
		s.unsettled[peer] = true
	}
	if settled || len(s.unsettled) >= min(settleAnswers, known) {
		s.endLocked()
	}
}

// Settled reports whether the process has heard what peers know that were there before it,
// as far as it reaches any.
func (s *AntiEntropy) Settled() bool { return s.settling.ended() }

// AwaitSynced waits until the process is settled or the context ends. Without any peer it
// is after a while.
func (s *AntiEntropy) AwaitSynced(ctx context.Context) {
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.settling.done:
	case <-timer.C:
		s.settling.end()
	}
}
