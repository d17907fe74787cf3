package claim

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// RosterKey is the roster's key in the store. It must never be deleted.
	RosterKey = "/lugspur/roster"
	// DefaultRetention is the default time for which claims are remembered.
	DefaultRetention = 10 * time.Minute
	// DefaultSize is the default number of replicas.
	DefaultSize = 3
	// DefaultInterval is the default time between two looks at the roster.
	DefaultInterval = time.Second

	// genesisPatience is how long nodes that are missing for a roster of the
	// wanted size are waited for.
	genesisPatience = 20 * time.Second
	// smallestGenesis is the least size of a roster that is smaller than wanted.
	smallestGenesis = 3

	storeTimeout     = 5 * time.Second
	maximumBackoff   = 30 * time.Second
	joinTimeout      = 30 * time.Second
	refreshInterval  = 30 * time.Second
	maximumRank      = 30
	refreshingNodes  = 3
	pageRoundsPerTry = 128
)

// Members tells which nodes there are.
type Members interface {
	Members() []Node
}

// ManagerConfig configures a Manager.
type ManagerConfig struct {
	Service *Service
	Store   store.Store
	Members Members
	// Client sends requests to peers.
	Client *http.Client
	Logger logrus.FieldLogger
	// Size is the number of replicas of a first roster, odd; zero is
	// DefaultSize. A cluster with fewer nodes gets a smaller one after a while,
	// of three at least. An existing roster keeps its size.
	Size int
	// Retention is that of a first roster; zero is DefaultRetention.
	Retention time.Duration
	// Interval is the time between two looks; zero is DefaultInterval.
	Interval time.Duration
	// SettleTime is how long to wait for members before a first roster is created.
	SettleTime time.Duration
}

// Manager keeps a node's roster up to date, takes part in its changes and
// copies claims when the node joins. Run may be called once; Forget may be
// called from any goroutine.
type Manager struct {
	config  ManagerConfig
	self    Identity
	started time.Time

	epoch      uint64
	epochSince time.Time
	need       Change
	needSince  time.Time
	refreshed  time.Time
	failures   int
	retryAfter time.Time
}

// NewManager returns a manager.
func NewManager(config ManagerConfig) *Manager {
	if config.Size <= 0 {
		config.Size = DefaultSize
	}
	if config.Retention <= 0 {
		config.Retention = DefaultRetention
	}
	if config.Interval <= 0 {
		config.Interval = DefaultInterval
	}
	return &Manager{config: config, self: config.Service.self}
}

// Run works until the context ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.config.Interval)
	defer ticker.Stop()
	m.started = m.config.Service.now()
	for {
		m.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look does what is due now, and at most one change.
func (m *Manager) look(ctx context.Context) {
	now := m.config.Service.now()
	m.copyClaims(ctx)
	if now.Before(m.retryAfter) {
		return
	}
	err := m.maintain(ctx, now)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		m.failures = 0
		return
	}
	m.config.Service.counters.storeErrors.Add(1)
	m.failures++
	m.retryAfter = now.Add(backoff(m.config.Interval, m.failures))
	m.config.Logger.WithError(err).Warn("roster not maintained")
}

func backoff(interval time.Duration, failures int) time.Duration {
	wait := interval
	for range min(failures, 16) {
		wait *= 2
	}
	return min(wait, max(maximumBackoff, interval))
}

func (m *Manager) maintain(ctx context.Context, now time.Time) error {
	known, ok := m.config.Service.Roster()
	if !ok {
		return m.bootstrap(ctx, now)
	}
	m.observe(known, now)
	if m.due(known, now) {
		return m.change(ctx, now)
	}
	if now.Sub(m.refreshed) >= refreshInterval && m.rank(known.Epoch) < refreshingNodes {
		m.refreshed = now
		_, _, err := m.read(ctx)
		return err
	}
	return nil
}

func (m *Manager) observe(known Roster, now time.Time) {
	if known.Epoch != m.epoch {
		m.epoch, m.epochSince = known.Epoch, now
		m.need = ChangeNone
	}
}

// due tells whether this node should make a change now. Changes that only it
// can make are due at once; for others the nodes wait one interval more each,
// in an order that differs by epoch.
func (m *Manager) due(known Roster, now time.Time) bool {
	_, change := Plan(known, m.view(known, now))
	if change != m.need {
		m.need, m.needSince = change, now
	}
	if change == ChangeNone || change.concernsSelf() {
		return change != ChangeNone
	}
	return now.Sub(m.needSince) >= time.Duration(1+m.rank(known.Epoch))*m.config.Interval
}

// view is what the node knows; a replica that has been joining for too long is
// taken for dead.
func (m *Manager) view(roster Roster, now time.Time) View {
	v := View{Self: m.self, ReadyEpoch: m.config.Service.readyEpoch(), Nodes: m.config.Members.Members()}
	if roster.Epoch != m.epoch || now.Sub(m.epochSince) <= joinTimeout {
		return v
	}
	nodes := append([]Node(nil), v.Nodes...)
	for i, n := range nodes {
		if roster.joiningSeatOf(n.member().Identity) != nil {
			nodes[i].Alive = false
		}
	}
	v.Nodes = nodes
	return v
}

// change reads the roster from the store and writes the one that should follow.
func (m *Manager) change(ctx context.Context, now time.Time) error {
	stored, revision, err := m.read(ctx)
	if err != nil {
		return err
	}
	next, change := Plan(stored, m.view(stored, now))
	if change == ChangeNone {
		return nil
	}
	return m.write(ctx, revision, next, change)
}

// read gets the roster from the store and adopts it.
func (m *Manager) read(ctx context.Context) (Roster, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	failure := oops.In("claim").With("step", "read roster")
	entry, err := m.config.Store.Get(ctx, RosterKey)
	if err != nil {
		return Roster{}, 0, failure.Wrap(err)
	}
	stored, err := DecodeRoster(entry.Value)
	if err != nil {
		return Roster{}, 0, failure.Wrap(err)
	}
	m.config.Service.Adopt(stored)
	known, _ := m.config.Service.Roster()
	if known.Lineage != stored.Lineage || known.Epoch > stored.Epoch {
		return Roster{}, 0, failure.With("known", known.Epoch).With("stored", stored.Epoch).
			Errorf("roster in the store is older than the one known or of another lineage")
	}
	return stored, entry.Revision, nil
}

// write swaps the roster in the store. When the outcome is unknown nothing is
// adopted; the next look reads what became of it.
func (m *Manager) write(ctx context.Context, expected store.Revision, next Roster, change Change) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := EncodeRoster(next)
	if err != nil {
		return err
	}
	_, err = m.config.Store.CompareAndSwap(ctx, RosterKey, expected, body, store.NoLease)
	if errors.Is(err, store.ErrConflict) {
		return nil // another node was faster
	}
	if err != nil {
		return oops.In("claim").With("step", "write roster").With("change", string(change)).Wrap(err)
	}
	m.config.Service.counters.changes.Add(1)
	m.config.Service.Adopt(next)
	m.config.Logger.WithField("change", string(change)).WithField("epoch", next.Epoch).Info("roster changed")
	return nil
}

// Forget marks a holder as lost on the word of an operator, who must be sure
// that its machine is off for good.
func (m *Manager) Forget(ctx context.Context, holder Identity) error {
	stored, revision, err := m.read(ctx)
	if err != nil {
		return err
	}
	next, err := stored.NextForget(holder)
	if err != nil {
		return oops.In("claim").With("step", "forget").With("peer", holder.Name).Wrap(err)
	}
	return m.write(ctx, revision, next, ChangeLost)
}
