package membership

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Defaults of the protocol settings.
const (
	// DefaultPeriod is the time between two probes by a node.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultFanout is the number of additional members that receive the payload in each
	// period.
	DefaultFanout = 2
	// DefaultIndirectProbes is the number of members asked for an indirect probe.
	DefaultIndirectProbes = 3
	// DefaultSuspicionFactor times the decimal logarithm of the cluster size is the suspicion
	// timeout in periods.
	DefaultSuspicionFactor = 4
	// DefaultRetransmitFactor times the natural logarithm of the cluster size is the number of
	// times a node sends an update.
	DefaultRetransmitFactor = 3
	// DefaultTombstoneLifetime is how long a dead or left member is kept in the list as a
	// tombstone.
	DefaultTombstoneLifetime = time.Hour
	// DefaultExchangeInterval is the time between two periodic exchanges of full lists.
	DefaultExchangeInterval = 30 * time.Second
	// DefaultMaxMembers limits the list, including tombstones.
	DefaultMaxMembers = 4096
	// MaxPayload is the maximum size of the application payload in bytes.
	MaxPayload = 300
)

const (
	// The pause and isolation limits, in periods, are shorter than the shortest time in which
	// other members can declare a node dead (one period and a suspicion of four periods), so
	// that a node stops acting on its list before another node takes its place.
	defaultPauseLimitPeriods     = 3
	defaultIsolationLimitPeriods = 3
	// joinTimeoutPeriods is for how many periods after its start a node without other members
	// waits for its seeds and hints to answer before its list counts as reliable.
	joinTimeoutPeriods = 6
	// stepsPerPeriod is how often Run calls Step in each period.
	stepsPerPeriod = 5
)

// Instant is one reading of both clocks. The monotonic clock drives all timers; the wall clock
// also advances while the machine is suspended.
type Instant struct {
	Wall      time.Time
	Monotonic time.Duration
}

// since returns the larger difference of the two clocks, so that a pause is detected both when
// the machine was suspended and when the wall clock was set back.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// Config holds the membership settings of a node. Zero values select the defaults.
type Config struct {
	// ClusterName must be the same on all nodes. Datagrams with another name are dropped.
	ClusterName string
	// Self describes this node. New sets Incarnation and BootID if they are zero.
	Self Member
	// Seeds are the peer addresses to join through; the node's own address is ignored.
	Seeds []string
	// Period is the time between two probes.
	Period time.Duration
	// PauseLimit is the longest time between two steps that does not count as a pause.
	PauseLimit time.Duration
	// IsolationLimit is how long an acknowledged ping proves that the node is not isolated,
	// counted from the sending of the ping.
	IsolationLimit time.Duration
	// TombstoneLifetime is how long dead and left members are kept in the list.
	TombstoneLifetime time.Duration
	// ExchangeInterval is the time between two periodic exchanges of full lists.
	ExchangeInterval time.Duration
	// Fanout is the number of additional members that receive the payload in each period.
	Fanout int
	// IndirectProbes is the number of members asked for an indirect probe.
	IndirectProbes int
	// MaxMembers limits the list, including tombstones.
	MaxMembers int
	// Transport sends and receives the datagrams. Membership does not close it.
	Transport Transport
	// Exchange fetches the list of a peer; nil disables the exchange of full lists.
	Exchange ExchangeFunc
	// OnPause is called by the goroutine that calls Step and HandlePacket when it detects that
	// the process was paused, before it does anything else. It must not block.
	OnPause func(pause time.Duration)
	// OnPayload is called for each payload of another member by the goroutine that delivers
	// events. It may retain the slice.
	OnPayload func(from Member, payload []byte)
	// Logger logs state changes and errors; nil selects the standard logger.
	Logger *logrus.Entry
	// Clock reads the time; nil selects the system clocks.
	Clock func() Instant
	// RandSeed makes the random choices of peers repeatable; zero selects a random seed.
	RandSeed uint64
}

// withDefaults returns the settings with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	c.Period = orDefault(c.Period, DefaultPeriod)
	c.PauseLimit = orDefault(c.PauseLimit, defaultPauseLimitPeriods*c.Period)
	c.IsolationLimit = orDefault(c.IsolationLimit, defaultIsolationLimitPeriods*c.Period)
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

// orDefault returns the value, or the default if the value is zero.
func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// systemClock returns a clock that reads the wall clock and the monotonic time since this
// call.
func systemClock() func() Instant {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

var (
	errNoTransport        = errors.New("no transport is configured")
	errNegativeSetting    = errors.New("a duration or count in the settings is negative")
	errInvalidClusterName = errors.New("cluster name is too long or not printable")
)

// validate returns the first error in the settings, which must include the defaults.
func (c Config) validate(now time.Time) error {
	errorContext := oops.In("membership").With("step", "check settings", "peer", c.Self.PeerAddress)
	if c.Transport == nil {
		return errorContext.Wrap(errNoTransport)
	}
	if !printable(c.ClusterName, maxNameLength) {
		return errorContext.Wrap(errInvalidClusterName)
	}
	if err := c.Self.validate(now); err != nil {
		return errorContext.Wrap(err)
	}
	if !c.Self.full() {
		return errorContext.Wrap(errInvalidAddress)
	}
	shortest := min(c.Period, c.PauseLimit, c.IsolationLimit, c.TombstoneLifetime, c.ExchangeInterval)
	if shortest < 0 || min(c.Fanout, c.IndirectProbes, c.MaxMembers) < 0 {
		return errorContext.Wrap(errNegativeSetting)
	}
	return nil
}
