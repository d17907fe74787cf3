package membership

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Membership is a node's member list and the protocol that maintains it.
type Membership struct {
	config     Config
	logger     *logrus.Entry
	isolation  isolationDetector
	deliveries deliveryQueue
	// payload is the application data for every datagram; nil until SetPayload is called.
	payload atomic.Pointer[[]byte]
	// cachedView is the current view; nil after a change until the next read.
	cachedView atomic.Pointer[view]
	// digest is the digest of the list; nil after a change until the next use.
	digest  *uint64
	closing chan struct{}
	// wake signals the delivery goroutine that the event queue is not empty.
	wake      chan struct{}
	closeOnce sync.Once

	mutex        sync.Mutex
	random       *rand.Rand
	now          Instant
	startedAt    time.Duration
	self         Member
	table        *table
	updates      *updateQueue
	prober       prober
	relays       map[uint64]relay
	contacts     contacts
	exchange     exchangeSchedule
	lastSequence uint64
	periodCount  uint64
	nextPeriod   time.Duration
	stats        Stats
}

// New returns a Membership that lists only the node itself. It sends nothing until Run or Step
// is called.
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
	if err := config.validate(now.Wall); err != nil {
		return nil, err
	}
	m := &Membership{
		config:       config,
		logger:       config.Logger.WithField("node", config.Self.Name),
		closing:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
		random:       random,
		now:          now,
		startedAt:    now.Monotonic,
		self:         config.Self,
		table:        newTable(config.MaxMembers),
		updates:      newUpdateQueue(),
		relays:       map[uint64]relay{},
		lastSequence: uint64(random.Uint32()),
	}
	m.prober.recheckQueued = map[string]struct{}{}
	m.contacts = newContacts(config.Seeds, config.Self.PeerAddress)
	m.exchange.recordMatch(config.Period)
	m.nextPeriod = now.Monotonic + time.Duration(random.Int64N(int64(config.Period)))
	m.updates.add(m.self, true)
	m.isolation.reset()
	return m, nil
}

// Self returns the node's own record.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// Members returns all members, sorted by name, including the node itself and tombstones. The
// slice is shared and must not be modified.
func (m *Membership) Members() []Member { return m.view().all }

// Live returns the members of a zone that may be assigned work, sorted by name. They include the
// node itself unless it is leaving. An empty zone selects all zones. The slice is shared and
// must not be modified.
func (m *Membership) Live(zone string) []Member {
	if zone == "" {
		return m.view().live
	}
	return m.view().liveByZone[zone]
}

// Snapshot returns the list to send to a peer in an exchange. It equals the result of Members.
func (m *Membership) Snapshot() []Member { return m.view().all }

// Digest returns a hash of all members that are neither dead nor left. Nodes with equal digests
// have nothing to exchange.
func (m *Membership) Digest() uint64 { return m.view().digest }

// SetPayload sets the application data for all later datagrams, at most MaxPayload bytes.
func (m *Membership) SetPayload(payload []byte) error {
	if len(payload) > MaxPayload {
		return errPayloadSize
	}
	copied := append([]byte(nil), payload...)
	m.payload.Store(&copied)
	return nil
}

// SetHints replaces the hinted addresses, for example those of a list of machines that may be
// out of date. The node pings them, but does not add them as members before they answer.
func (m *Membership) SetHints(addresses []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.contacts.setHints(addresses, m.config.MaxMembers)
}

// Subscribe adds an event subscriber. Events are passed to all subscribers in order by one
// goroutine, so they should return quickly.
func (m *Membership) Subscribe(receive func(Event)) { m.deliveries.subscribe(receive) }

// view returns the current view and builds it if the list has changed.
func (m *Membership) view() *view {
	if current := m.cachedView.Load(); current != nil {
		return current
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if current := m.cachedView.Load(); current != nil {
		return current
	}
	built := buildView(m.self, m.table.entries, m.currentDigest())
	m.cachedView.Store(built)
	return built
}

// invalidateView drops the cached view and digest.
func (m *Membership) invalidateView() {
	m.cachedView.Store(nil)
	m.digest = nil
}

// currentDigest returns the digest of the list. Every datagram carries it, so it is computed
// without building the view, which costs more.
func (m *Membership) currentDigest() uint64 {
	if m.digest == nil {
		digest := m.table.digest(m.self)
		m.digest = &digest
	}
	return *m.digest
}

// suspicionTime returns the suspicion timeout, which is how long a suspect has to refute the
// suspicion.
func (m *Membership) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(m.table.present.size()+1)))
	return time.Duration(DefaultSuspicionFactor * scale * float64(m.config.Period))
}

// retransmitLimit returns how many times a node sends an update. As updates are sent to random
// members, a member misses an update with a probability of e^-retransmitLimit, or more if some
// of the receivers are dead.
func (m *Membership) retransmitLimit() int {
	scale := math.Max(1, math.Log(float64(m.table.present.size()+1)))
	return int(math.Ceil(DefaultRetransmitFactor * scale))
}
