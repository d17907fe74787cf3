package configuration

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/store"
)

// Options are the settings of a Syncer. Zero durations and counts select the
// defaults.
type Options struct {
	Self Member
	// Store is the platform's key-value service.
	Store store.Store
	// Membership provides the other nodes.
	Membership Membership
	// Seeds are the peer addresses to use before the membership is known.
	Seeds []string
	// Client sends the requests to peers.
	Client *http.Client
	Log    logrus.FieldLogger
	Now    func() time.Time

	// Fanout is the number of peers that a node pushes new versions to (default
	// 6: about one node in 400 is missed and catches up by comparing digests).
	Fanout int
	// WatchersPerZone is the number of live nodes of a zone that watch the store
	// (default 2).
	WatchersPerZone int
	// WatcherCheckInterval is the interval at which a node checks whether it is
	// to watch the store (default 1 s).
	WatcherCheckInterval time.Duration
	// StartupGrace is how long a node without configuration tries its peers
	// before it reads the store (default 3 s; zero if it has no peers).
	StartupGrace time.Duration
	// StoreTimeout limits a read of the store (default 10 s).
	StoreTimeout time.Duration
	// PeerTimeout limits a request to a peer (default 3 s).
	PeerTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay between failed attempts to
	// watch the store (default 250 ms and DefaultMaxBackoff).
	MinBackoff, MaxBackoff time.Duration
	// PollInterval is the minimum mean interval between two polls of the store by
	// this node (default 1 min).
	PollInterval time.Duration
	// MeshPollInterval is the mean interval between two polls of the store by any
	// node of the mesh: each of N nodes polls every N*MeshPollInterval, but not
	// more often than PollInterval (default 5 s).
	MeshPollInterval time.Duration
	// PollGrace is how long the floor may lag behind the revision of a poll
	// before the node lists the store (default 3 s).
	PollGrace time.Duration
	// PullInterval is the minimum time between two pulls from peers (default 1 s).
	PullInterval time.Duration
	// FullPullInterval is the minimum time between two full pulls once the node
	// is ready (default 30 s).
	FullPullInterval time.Duration
	// PullBytesPerSecond limits the rate of pulls: a pull of n bytes is followed
	// by a pause of n/PullBytesPerSecond, at most MaxPullPause (default 64 KiB/s).
	PullBytesPerSecond int
}

// MaxPullPause limits the pause after a pull, so that a large delta does not
// delay the next pull for long.
const MaxPullPause = 4 * time.Second

// DefaultMaxBackoff is the maximum delay between two attempts to watch the
// store. A zone that is partitioned from the others receives changes only
// through its own watchers, so this delay limits how soon a change takes effect
// there after the store has recovered.
const DefaultMaxBackoff = 3 * time.Second

func (o Options) withDefaults() Options {
	setDefault(&o.Fanout, 6)
	setDefault(&o.WatchersPerZone, 2)
	setDefault(&o.WatcherCheckInterval, time.Second)
	setDefault(&o.StartupGrace, 3*time.Second)
	setDefault(&o.StoreTimeout, 10*time.Second)
	setDefault(&o.PeerTimeout, 3*time.Second)
	setDefault(&o.MinBackoff, 250*time.Millisecond)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.PollInterval, time.Minute)
	setDefault(&o.MeshPollInterval, 5*time.Second)
	setDefault(&o.PollGrace, 3*time.Second)
	setDefault(&o.PullInterval, time.Second)
	setDefault(&o.FullPullInterval, 30*time.Second)
	setDefault(&o.PullBytesPerSecond, 64<<10)
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

func setDefault[T int | time.Duration](option *T, value T) {
	if *option == 0 {
		*option = value
	}
}
