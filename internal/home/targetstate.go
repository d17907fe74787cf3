package home

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/transport"
)

const (
	// tickPeriod is the time between two updates of the shed thresholds.
	tickPeriod = 50 * time.Millisecond
	// idleLifetime is how long the state of a target without calls is kept. The
	// limit that was learned for the target is lost with it.
	idleLifetime = time.Minute
)

// stateOf returns the target's state and creates or updates it if necessary.
func (m *Manager) stateOf(target *catalog.Target, owner bool) *targetState {
	m.mutex.RLock()
	s := m.targets[target.Name]
	m.mutex.RUnlock()
	if s != nil && s.target == target && s.owner == owner {
		return s
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.updateState(target, owner)
}

func (m *Manager) updateState(target *catalog.Target, owner bool) *targetState {
	s := m.targets[target.Name]
	if s != nil && s.target.Address != target.Address {
		s.close()
		s = nil
	}
	switch {
	case s == nil:
		s = m.newState(target, owner)
	case s.target != target || s.owner != owner:
		s = s.withTarget(target, owner)
	}
	m.targets[target.Name] = s
	return s
}

func (m *Manager) newState(target *catalog.Target, owner bool) *targetState {
	limiter := limit.New(m.limitConfig(target, owner), m.now)
	return &targetState{
		target:    target,
		owner:     owner,
		limiter:   limiter,
		scheduler: scheduler.New(m.settings.Queue, limiter, m.now),
		shedding:  shed.NewController(shed.Config{}),
		pool: transport.NewPool(transport.Config{
			Address:        target.Address,
			MaxConnections: target.Connections,
			MaxBuffered:    m.settings.MaxBuffered,
		}),
		lastUsed: m.now(),
	}
}

func (m *Manager) limitConfig(target *catalog.Target, owner bool) limit.Config {
	ceiling := ceilingOf(target, owner)
	config := limit.Config{Ceiling: ceiling}
	if m.settings.FixedLimit {
		config.Initial = ceiling
		config.Minimum = ceiling
	}
	return config
}

// ceilingOf returns the maximum limit of a target: its declared capacity, or
// half of it if this node received a call although another node is the owner
// according to its own view of the membership.
func ceilingOf(target *catalog.Target, owner bool) int {
	ceiling := min(target.Slots, target.Connections)
	if !owner {
		ceiling /= 2
	}
	return max(ceiling, 1)
}

// withTarget returns the state for a new version of the target's object.
func (s *targetState) withTarget(target *catalog.Target, owner bool) *targetState {
	updated := *s
	updated.target = target
	updated.owner = owner
	if ceiling := ceilingOf(target, owner); ceiling != s.limiter.Ceiling() {
		s.limiter.SetCeiling(ceiling)
		s.scheduler.Wake()
	}
	return &updated
}

// shouldShed reports whether a call of the rank is refused without queueing:
// calls of its rank are being shed, and the queued calls suffice to keep all
// slots busy.
func (s *targetState) shouldShed(rank criticality.Rank) bool {
	if !s.shedding.Refuses(rank) {
		return false
	}
	stats := s.scheduler.Stats()
	return stats.Queued >= stats.Limit
}

func (s *targetState) close() {
	s.scheduler.Close()
	s.pool.Close()
}

func (s *targetState) load(now time.Time) Load {
	stats := s.scheduler.Stats()
	return Load{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		QueueDelay: stats.QueueDelay,
		Threshold:  s.shedding.Threshold(),
		Version:    uint64(now.UnixMilli()),
	}
}

// Reset drops the state of all targets and refuses queued calls. A node whose
// process was paused must call it before it does anything else, because another
// node may have become the home in the meantime.
func (m *Manager) Reset() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, s := range m.targets {
		s.close()
		delete(m.targets, name)
	}
}

// Loads returns the loads by target name.
func (m *Manager) Loads() map[string]Load {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	loads := make(map[string]Load, len(m.targets))
	for name, s := range m.targets {
		loads[name] = s.load(m.now())
	}
	return loads
}

// ActiveCalls returns the number of calls in flight or queued at all targets.
func (m *Manager) ActiveCalls() int {
	total := 0
	for _, load := range m.Loads() {
		total += load.InFlight + load.Queued
	}
	return total
}

// Maintain updates the shed thresholds and drops idle targets until the context
// is done.
func (m *Manager) Maintain(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.tick()
		}
	}
}

func (m *Manager) tick() {
	now := m.now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, s := range m.targets {
		stats := s.scheduler.Stats()
		s.shedding.Tick(now, ShedState(stats))
		if stats.InFlight+stats.Queued > 0 {
			s.lastUsed = now
		} else if now.Sub(s.lastUsed) > idleLifetime {
			s.close()
			delete(m.targets, name)
		}
	}
}

// ShedState returns the input for the shed threshold of a target.
func ShedState(stats scheduler.Stats) shed.State {
	return shed.State{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		Overloaded: stats.Overloaded,
		Served:     stats.Served,
	}
}
