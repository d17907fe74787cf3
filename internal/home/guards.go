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
	// idleLifetime is how long a guard without calls is kept. What it learned
	// of the target is forgotten with it.
	idleLifetime = time.Minute
)

// guardOf returns the guard of the target and makes it if need be.
func (m *Manager) guardOf(target *catalog.Target, owner bool) *guard {
	m.mutex.RLock()
	g := m.guards[target.Name]
	m.mutex.RUnlock()
	if g != nil && g.target == target && g.owner == owner {
		return g
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.updateGuard(target, owner)
}

func (m *Manager) updateGuard(target *catalog.Target, owner bool) *guard {
	g := m.guards[target.Name]
	if g != nil && g.target.Address != target.Address {
		g.close()
		g = nil
	}
	switch {
	case g == nil:
		g = m.newGuard(target, owner)
	case g.target != target || g.owner != owner:
		g = g.changed(target, owner)
	}
	m.guards[target.Name] = g
	return g
}

func (m *Manager) newGuard(target *catalog.Target, owner bool) *guard {
	limiter := limit.New(m.limitConfig(target, owner), m.now)
	return &guard{
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

// ceilingOf returns the largest limit of a target: its declared capacity, or
// half of it at a node that is asked although another is the owner by the
// membership that this node sees.
func ceilingOf(target *catalog.Target, owner bool) int {
	ceiling := min(target.Slots, target.Connections)
	if !owner {
		ceiling /= 2
	}
	return max(ceiling, 1)
}

// changed returns the guard for a new version of the target's object.
func (g *guard) changed(target *catalog.Target, owner bool) *guard {
	next := *g
	next.target = target
	next.owner = owner
	if ceiling := ceilingOf(target, owner); ceiling != g.limiter.Ceiling() {
		g.limiter.SetCeiling(ceiling)
		g.scheduler.Wake()
	}
	return &next
}

// sheds reports whether a call of the rank would only wait in vain: calls of its
// rank are being shed, and enough others wait to keep all slots busy.
func (g *guard) sheds(rank criticality.Rank) bool {
	if !g.shedding.Refuses(rank) {
		return false
	}
	stats := g.scheduler.Stats()
	return stats.Queued >= stats.Limit
}

func (g *guard) close() {
	g.scheduler.Close()
	g.pool.Close()
}

func (g *guard) load(now time.Time) Load {
	stats := g.scheduler.Stats()
	return Load{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		QueueDelay: stats.QueueDelay,
		Threshold:  g.shedding.Threshold(),
		Version:    uint64(now.UnixMilli()),
	}
}

// Reset forgets what was learned of the targets and refuses the calls that
// wait. A node that was paused calls it before it does anything else, because
// another node may have become the home meanwhile.
func (m *Manager) Reset() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, g := range m.guards {
		g.close()
		delete(m.guards, name)
	}
}

// Loads returns the state of every guard by the name of its target.
func (m *Manager) Loads() map[string]Load {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	loads := make(map[string]Load, len(m.guards))
	for name, g := range m.guards {
		loads[name] = g.load(m.now())
	}
	return loads
}

// InFlight returns the number of calls at all targets that this node guards.
func (m *Manager) InFlight() int {
	total := 0
	for _, load := range m.Loads() {
		total += load.InFlight + load.Queued
	}
	return total
}

// Maintain updates the shed thresholds and drops idle guards until the context
// ends.
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
	for name, g := range m.guards {
		stats := g.scheduler.Stats()
		g.shedding.Tick(now, ShedState(stats))
		if stats.InFlight+stats.Queued > 0 {
			g.lastUsed = now
		} else if now.Sub(g.lastUsed) > idleLifetime {
			g.close()
			delete(m.guards, name)
		}
	}
}

// ShedState is what the shed threshold of a target depends on.
func ShedState(stats scheduler.Stats) shed.State {
	return shed.State{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		Overloaded: stats.Overloaded,
		Served:     stats.Served,
	}
}
