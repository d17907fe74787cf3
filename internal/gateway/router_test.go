package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/shed"
)

func member(name, zone string, state membership.State) membership.Member {
	return membership.Member{Name: name, Zone: zone, PeerAddress: name + ":1", State: state}
}

// A zone that stopped responding must be avoided as soon as its nodes are suspected to
// have failed, long before they are declared dead, because calls to it would fail only
// when their deadline expires.
func TestTargetsWithSuspectedHomesAreAvoided(t *testing.T) {
	service := &catalog.Service{Name: "s"}
	view := &catalog.View{Services: map[string]*catalog.Service{"s": service}, Targets: map[string]*catalog.Target{}}
	for _, zone := range []string{"near", "far"} {
		target := &catalog.Target{Name: "s-" + zone, Target: resource.Target{Service: "s", Zone: zone, Slots: 10, Connections: 10}}
		view.Targets[target.Name] = target
		service.Targets = append(service.Targets, target)
	}
	callsToFarZone := func(state membership.State) int {
		now := time.Unix(1000, 0)
		r := NewRouter(RouterConfig{Node: "here", Zone: "elsewhere", Homes: true, Shed: shed.NewTable(shed.TableConfig{}), Now: func() time.Time { return now }})
		r.Update(view, []membership.Member{
			member("here", "elsewhere", membership.Alive), member("a", "near", membership.Alive),
			member("b", "far", state), member("c", "far", state),
		})
		count := 0
		for range 1000 {
			route, found := r.Pick("s", nil)
			assert.Assert(t, found)
			if route.Target.Zone == "far" {
				count++
			}
			route.picker.Done(route.Target.Name)
		}
		return count
	}
	assert.Assert(t, callsToFarZone(membership.Alive) > 300)
	assert.Assert(t, callsToFarZone(membership.Suspect) < 100, "%d of 1000 calls go to the suspected zone", callsToFarZone(membership.Suspect))
}

func TestSuspectedHomeIsReplacedByFallback(t *testing.T) {
	target := &catalog.Target{Name: "s-1", Target: resource.Target{Service: "s", Zone: "z", Slots: 10, Connections: 10}}
	service := &catalog.Service{Name: "s", Targets: []*catalog.Target{target}}
	view := &catalog.View{Services: map[string]*catalog.Service{"s": service}, Targets: map[string]*catalog.Target{"s-1": target}}
	route := func(states map[string]membership.State) Route {
		r := NewRouter(RouterConfig{Node: "here", Zone: "y", Homes: true, Shed: shed.NewTable(shed.TableConfig{}), Now: time.Now})
		r.Update(view, []membership.Member{member("a", "z", states["a"]), member("b", "z", states["b"])})
		picked, found := r.Pick("s", nil)
		assert.Assert(t, found)
		return picked
	}
	first := route(nil)
	assert.Assert(t, first.Owner)
	second := route(map[string]membership.State{first.Home: membership.Suspect})
	assert.Assert(t, second.Home != first.Home && !second.Owner)
	both := route(map[string]membership.State{"a": membership.Suspect, "b": membership.Suspect})
	assert.Equal(t, both.Home, first.Home, "all homes are suspected, so the primary one is used")
}
