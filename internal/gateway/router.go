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

// suspicionLifetime is how long a home that refused a connection is passed
// over in favour of the next node in line.
const suspicionLifetime = time.Second

// Router knows the services, picks targets and knows their homes. It is safe
// for concurrent use.
type Router struct {
	node    string
	zone    string
	homes   bool
	warmup  bool
	now     func() time.Time
	shed    *shed.Table
	current atomic.Pointer[routes]

	mutex    sync.Mutex
	started  map[string]start
	suspects sync.Map
}

// routes is one immutable state of the router.
type routes struct {
	view      *catalog.View
	placement *placement.Table
	pickers   map[string]*routing.Picker
	loads     map[string]*serviceLoad
	byHash    map[uint32]*catalog.Target
}

// start is when a target began its present warm-up.
type start struct {
	joinedAt store.Revision
	at       time.Time
}

// RouterConfig describes the node that routes.
type RouterConfig struct {
	// Node and Zone name the node and its zone.
	Node, Zone string
	// Homes lets one node guard each target; off, every node guards all
	// targets on its own.
	Homes bool
	// Warmup raises the share of targets that join step by step.
	Warmup bool
	// Shed holds the shed levels of the services.
	Shed *shed.Table
	Now  func() time.Time
}

// NewRouter returns a router that knows no service.
func NewRouter(config RouterConfig) *Router {
	r := &Router{
		node:    config.Node,
		zone:    config.Zone,
		homes:   config.Homes,
		warmup:  config.Warmup,
		now:     config.Now,
		shed:    config.Shed,
		started: map[string]start{},
	}
	empty := catalog.Empty()
	r.current.Store(&routes{view: empty, placement: placement.Build(empty, nil), pickers: map[string]*routing.Picker{}})
	return r
}

// View returns the configuration that calls are decided on.
func (r *Router) View() *catalog.View { return r.current.Load().view }

// Placement returns the present homes.
func (r *Router) Placement() *placement.Table { return r.current.Load().placement }

// Update takes over a view of the configuration and the live members.
func (r *Router) Update(view *catalog.View, live []membership.Member) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.current.Load()
	next := &routes{
		view:      view,
		placement: placement.Build(view, live),
		pickers:   make(map[string]*routing.Picker, len(view.Services)),
		loads:     make(map[string]*serviceLoad, len(view.Services)),
		byHash:    make(map[uint32]*catalog.Target, len(view.Targets)),
	}
	for name, target := range view.Targets {
		next.byHash[TargetHash(name)] = target
	}
	for name, service := range view.Services {
		next.pickers[name] = r.pickerFor(before, next.placement, service)
		next.loads[name] = loadFor(before, name)
		r.shed.SetWeight(name, liveSlots(service))
	}
	r.forgetShed(before.view, view)
	r.forgetStarts(view)
	r.current.Store(next)
}

func loadFor(before *routes, service string) *serviceLoad {
	if load := before.loads[service]; load != nil {
		return load
	}
	return newServiceLoad()
}

// suspectWeight is the weight of a target whose homes are all suspected to have
// failed: calls to it would wait for an answer until their deadline.
const suspectWeight = 0.02

// weightOf returns the share of its capacity at which a target is picked.
func (r *Router) weightOf(homes []membership.Member) float64 {
	for _, member := range homes {
		if member.Name == r.node || member.State != membership.Suspect {
			return 1
		}
	}
	if len(homes) == 0 || !r.homes {
		return 1
	}
	return suspectWeight
}

func (r *Router) pickerFor(before *routes, homes *placement.Table, service *catalog.Service) *routing.Picker {
	picker := before.pickers[service.Name]
	if picker == nil {
		picker = routing.NewPicker(routing.Config{Warmup: warmupOf(service)}, r.now)
	}
	initial := len(before.view.Targets) == 0
	candidates := make([]routing.Candidate, 0, len(service.Targets))
	for _, target := range service.Targets {
		candidates = append(candidates, routing.Candidate{
			Name:        target.Name,
			Address:     target.Address,
			Zone:        target.Zone,
			Weight:      r.weightOf(homes.Homes(target.Name)),
			Draining:    target.Draining,
			WarmupStart: r.startOf(target, initial),
			Slots:       target.Slots,
		})
	}
	picker.Update(candidates)
	return picker
}

// startOf returns when the target began to warm up; targets that a node finds
// when it starts are taken for warm.
func (r *Router) startOf(target *catalog.Target, initial bool) time.Time {
	known, found := r.started[target.Name]
	if found && known.joinedAt == target.JoinedAt {
		return known.at
	}
	begun := start{joinedAt: target.JoinedAt}
	if !initial && r.warmup {
		begun.at = r.now()
	}
	r.started[target.Name] = begun
	return begun.at
}

func (r *Router) forgetStarts(view *catalog.View) {
	for name := range r.started {
		if view.Targets[name] == nil {
			delete(r.started, name)
		}
	}
}

func (r *Router) forgetShed(before, after *catalog.View) {
	for name, target := range before.Targets {
		now := after.Targets[name]
		if now == nil || now.Draining || now.Service != target.Service {
			r.shed.Remove(target.Service, name)
		}
	}
	for name := range before.Services {
		if after.Services[name] == nil {
			r.shed.SetWeight(name, 0)
		}
	}
}

func warmupOf(service *catalog.Service) time.Duration {
	var longest int
	for _, target := range service.Targets {
		longest = max(longest, target.WarmupSeconds)
	}
	return time.Duration(longest) * time.Second
}

func liveSlots(service *catalog.Service) float64 {
	slots := 0
	for _, target := range service.Targets {
		if !target.Draining {
			slots += target.Slots
		}
	}
	return float64(slots)
}

// TargetHash returns the hash by which gossip names a target.
func TargetHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// TargetByHash returns the target whose name has the hash, or nil.
func (r *Router) TargetByHash(hash uint32) *catalog.Target { return r.current.Load().byHash[hash] }
