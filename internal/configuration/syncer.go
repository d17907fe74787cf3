package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
)

// tombstoneGCInterval is the interval of the garbage collection of tombstones.
const tombstoneGCInterval = 10 * time.Minute

// Syncer keeps a replica in sync with the store and with peers, and pushes
// new versions to peers. It is safe for concurrent use.
type Syncer struct {
	options      Options
	replica      *Replica
	drains       *EmergencyDrains
	pushQueue    *pushQueue
	pullSources  *pullSourceSet
	pullSlots    chan struct{}
	pushSlots    chan struct{}
	relistSignal chan struct{}

	counters counters

	mu          sync.Mutex
	storeStatus storeStatus
	// lastFullPull is used only by the goroutine of pullLoop.
	lastFullPull time.Time
}

// NewSyncer returns a Syncer that is inactive until Run is called.
func NewSyncer(options Options, replica *Replica) *Syncer {
	options = options.withDefaults()
	return &Syncer{
		options:      options,
		replica:      replica,
		drains:       NewEmergencyDrains(options.Now),
		pushQueue:    newPushQueue(),
		pullSources:  newPullSourceSet(options.Now),
		pullSlots:    make(chan struct{}, maxConcurrentPulls),
		pushSlots:    make(chan struct{}, maxConcurrentPushes),
		relistSignal: make(chan struct{}, 1),
	}
}

func (s *Syncer) Replica() *Replica { return s.replica }

// Ready reports whether the node has ever had a complete view of the
// configuration.
func (s *Syncer) Ready() bool { return s.replica.Ready() }

// EmergencyDrains returns the emergency drains replicated between nodes.
func (s *Syncer) EmergencyDrains() *EmergencyDrains { return s.drains }

// AddEmergencyDrain adds an emergency drain of a target or machine without using
// the store, and pushes it to peers at once. It reports whether the drain was
// added.
func (s *Syncer) AddEmergencyDrain(name string) bool {
	added := s.drains.Add(name)
	if added {
		s.pushQueue.addDrains(0)
	}
	return added
}

// Digest returns the digest to send by gossip, including the emergency drains.
func (s *Syncer) Digest() Digest {
	digest := s.replica.Digest()
	digest.DrainSum = s.drains.Sum()
	return digest
}

// Announce queues versions that were accepted by or read from the store for the
// next push to peers. It does not block.
func (s *Syncer) Announce(versions ...resource.Versioned) {
	s.pushQueue.addVersions(versions, 0)
}

// Run synchronizes the replica until the context ends. It returns when all its
// goroutines have ended.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.superviseWatch, s.pullLoop, s.pushLoop, s.pollLoop, s.tombstoneGCLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

func (s *Syncer) tombstoneGCLoop(ctx context.Context) {
	for pause.For(ctx, tombstoneGCInterval) {
		s.replica.CollectTombstones()
	}
}
