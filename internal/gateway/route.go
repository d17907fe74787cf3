package gateway

import (
	"time"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/routing"
	"github.com/lugspur/lugspur/internal/shed"
)

// Route is the destination of one attempt of a call.
type Route struct {
	Target *catalog.Target
	// Peer is the peer address of the home node that admits the call, or empty if that
	// is this node.
	Peer string
	// Home is the name of the home node that admits the call.
	Home string
	// Owner reports whether Home owns the target: it is the primary home, not a
	// fallback.
	Owner  bool
	picker *routing.Picker
	load   *serviceLoad
}

// Load returns the aggregate of the loads that the homes of the service's targets last
// reported.
func (r *Router) Load(service string) policy.Load {
	load := r.current.Load().loads[service]
	if load == nil {
		return policy.Load{}
	}
	return load.aggregate(r.now())
}

// Pick returns a route to a target that is not excluded. The caller must call Done
// with the route.
func (r *Router) Pick(service string, exclude []string) (Route, bool) {
	snapshot := r.current.Load()
	picker := snapshot.pickers[service]
	if picker == nil {
		return Route{}, false
	}
	candidate, found := picker.Pick(r.zone, exclude, r.now())
	if !found {
		return Route{}, false
	}
	target := snapshot.view.Targets[candidate.Name]
	if target == nil {
		return Route{}, false
	}
	picker.Begin(candidate.Name)
	route := r.routeTo(snapshot, target)
	route.picker = picker
	route.load = snapshot.loads[service]
	return route, true
}

// routeTo selects the home node that admits a call to the target: the first candidate
// that is reachable and not suspected to have failed, else the first that is
// reachable. If no candidate is reachable, this node admits the call itself.
func (r *Router) routeTo(snapshot *routerSnapshot, target *catalog.Target) Route {
	if !r.useHomes {
		return Route{Target: target, Home: r.node, Owner: true}
	}
	homes := snapshot.placement.Homes(target.Name)
	for _, reachable := range []func(membership.Member) bool{r.isResponsive, r.isReachable} {
		for i, member := range homes {
			if member.Name == r.node {
				return Route{Target: target, Home: r.node, Owner: i == 0}
			}
			if reachable(member) {
				return Route{Target: target, Home: member.Name, Peer: member.PeerAddress, Owner: i == 0}
			}
		}
	}
	return Route{Target: target, Home: r.node}
}

// isResponsive reports whether the node is reachable and not suspected to have
// failed.
func (r *Router) isResponsive(member membership.Member) bool {
	return member.State != membership.Suspect && r.isReachable(member)
}

// isReachable reports whether no connection to the node has failed within
// unreachablePeriod.
func (r *Router) isReachable(member membership.Member) bool {
	return !r.isUnreachable(member.PeerAddress)
}

// Done ends the attempt that uses the route and records the load that the home
// reported, if any.
func (r *Router) Done(route Route, load home.Load) {
	route.picker.Done(route.Target.Name)
	if load.Limit == 0 {
		return
	}
	now := r.now()
	route.load.record(route.Target.Name, load, now)
	route.picker.Report(route.Target.Name, float64(load.InFlight+load.Queued)/float64(load.Limit))
	r.shed.Update(shed.Entry{
		Service:   route.Target.Service,
		Target:    route.Target.Name,
		Origin:    route.Home,
		Threshold: load.Threshold,
		Weight:    float64(route.Target.Slots),
		Version:   load.Version,
	}, now)
}

// MarkUnreachable records that the node at the peer address could not be reached.
func (r *Router) MarkUnreachable(peer string) {
	if peer != "" {
		r.unreachableUntil.Store(peer, r.now().Add(unreachablePeriod))
	}
}

func (r *Router) isUnreachable(peer string) bool {
	until, found := r.unreachableUntil.Load(peer)
	if !found {
		return false
	}
	if r.now().Before(until.(time.Time)) {
		return true
	}
	r.unreachableUntil.Delete(peer)
	return false
}
