package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
)

// collectInterval is how often old tombstones are looked for.
const collectInterval = 10 * time.Minute

// Syncer keeps a replica up to date from the store and from peers, and
// passes news on. It is safe for concurrent use.
type Syncer struct {
	options Options
	replica *Replica
	drains  *EmergencyDrains
	news    *newsQueue
	sources *sourceSet
	serving chan struct{}
	sending chan struct{}
	relist  chan struct{}

	counters counters

	mu     sync.Mutex
	status watchStatus
	// lastFullPull is used by the pulling goroutine alone.
	lastFullPull time.Time
}

// NewSyncer returns a spreader that starts work when Run is called.
func NewSyncer(options Options, replica *Replica) *Syncer {
	options = options.withDefaults()
	return &Syncer{
		options: options,
		replica: replica,
		drains:  NewEmergencyDrains(options.Now),
		news:    newNewsQueue(),
		sources: newSourceSet(options.Now),
		serving: make(chan struct{}, maxServing),
		sending: make(chan struct{}, maxSending),
		relist:  make(chan struct{}, 1),
	}
}

// Replica returns the replica that the spreader keeps up to date.
func (s *Syncer) Replica() *Replica { return s.replica }

// Ready reports whether the node has ever had a complete view of the
// configuration.
func (s *Syncer) Ready() bool { return s.replica.Ready() }

// EmergencyDrains returns the marks that pass between nodes.
func (s *Syncer) EmergencyDrains() *EmergencyDrains { return s.drains }

// AddEmergencyDrain marks a target or machine as leaving without the store and passes
// the mark on at once. It reports whether the mark was taken.
func (s *Syncer) AddEmergencyDrain(name string) bool {
	marked := s.drains.Add(name)
	if marked {
		s.news.addDrains(0)
	}
	return marked
}

// Digest describes the node's configuration for its gossip.
func (s *Syncer) Digest() Digest {
	digest := s.replica.Digest()
	digest.Drains = s.drains.Sum()
	return digest
}

// Announce passes versions that were accepted or learnt from the store on to
// peers. It does not block.
func (s *Syncer) Announce(versions ...resource.Versioned) {
	s.news.addVersions(versions, 0)
}

// Run works until the context ends and returns when all its goroutines have
// ended.
func (s *Syncer) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){s.superviseWatch, s.pullLoop, s.pushLoop, s.pollLoop, s.collectLoop} {
		running.Go(func() { loop(ctx) })
	}
	running.Wait()
}

func (s *Syncer) collectLoop(ctx context.Context) {
	for pause.For(ctx, collectInterval) {
		s.replica.Collect()
	}
}
