package membership

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Membership is a node's list of members and the protocol that keeps it.
type Membership struct {
	config Config
	logger *logrus.Entry
	guard  guard
	events deliveryQueue
	// payload is what every datagram carries for the application.
	payload atomic.Pointer[[]byte]
	// picture is the current view, nil after a change until the next reader.
	picture atomic.Pointer[view]
	// digest is that of the list, nil after a change until it is asked for.
	digest  *uint64
	closing chan struct{}
	// wake asks the goroutine that delivers events to look at the queue.
	wake      chan struct{}
	closeOnce sync.Once

	mutex      sync.Mutex
	random     *rand.Rand
	now        Instant
	started    time.Duration
	self       Member
	table      *table
	updates    *updateQueue
	prober     prober
	relays     map[uint64]relay
	contacts   contacts
	exchange   exchangeSchedule
	sequence   uint64
	periods    uint64
	nextPeriod time.Duration
	stats      Stats
}

// New returns a membership that knows only itself. It sends nothing before Run
// or Step is called.
func New(config Config) (*Membership, error) {
	config = config.withDefaults()
	now := config.Clock()
	random := rand.New(rand.NewPCG(config.RandSeed, config.RandSeed))
	if config.Self.Incarnation == 0 {
		config.Self.Incarnation = uint64(now.Wall.UnixNano())
	}
	if config.Self.BootID == 0 {
		config.Self.BootID = random.Uint64()
	}
	config.Self.State = Alive
	if err := config.check(now.Wall); err != nil {
		return nil, err
	}
	m := &Membership{
		config:   config,
		logger:   config.Logger.WithField("node", config.Self.Name),
		closing:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
		random:   random,
		now:      now,
		started:  now.Monotonic,
		self:     config.Self,
		table:    newTable(config.MaxMembers),
		updates:  newUpdateQueue(),
		relays:   map[uint64]relay{},
		sequence: uint64(random.Uint32()),
	}
	m.prober.queued = map[string]struct{}{}
	m.contacts = newContacts(config.Seeds, config.Self.PeerAddress)
	m.exchange.agreed(config.Period)
	m.nextPeriod = now.Monotonic + time.Duration(random.Int64N(int64(config.Period)))
	m.updates.add(m.self, true)
	m.guard.reset()
	return m, nil
}

// Self returns the node's own record.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// Members returns all known members by name, the node itself and tombstones
// included. The slice is shared and must not be changed.
func (m *Membership) Members() []Member { return m.view().all }

// Live returns the members that may be given work, the node itself included
// unless it is leaving, by name. An empty zone means all zones. The slice is
// shared and must not be changed.
func (m *Membership) Live(zone string) []Member {
	if zone == "" {
		return m.view().live
	}
	return m.view().liveByZone[zone]
}

// Snapshot returns what Members returns, as the list to be exchanged.
func (m *Membership) Snapshot() []Member { return m.view().all }

// Digest returns a hash of all members that are not gone; nodes with the same
// digest have nothing to exchange.
func (m *Membership) Digest() uint64 { return m.view().digest }

// SetPayload sets the bytes that every datagram carries from now on, at most
// MaxPayload.
func (m *Membership) SetPayload(payload []byte) error {
	if len(payload) > MaxPayload {
		return errPayloadSize
	}
	copied := append([]byte(nil), payload...)
	m.payload.Store(&copied)
	return nil
}

// Hint adds addresses from a lagging list of machines. They are only contacted,
// never believed to be members.
func (m *Membership) Hint(addresses []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.contacts.setHints(addresses, m.config.MaxMembers)
}

// Subscribe adds a receiver of events. All receivers are called in order from
// one goroutine and should return quickly.
func (m *Membership) Subscribe(receive func(Event)) { m.events.subscribe(receive) }

// view returns the current picture, building it if something has changed.
func (m *Membership) view() *view {
	if current := m.picture.Load(); current != nil {
		return current
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if current := m.picture.Load(); current != nil {
		return current
	}
	built := buildView(m.self, m.table.entries, m.currentDigest())
	m.picture.Store(built)
	return built
}

// changed drops what is derived from the list.
func (m *Membership) changed() {
	m.picture.Store(nil)
	m.digest = nil
}

// currentDigest returns the digest of the list. It is told with each datagram, and costs
// less than the whole picture.
func (m *Membership) currentDigest() uint64 {
	if m.digest == nil {
		digest := m.table.digest(m.self)
		m.digest = &digest
	}
	return *m.digest
}

// suspicionTime returns how long a suspect has to refute.
func (m *Membership) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(m.table.present.size()+1)))
	return time.Duration(DefaultSuspicionFactor * scale * float64(m.config.Period))
}

// retransmitLimit returns how often a change is passed on. Sent to random
// members, a change misses one with a probability of e to the minus this limit,
// and with more where receivers are dead.
func (m *Membership) retransmitLimit() int {
	scale := math.Max(1, math.Log(float64(m.table.present.size()+1)))
	return int(math.Ceil(DefaultRetransmitFactor * scale))
}
