package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/placement"
	"github.com/lugspur/lugspur/internal/routing"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
)

// unreachablePeriod is how long the router uses the next candidate instead of a home
// node to which a connection failed.
const unreachablePeriod = time.Second

// Router selects the targets of calls and their home nodes. It is safe for
// concurrent use.
type Router struct {
	node     string
	zone     string
	useHomes bool
	warmup   bool
	now      func() time.Time
	shed     *shed.Table
	current  atomic.Pointer[routerSnapshot]

	// updateMutex serializes updates and guards warmupStarts, which is keyed by the
	// names of targets.
	updateMutex  sync.Mutex
	warmupStarts map[string]warmupStart
	// unreachableUntil maps the peer address of a node to the end of its
	// unreachablePeriod.
	unreachableUntil sync.Map
}

// routerSnapshot is an immutable snapshot of the configuration and the placement. The
// maps pickers and loads are keyed by the names of services.
type routerSnapshot struct {
	view          *catalog.View
	placement     *placement.Table
	pickers       map[string]*routing.Picker
	loads         map[string]*serviceLoad
	targetsByHash map[uint32]*catalog.Target
}

// warmupStart is the start of a target's current warm-up.
type warmupStart struct {
	drainDeletedAt store.Revision
	startedAt      time.Time
}

// RouterConfig configures a Router.
type RouterConfig struct {
	// Node and Zone are the names of the node and its zone.
	Node, Zone string
	// Homes enables routing all calls to a target through its home node. If it is
	// disabled, every node admits calls to all targets independently.
	Homes bool
	// Warmup enables a gradual increase of the calls to a target that is new or whose
	// drain was deleted.
	Warmup bool
	// Shed holds the shed thresholds of the services.
	Shed *shed.Table
	Now  func() time.Time
}

// NewRouter returns a router with an empty configuration.
func NewRouter(config RouterConfig) *Router {
	r := &Router{
		node:         config.Node,
		zone:         config.Zone,
		useHomes:     config.Homes,
		warmup:       config.Warmup,
		now:          config.Now,
		shed:         config.Shed,
		warmupStarts: map[string]warmupStart{},
	}
	empty := catalog.Empty()
	r.current.Store(&routerSnapshot{view: empty, placement: placement.Build(empty, nil), pickers: map[string]*routing.Picker{}})
	return r
}

// View returns the configuration view in effect.
func (r *Router) View() *catalog.View { return r.current.Load().view }

// Placement returns the current placement of targets on home nodes.
func (r *Router) Placement() *placement.Table { return r.current.Load().placement }

// Update replaces the view of the configuration and the live members.
func (r *Router) Update(view *catalog.View, live []membership.Member) {
	r.updateMutex.Lock()
	defer r.updateMutex.Unlock()
	previous := r.current.Load()
	next := &routerSnapshot{
		view:          view,
		placement:     placement.Build(view, live),
		pickers:       make(map[string]*routing.Picker, len(view.Services)),
		loads:         make(map[string]*serviceLoad, len(view.Services)),
		targetsByHash: make(map[uint32]*catalog.Target, len(view.Targets)),
	}
	for name, target := range view.Targets {
		next.targetsByHash[TargetHash(name)] = target
	}
	for name, service := range view.Services {
		next.pickers[name] = r.pickerFor(previous, next.placement, service)
		next.loads[name] = loadFor(previous, name)
		r.shed.SetWeight(name, nonDrainingSlots(service))
	}
	r.removeShedEntries(previous.view, view)
	r.removeWarmupStarts(view)
	r.current.Store(next)
}

func loadFor(previous *routerSnapshot, service string) *serviceLoad {
	if load := previous.loads[service]; load != nil {
		return load
	}
	return newServiceLoad()
}

// suspectWeight is the weight of a target whose home nodes are all suspected to
// have failed. It is low because a call to a failed home fails only when its deadline
// expires.
const suspectWeight = 0.02

// weightOf returns the factor that the picker applies to the capacity of a target with
// these home nodes.
func (r *Router) weightOf(homes []membership.Member) float64 {
	for _, member := range homes {
		if member.Name == r.node || member.State != membership.Suspect {
			return 1
		}
	}
	if len(homes) == 0 || !r.useHomes {
		return 1
	}
	return suspectWeight
}

func (r *Router) pickerFor(previous *routerSnapshot, homes *placement.Table, service *catalog.Service) *routing.Picker {
	picker := previous.pickers[service.Name]
	if picker == nil {
		picker = routing.NewPicker(routing.Config{Warmup: longestWarmup(service)}, r.now)
	}
	initial := len(previous.view.Targets) == 0
	candidates := make([]routing.Candidate, 0, len(service.Targets))
	for _, target := range service.Targets {
		candidates = append(candidates, routing.Candidate{
			Name:        target.Name,
			Address:     target.Address,
			Zone:        target.Zone,
			Weight:      r.weightOf(homes.Homes(target.Name)),
			Draining:    target.Draining,
			WarmupStart: r.warmupStartOf(target, initial),
			Slots:       target.Slots,
		})
	}
	picker.Update(candidates)
	return picker
}

// warmupStartOf returns when the target's warm-up started, or the zero time if the
// target is warm. Targets in the first configuration after the node's start are
// considered warm.
func (r *Router) warmupStartOf(target *catalog.Target, initial bool) time.Time {
	existing, found := r.warmupStarts[target.Name]
	if found && existing.drainDeletedAt == target.DrainDeletedAt {
		return existing.startedAt
	}
	start := warmupStart{drainDeletedAt: target.DrainDeletedAt}
	if !initial && r.warmup {
		start.startedAt = r.now()
	}
	r.warmupStarts[target.Name] = start
	return start.startedAt
}

func (r *Router) removeWarmupStarts(view *catalog.View) {
	for name := range r.warmupStarts {
		if view.Targets[name] == nil {
			delete(r.warmupStarts, name)
		}
	}
}

// removeShedEntries removes the shed thresholds of targets that were deleted, started
// draining or changed their service, and the weights of deleted services.
func (r *Router) removeShedEntries(previous, next *catalog.View) {
	for name, target := range previous.Targets {
		current := next.Targets[name]
		if current == nil || current.Draining || current.Service != target.Service {
			r.shed.Remove(target.Service, name)
		}
	}
	for name := range previous.Services {
		if next.Services[name] == nil {
			r.shed.SetWeight(name, 0)
		}
	}
}

// longestWarmup returns the longest warm-up time of the service's targets.
func longestWarmup(service *catalog.Service) time.Duration {
	var longest int
	for _, target := range service.Targets {
		longest = max(longest, target.WarmupSeconds)
	}
	return time.Duration(longest) * time.Second
}

func nonDrainingSlots(service *catalog.Service) float64 {
	slots := 0
	for _, target := range service.Targets {
		if !target.Draining {
			slots += target.Slots
		}
	}
	return float64(slots)
}

// TargetHash returns the hash that identifies a target in gossip messages.
func TargetHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// TargetByHash returns the target whose name has the hash, or nil if there is none.
func (r *Router) TargetByHash(hash uint32) *catalog.Target {
	return r.current.Load().targetsByHash[hash]
}
