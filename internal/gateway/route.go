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

// Route is where one attempt of a call goes.
type Route struct {
	Target *catalog.Target
	// Peer is the peer address of the home, empty when this node is the home.
	Peer string
	// Home names the home.
	Home string
	// Owner tells whether the home is the first in line for the target.
	Owner  bool
	picker *routing.Picker
	load   *serviceLoad
}

// Load returns what the homes of the service's targets last told of their load.
func (r *Router) Load(service string) policy.Load {
	load := r.current.Load().loads[service]
	if load == nil {
		return policy.Load{}
	}
	return load.load(r.now())
}

// Pick chooses a target that is none of the excluded ones. The route must end
// by Done.
func (r *Router) Pick(service string, exclude []string) (Route, bool) {
	routes := r.current.Load()
	picker := routes.pickers[service]
	if picker == nil {
		return Route{}, false
	}
	candidate, found := picker.Pick(r.zone, exclude, r.now())
	if !found {
		return Route{}, false
	}
	target := routes.view.Targets[candidate.Name]
	if target == nil {
		return Route{}, false
	}
	picker.Begin(candidate.Name)
	route := r.routeTo(routes, target)
	route.picker = picker
	route.load = routes.loads[service]
	return route, true
}

// routeTo finds the home: the first in line that answers as far as is known,
// else the first that has not just refused a connection. A target without a
// reachable home is guarded by this node itself.
func (r *Router) routeTo(routes *routes, target *catalog.Target) Route {
	if !r.homes {
		return Route{Target: target, Home: r.node, Owner: true}
	}
	homes := routes.placement.Homes(target.Name)
	for _, reachable := range []func(membership.Member) bool{r.answers, r.takesConnections} {
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

// answers reports whether the node is not suspected to have failed.
func (r *Router) answers(member membership.Member) bool {
	return member.State != membership.Suspect && r.takesConnections(member)
}

// takesConnections reports whether the node has not refused a connection of
// this one lately.
func (r *Router) takesConnections(member membership.Member) bool {
	return !r.suspect(member.PeerAddress)
}

// Done ends a route and takes in the load that the home stated, if it did.
func (r *Router) Done(route Route, load home.Load) {
	route.picker.Done(route.Target.Name)
	if load.Limit == 0 {
		return
	}
	now := r.now()
	route.load.report(route.Target.Name, load, now)
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

// Suspect notes that the home at the peer address could not be reached.
func (r *Router) Suspect(peer string) {
	if peer != "" {
		r.suspects.Store(peer, r.now().Add(suspicionLifetime))
	}
}

func (r *Router) suspect(peer string) bool {
	until, found := r.suspects.Load(peer)
	if !found {
		return false
	}
	if r.now().Before(until.(time.Time)) {
		return true
	}
	r.suspects.Delete(peer)
	return false
}
