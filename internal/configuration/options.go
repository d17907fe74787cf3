package configuration

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/store"
)

// Options are the settings of a Spreader; zero durations and counts stand for
// the defaults.
type Options struct {
	// Self is this node.
	Self Member
	// Store is the platform's key-value service.
	Store store.Store
	// Membership tells the other nodes.
	Membership Membership
	// Seeds are peer addresses to start from before the membership is known.
	Seeds []string
	// Client makes the requests to peers.
	Client *http.Client
	// Log receives what operators should know.
	Log logrus.FieldLogger
	// Now is the clock.
	Now func() time.Time

	// Fanout is how many peers a node passes news to (default 6, which leaves
	// about one node in 400 to the comparison of digests).
	Fanout int
	// WatchersPerZone is how many live nodes of a zone watch the store (default 2).
	WatchersPerZone int
	// DutyInterval is how often a node checks whether it must watch (default 1 s).
	DutyInterval time.Duration
	// StartupGrace is how long a node without configuration tries its peers
	// before it turns to the store (default 3 s; nothing if it knows no peers).
	StartupGrace time.Duration
	// StoreTimeout bounds a read of the store (default 10 s).
	StoreTimeout time.Duration
	// PeerTimeout bounds a request to a peer (default 3 s).
	PeerTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pauses between failed attempts to
	// watch the store (default 250 ms and DefaultMaxBackoff).
	MinBackoff, MaxBackoff time.Duration
	// PollInterval is the least time between two safety polls of the store by
	// this node (default 1 min).
	PollInterval time.Duration
	// PollShare is the time between two safety polls by any node: a node of N
	// polls every N times as long, but not more often than PollInterval
	// (default 5 s).
	PollShare time.Duration
	// PollGrace is how long the floor may lag behind a poll's revision before
	// the node lists the store itself (default 3 s).
	PollGrace time.Duration
	// PullInterval is the least time between two pulls from peers (default 1 s).
	PullInterval time.Duration
	// FullPullInterval is the least time between two complete pulls once the
	// node is ready (default 30 s).
	FullPullInterval time.Duration
	// PullBytesPerSecond paces pulls: one that took n bytes is followed by a
	// pause of n divided by it, at most MaxPullPause (default 64 KiB/s).
	PullBytesPerSecond int
}

// MaxPullPause bounds the pause after a pull, so that a large delta does not
// hold the next one back for long.
const MaxPullPause = 4 * time.Second

// DefaultMaxBackoff is the longest pause between two attempts to watch the
// store. A zone that is cut off from the others learns changes from its own
// watchers alone, so that it bounds the time until a change is in force there
// after the store has come back.
const DefaultMaxBackoff = 3 * time.Second

func (o Options) withDefaults() Options {
	setDefault(&o.Fanout, 6)
	setDefault(&o.WatchersPerZone, 2)
	setDefault(&o.DutyInterval, time.Second)
	setDefault(&o.StartupGrace, 3*time.Second)
	setDefault(&o.StoreTimeout, 10*time.Second)
	setDefault(&o.PeerTimeout, 3*time.Second)
	setDefault(&o.MinBackoff, 250*time.Millisecond)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.PollInterval, time.Minute)
	setDefault(&o.PollShare, 5*time.Second)
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
