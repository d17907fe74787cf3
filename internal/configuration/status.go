package configuration

import (
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// counters are the counters that Traffic reports.
type counters struct {
	storeLists, storeWatches, storePolls  atomic.Int64
	pulls, fullPulls, pullsServed         atomic.Int64
	pushes, pushesDropped, invalidObjects atomic.Int64
	sentBytes, receivedBytes              atomic.Int64
}

// storeStatus is the state of this node's connection to the store.
type storeStatus struct {
	watching    bool
	lastErr     string
	lastContact time.Time
}

// Status is the state of a node's configuration as shown to operators.
type Status struct {
	// Ready is set once the node has had a complete view.
	Ready bool `json:"ready"`
	// Floor is the revision up to which the replica is complete.
	Floor store.Revision `json:"floor"`
	// Newest is the highest revision in the replica.
	Newest store.Revision `json:"newest"`
	// Objects is the number of objects that are not deleted.
	Objects int `json:"objects"`
	// Watching is set if this node is one of its zone's watchers of the store.
	Watching bool `json:"watching"`
	// StoreContact is the time of the store's last successful response to this
	// node; zero if there was none.
	StoreContact time.Time `json:"store_contact"`
	// StoreError is the last error since StoreContact; empty if there was none.
	StoreError string `json:"store_error,omitempty"`
	// EmergencyDrains are the names of the emergency drains with their expiries.
	EmergencyDrains map[string]time.Time `json:"emergency_drains,omitempty"`
	Traffic         Traffic              `json:"traffic"`
}

// Traffic counts the requests, invalid objects and message bytes of a Syncer
// since its start.
type Traffic struct {
	StoreLists     int64 `json:"store_lists"`
	StoreWatches   int64 `json:"store_watches"`
	StorePolls     int64 `json:"store_polls"`
	Pulls          int64 `json:"pulls"`
	FullPulls      int64 `json:"full_pulls"`
	PullsServed    int64 `json:"pulls_served"`
	Pushes         int64 `json:"pushes"`
	PushesDropped  int64 `json:"pushes_dropped"`
	InvalidObjects int64 `json:"invalid_objects"`
	// SentBytes and ReceivedBytes count the bodies of messages between nodes.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

func (s *Syncer) Status() Status {
	digest := s.replica.Digest()
	s.mu.Lock()
	status := s.storeStatus
	s.mu.Unlock()
	return Status{
		Ready:           s.replica.Ready(),
		Floor:           digest.Floor,
		Newest:          s.replica.newestRevision(),
		Objects:         int(digest.Count),
		Watching:        status.watching,
		StoreContact:    status.lastContact,
		StoreError:      status.lastErr,
		EmergencyDrains: s.drains.Expiries(),
		Traffic:         s.counters.traffic(),
	}
}

func (c *counters) traffic() Traffic {
	return Traffic{
		StoreLists:     c.storeLists.Load(),
		StoreWatches:   c.storeWatches.Load(),
		StorePolls:     c.storePolls.Load(),
		Pulls:          c.pulls.Load(),
		FullPulls:      c.fullPulls.Load(),
		PullsServed:    c.pullsServed.Load(),
		Pushes:         c.pushes.Load(),
		PushesDropped:  c.pushesDropped.Load(),
		InvalidObjects: c.invalidObjects.Load(),
		SentBytes:      c.sentBytes.Load(),
		ReceivedBytes:  c.receivedBytes.Load(),
	}
}

func (s *Syncer) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeStatus.watching = watching
}

func (s *Syncer) recordStoreContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeStatus.lastContact = s.options.Now()
	s.storeStatus.lastErr = ""
}

// recordStoreError records an error of the store and logs it unless it equals
// the previous one.
func (s *Syncer) recordStoreError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	repeated := s.storeStatus.lastErr == err.Error()
	s.storeStatus.lastErr = err.Error()
	s.mu.Unlock()
	if !repeated {
		s.options.Log.WithError(err).Warn("configuration store unavailable; continuing with the replica")
	}
}
