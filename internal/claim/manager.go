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
	// DefaultRetention is the default time for which claims are kept.
	DefaultRetention = 10 * time.Minute
	// DefaultSize is the default number of replicas.
	DefaultSize = 3
	// DefaultInterval is the default reconciliation interval.
	DefaultInterval = time.Second

	// genesisGracePeriod is how long the first roster is delayed if there are
	// too few nodes for the configured size.
	genesisGracePeriod = 20 * time.Second
	// minimumGenesisSize is the minimum size of a first roster that is smaller
	// than configured.
	minimumGenesisSize = 3

	// operationTimeout applies to a store operation and to the copying of claims
	// in one reconciliation.
	operationTimeout = 5 * time.Second
	maximumBackoff   = 30 * time.Second
	// joinTimeout is the time after which a joining replica counts as not alive.
	joinTimeout = 30 * time.Second
	// refreshInterval is the time between two periodic reads of the roster.
	refreshInterval = 30 * time.Second
	// maximumRank limits how long a node waits for the nodes before it.
	maximumRank = 30
	// refreshRanks is the number of nodes that read the roster periodically.
	refreshRanks = 3
	// maximumPageRounds is the maximum number of pages that are fetched from each
	// source in one reconciliation.
	maximumPageRounds = 128
)

// Members provides the current nodes of the cluster.
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
	// Size is the number of replicas in the first roster. It must be odd; zero
	// means DefaultSize. A cluster with fewer nodes gets a smaller roster of at
	// least three after a grace period. An existing roster keeps its size.
	Size int
	// Retention is the retention of the first roster; zero means
	// DefaultRetention.
	Retention time.Duration
	// Interval is the reconciliation interval; zero means DefaultInterval.
	Interval time.Duration
	// SettleTime is the minimum time after the start before the first roster is
	// created, so that nodes can join.
	SettleTime time.Duration
}

// Manager keeps a node's roster up to date, makes roster changes and copies
// claims when the node joins. Run must be called at most once. Forget is safe
// for concurrent use.
type Manager struct {
	config  ManagerConfig
	self    Identity
	started time.Time

	epoch         uint64
	epochSince    time.Time
	pendingChange Change
	pendingSince  time.Time
	lastRead      time.Time
	failures      int
	retryAfter    time.Time
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

// Run reconciles the roster periodically until the context is done.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.config.Interval)
	defer ticker.Stop()
	m.started = m.config.Service.now()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile copies claims if the node is joining and makes at most one roster
// change.
func (m *Manager) reconcile(ctx context.Context) {
	now := m.config.Service.now()
	m.copyClaims(ctx)
	if now.Before(m.retryAfter) {
		return
	}
	err := m.maintainRoster(ctx, now)
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
	m.config.Logger.WithError(err).Warn("roster reconciliation failed")
}

// backoff doubles the interval for each failure, up to the larger of
// maximumBackoff and the interval.
func backoff(interval time.Duration, failures int) time.Duration {
	wait := interval
	for range min(failures, 16) {
		wait *= 2
	}
	return min(wait, max(maximumBackoff, interval))
}

func (m *Manager) maintainRoster(ctx context.Context, now time.Time) error {
	current, ok := m.config.Service.Roster()
	if !ok {
		return m.bootstrap(ctx, now)
	}
	m.trackEpoch(current, now)
	if m.changeDue(current, now) {
		return m.applyChange(ctx, now)
	}
	if now.Sub(m.lastRead) >= refreshInterval && m.rank(current.Epoch) < refreshRanks {
		m.lastRead = now
		_, _, err := m.readRoster(ctx)
		return err
	}
	return nil
}

func (m *Manager) trackEpoch(current Roster, now time.Time) {
	if current.Epoch != m.epoch {
		m.epoch, m.epochSince = current.Epoch, now
		m.pendingChange = ChangeNone
	}
}

// changeDue reports whether this node should make a change now. Changes that
// only this node can make are due immediately. For other changes each node waits
// one interval longer than the node before it in the order given by rank, so
// that they rarely conflict.
func (m *Manager) changeDue(current Roster, now time.Time) bool {
	_, change := Plan(current, m.view(current, now))
	if change != m.pendingChange {
		m.pendingChange, m.pendingSince = change, now
	}
	if change == ChangeNone || change.selfOnly() {
		return change != ChangeNone
	}
	return now.Sub(m.pendingSince) >= time.Duration(1+m.rank(current.Epoch))*m.config.Interval
}

// view returns the input for Plan. A replica that has been joining for longer
// than joinTimeout counts as not alive.
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

// applyChange reads the roster from the store, plans the next one and writes it.
func (m *Manager) applyChange(ctx context.Context, now time.Time) error {
	stored, revision, err := m.readRoster(ctx)
	if err != nil {
		return err
	}
	next, change := Plan(stored, m.view(stored, now))
	if change == ChangeNone {
		return nil
	}
	return m.writeRoster(ctx, revision, next, change)
}

// readRoster reads the roster from the store and adopts it.
func (m *Manager) readRoster(ctx context.Context) (Roster, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	errorBuilder := oops.In("claim").With("step", "read roster")
	entry, err := m.config.Store.Get(ctx, RosterKey)
	if err != nil {
		return Roster{}, 0, errorBuilder.Wrap(err)
	}
	stored, err := DecodeRoster(entry.Value)
	if err != nil {
		return Roster{}, 0, errorBuilder.Wrap(err)
	}
	m.config.Service.Adopt(stored)
	adopted, _ := m.config.Service.Roster()
	if adopted.Lineage != stored.Lineage || adopted.Epoch > stored.Epoch {
		return Roster{}, 0, errorBuilder.With("known", adopted.Epoch).With("stored", stored.Epoch).
			Errorf("roster in the store is older than the adopted one or of another lineage")
	}
	return stored, entry.Revision, nil
}

// writeRoster replaces the roster in the store by compare-and-swap. If the
// outcome is unknown, nothing is adopted; the next reconciliation reads the
// roster again.
func (m *Manager) writeRoster(ctx context.Context, expected store.Revision, next Roster, change Change) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	body, err := EncodeRoster(next)
	if err != nil {
		return err
	}
	_, err = m.config.Store.CompareAndSwap(ctx, RosterKey, expected, body, store.NoLease)
	if errors.Is(err, store.ErrConflict) {
		return nil // another node changed the roster first
	}
	if err != nil {
		return oops.In("claim").With("step", "write roster").With("change", string(change)).Wrap(err)
	}
	m.config.Service.counters.changes.Add(1)
	m.config.Service.Adopt(next)
	m.config.Logger.WithField("change", string(change)).WithField("epoch", next.Epoch).Info("roster changed")
	return nil
}

// Forget marks a holder as lost at an operator's request. The operator must
// ensure that the holder's machine has been shut down permanently.
func (m *Manager) Forget(ctx context.Context, holder Identity) error {
	stored, revision, err := m.readRoster(ctx)
	if err != nil {
		return err
	}
	next, err := stored.NextForget(holder)
	if err != nil {
		return oops.In("claim").With("step", "forget").With("peer", holder.Name).Wrap(err)
	}
	return m.writeRoster(ctx, revision, next, ChangeLost)
}
