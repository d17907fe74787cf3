package membership

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Defaults of the protocol's settings.
const (
	// DefaultPeriod is the time between two probes of a node.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultFanout is the number of extra peers that get the payload each period.
	DefaultFanout = 2
	// DefaultIndirectProbes is the number of members asked to probe for us.
	DefaultIndirectProbes = 3
	// DefaultSuspicionFactor times the decimal logarithm of the cluster's size is the
	// time, in periods, a suspect has to refute.
	DefaultSuspicionFactor = 4
	// DefaultRetransmitFactor times the natural logarithm of the cluster's size is the
	// number of times a node passes a change on.
	DefaultRetransmitFactor = 3
	// DefaultTombstoneLifetime is how long a dead or departed member is remembered.
	DefaultTombstoneLifetime = time.Hour
	// DefaultExchangeInterval is the time between two comparisons of whole lists.
	DefaultExchangeInterval = 30 * time.Second
	// DefaultMaxMembers bounds the list, tombstones included.
	DefaultMaxMembers = 4096
	// MaxPayload is the largest application payload in bytes.
	MaxPayload = 300
)

// Limits in periods. The first two are below the shortest time in which others
// can declare a member dead (one period and the suspicion of four), so that a
// node loses its own confidence before another one takes its place.
const (
	defaultPausePeriods     = 3
	defaultIsolationPeriods = 3
	joinPeriods             = 6
	stepsPerPeriod          = 5
)

// Instant is one reading of both clocks. The monotonic one drives all timers;
// the wall clock also moves while a machine is suspended.
type Instant struct {
	Wall      time.Time
	Monotonic time.Duration
}

// since returns the larger step of the two clocks, so that neither a suspended
// machine nor a wall clock set back hides a pause.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// Config holds the settings of a node's membership. Zero values mean the defaults.
type Config struct {
	// ClusterName must be the same on all nodes; datagrams of others are dropped.
	ClusterName string
	// Self describes this node. Incarnation and BootID are filled in when zero.
	Self Member
	// Seeds are peer addresses to join through; our own is ignored.
	Seeds []string
	// Period is the time between two probes.
	Period time.Duration
	// PauseLimit is the longest time between two steps that is not a pause.
	PauseLimit time.Duration
	// IsolationLimit is how long an acknowledgement proves that we are not isolated.
	IsolationLimit time.Duration
	// TombstoneLifetime is how long dead and departed members are remembered.
	TombstoneLifetime time.Duration
	// ExchangeInterval is the time between two comparisons of whole lists.
	ExchangeInterval time.Duration
	// Fanout is the number of extra peers that get the payload each period.
	Fanout int
	// IndirectProbes is the number of members asked to probe for us.
	IndirectProbes int
	// MaxMembers bounds the list, tombstones included.
	MaxMembers int
	// Transport carries the datagrams. Membership does not close it.
	Transport Transport
	// Exchange fetches a peer's list; nil means that whole lists are not exchanged.
	Exchange ExchangeFunc
	// OnPause is called by the driving goroutine when the process turns out to
	// have been paused, before it acts on anything else. It must not block.
	OnPause func(pause time.Duration)
	// OnPayload receives the payloads of other members, from the goroutine
	// that delivers events. The slice is the receiver's.
	OnPayload func(from Member, payload []byte)
	// Logger takes state changes; nil means the standard logger.
	Logger *logrus.Entry
	// Clock reads the time; nil means the system's clocks.
	Clock func() Instant
	// RandSeed makes the choices of peers repeatable; zero means a random seed.
	RandSeed uint64
}

// withDefaults returns the settings with zero values replaced.
func (c Config) withDefaults() Config {
	c.Period = orDefault(c.Period, DefaultPeriod)
	c.PauseLimit = orDefault(c.PauseLimit, defaultPausePeriods*c.Period)
	c.IsolationLimit = orDefault(c.IsolationLimit, defaultIsolationPeriods*c.Period)
	c.TombstoneLifetime = orDefault(c.TombstoneLifetime, DefaultTombstoneLifetime)
	c.ExchangeInterval = orDefault(c.ExchangeInterval, DefaultExchangeInterval)
	c.Fanout = orDefault(c.Fanout, DefaultFanout)
	c.IndirectProbes = orDefault(c.IndirectProbes, DefaultIndirectProbes)
	c.MaxMembers = orDefault(c.MaxMembers, DefaultMaxMembers)
	if c.RandSeed == 0 {
		c.RandSeed = rand.Uint64()
	}
	if c.Clock == nil {
		c.Clock = systemClock()
	}
	if c.Logger == nil {
		c.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	return c
}

// orDefault returns the value, or the default when it is zero.
func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

// systemClock reads the wall clock and the time since its own creation.
func systemClock() func() Instant {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

var (
	errNoTransport = errors.New("no transport")
	errNegative    = errors.New("a duration or count is negative")
	errClusterName = errors.New("cluster name is too long or not printable")
)

// check returns the first fault of complete settings.
func (c Config) check(now time.Time) error {
	failed := oops.In("membership").With("step", "check settings", "peer", c.Self.PeerAddress)
	if c.Transport == nil {
		return failed.Wrap(errNoTransport)
	}
	if !printable(c.ClusterName, maxNameLength) {
		return failed.Wrap(errClusterName)
	}
	if err := c.Self.check(now); err != nil {
		return failed.Wrap(err)
	}
	if !c.Self.full() {
		return failed.Wrap(errInvalidAddress)
	}
	shortest := min(c.Period, c.PauseLimit, c.IsolationLimit, c.TombstoneLifetime, c.ExchangeInterval)
	if shortest < 0 || min(c.Fanout, c.IndirectProbes, c.MaxMembers) < 0 {
		return failed.Wrap(errNegative)
	}
	return nil
}
