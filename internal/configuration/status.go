package configuration

import (
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// counters count the spreader's work since its start.
type counters struct {
	lists, watches, polls    atomic.Int64
	pulls, fullPulls, served atomic.Int64
	pushes, dropped, invalid atomic.Int64
	sentBytes, receivedBytes atomic.Int64
}

// watchStatus is what the node knows of the store.
type watchStatus struct {
	watching bool
	lastErr  string
	contact  time.Time
}

// Status is the state of a node's configuration, for operators.
type Status struct {
	// Ready says that the node has had a complete view.
	Ready bool `json:"ready"`
	// Floor is the revision up to which the replica is complete.
	Floor store.Revision `json:"floor"`
	// Newest is the highest revision held.
	Newest store.Revision `json:"newest"`
	// Objects counts the objects in force.
	Objects int `json:"objects"`
	// Watching says that this node is one of its zone's watchers of the store.
	Watching bool `json:"watching"`
	// StoreContact is when this node last heard from the store; zero if never.
	StoreContact time.Time `json:"store_contact"`
	// StoreError is the last error since then; empty if none.
	StoreError string `json:"store_error,omitempty"`
	// EmergencyDrains are the names marked without the store, with expiries.
	EmergencyDrains map[string]time.Time `json:"emergency_drains,omitempty"`
	// Traffic counts the work since the node's start.
	Traffic Traffic `json:"traffic"`
}

// Traffic counts a spreader's requests and bytes since its start.
type Traffic struct {
	StoreLists    int64 `json:"store_lists"`
	StoreWatches  int64 `json:"store_watches"`
	StorePolls    int64 `json:"store_polls"`
	Pulls         int64 `json:"pulls"`
	FullPulls     int64 `json:"full_pulls"`
	PullsServed   int64 `json:"pulls_served"`
	Pushes        int64 `json:"pushes"`
	PushesDropped int64 `json:"pushes_dropped"`
	Invalid       int64 `json:"invalid_objects"`
	// SentBytes and ReceivedBytes count the bodies of messages between nodes.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Status returns the node's state.
func (s *Syncer) Status() Status {
	digest := s.replica.Digest()
	s.mu.Lock()
	watch := s.status
	s.mu.Unlock()
	return Status{
		Ready:           s.replica.Ready(),
		Floor:           digest.Floor,
		Newest:          s.replica.newest(),
		Objects:         int(digest.Count),
		Watching:        watch.watching,
		StoreContact:    watch.contact,
		StoreError:      watch.lastErr,
		EmergencyDrains: s.drains.Marks(),
		Traffic:         s.counters.traffic(),
	}
}

func (c *counters) traffic() Traffic {
	return Traffic{
		StoreLists:    c.lists.Load(),
		StoreWatches:  c.watches.Load(),
		StorePolls:    c.polls.Load(),
		Pulls:         c.pulls.Load(),
		FullPulls:     c.fullPulls.Load(),
		PullsServed:   c.served.Load(),
		Pushes:        c.pushes.Load(),
		PushesDropped: c.dropped.Load(),
		Invalid:       c.invalid.Load(),
		SentBytes:     c.sentBytes.Load(),
		ReceivedBytes: c.receivedBytes.Load(),
	}
}

func (s *Syncer) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.watching = watching
}

func (s *Syncer) noteStoreContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.contact = s.options.Now()
	s.status.lastErr = ""
}

// noteStoreError logs an error of the store when it is not the last one again.
func (s *Syncer) noteStoreError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	repeated := s.status.lastErr == err.Error()
	s.status.lastErr = err.Error()
	s.mu.Unlock()
	if !repeated {
		s.options.Log.WithError(err).Warn("configuration store not usable; the replica stays in force")
	}
}
