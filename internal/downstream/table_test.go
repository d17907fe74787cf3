package downstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// node is a home of one service with the calls that its runs make.
type node struct {
	*Table
	slotTime time.Duration
	calls    []Call
	// previousBuild is set if the node neither asks for figures nor reports them.
	previousBuild bool
}

// mesh holds one home of each service, by service; the route of a service has its name.
type mesh struct {
	now   time.Time
	nodes map[string]*node
}

// newMesh returns a chain of services a, b, c and d with 1, 2 and 4 calls, and an entry node.
func newMesh() *mesh {
	m := &mesh{now: time.Unix(1000, 0), nodes: make(map[string]*node)}
	chain := []string{"entry", "a", "b", "c", "d"}
	for i, service := range chain {
		n := &node{Table: New(service, func() time.Time { return m.now }), slotTime: time.Duration(40-5*i) * time.Millisecond}
		if count := []int{0, 1, 2, 4}[i%4]; i > 0 && i < 4 {
			n.calls = []Call{{chain[i+1], chain[i+1], count}}
		}
		m.nodes[service] = n
	}
	return m
}

// request runs a request of the route at a home of the service, with its calls, and returns what the
// caller receives.
func (m *mesh) request(caller *node, route, service string) {
	home := m.nodes[service]
	wanted := !caller.previousBuild && caller.Wanted(route, service)
	for _, c := range home.calls {
		for range c.Count {
			m.request(home, c.Route, c.Service)
		}
	}
	home.RecordRun(route, home.slotTime, home.calls)
	if wanted && !home.previousBuild {
		caller.Merge(route, service, home.Costs(route))
	}
}

// requests sends requests for a period, one every 10 ms, and returns the last figures at the entry.
func (m *mesh) requests(route, service string, duration time.Duration) map[string]Cost {
	for range duration / (10 * time.Millisecond) {
		m.now = m.now.Add(10 * time.Millisecond)
		m.request(m.nodes["entry"], route, service)
	}
	costs := make(map[string]Cost)
	m.nodes["entry"].Learned(func(learnedRoute string, c Cost) {
		if learnedRoute == route {
			costs[c.Service] = c
		}
	})
	return costs
}

func assertCost(t *testing.T, cost Cost, calls float64, slotTime time.Duration) {
	t.Helper()
	assert.Assert(t, cost.Calls > 0.9*calls && cost.Calls < 1.1*calls, "%+v", cost)
	assert.Assert(t, cost.SlotTime >= slotTime*9/10 && cost.SlotTime <= slotTime*11/10, "%+v", cost)
}

// assertNeeded checks the services that the entry node considers necessary.
func assertNeeded(t *testing.T, m *mesh, route, service string, complete bool, services ...string) {
	t.Helper()
	needed, known := m.nodes["entry"].Services(route, service)
	assert.Equal(t, strings.Join(needed, " "), strings.Join(services, " "))
	assert.Equal(t, known, complete)
}

// TestCostsOfAChain guards against figures that leave out a part of the call tree.
func TestCostsOfAChain(t *testing.T) {
	m := newMesh()
	costs := m.requests("a", "a", 500*time.Millisecond)
	assert.Equal(t, len(costs), 4)
	for service, want := range map[string]struct {
		calls    float64
		slotTime time.Duration
	}{"a": {1, 35 * time.Millisecond}, "b": {1, 30 * time.Millisecond}, "c": {2, 50 * time.Millisecond}, "d": {8, 160 * time.Millisecond}} {
		assertCost(t, costs[service], want.calls, want.slotTime)
	}
	assertNeeded(t, m, "a", "a", true, "a", "b", "c", "d")
}

// TestChangesAreFollowed guards against figures of a former configuration: a service that is replaced, at
// the entry and behind it, a route that is renamed, and calls that most requests no longer make.
func TestChangesAreFollowed(t *testing.T) {
	m := newMesh()
	m.requests("a", "a", time.Second)
	assertNeeded(t, m, "renamed", "a", false)
	assertCost(t, m.requests("renamed", "a", time.Second)["d"], 8, 160*time.Millisecond)
	m.nodes["d2"] = &node{Table: New("d2", func() time.Time { return m.now }), slotTime: 5 * time.Millisecond}
	m.nodes["c"].calls = []Call{{"d", "d2", 4}}
	assertCost(t, m.requests("renamed", "a", 1500*time.Millisecond)["d2"], 8, 40*time.Millisecond)
	m.nodes["b2"] = &node{Table: New("b2", func() time.Time { return m.now }), slotTime: 5 * time.Millisecond}
	assertNeeded(t, m, "renamed", "b2", false)
	m.requests("renamed", "b2", time.Second)
	assertNeeded(t, m, "renamed", "b2", true, "b2")
}

// TestNodesOfThePreviousBuild guards against conclusions from missing figures.
func TestNodesOfThePreviousBuild(t *testing.T) {
	m := newMesh()
	m.nodes["c"].previousBuild = true
	costs := m.requests("a", "a", time.Second)
	assert.Equal(t, len(costs), 3, "what lies behind c is unknown")
	assertCost(t, costs["c"], 2, 0)
	assertNeeded(t, m, "a", "a", false, "a", "b", "c")
}

// TestRareCallsAreNotNeeded guards against refusals of requests because of a service that only few
// requests of their route call.
func TestRareCallsAreNotNeeded(t *testing.T) {
	m := newMesh()
	for i := range 400 {
		m.nodes["a"].calls = nil
		if i%10 == 0 {
			m.nodes["a"].calls = []Call{{"b", "b", 1}}
		}
		m.requests("a", "a", 10*time.Millisecond)
	}
	assertNeeded(t, m, "a", "a", true, "a")
}

// TestRoutesAreBounded guards against state that grows with the number of routes, and against figures
// that outlive a minute without use.
func TestRoutesAreBounded(t *testing.T) {
	m := newMesh()
	entry := m.nodes["entry"]
	for i := range 10_000 {
		route := fmt.Sprint(i)
		entry.RecordRun(route, time.Second, nil)
		assert.Equal(t, entry.Wanted(route, "a"), i < maxRoutes)
		entry.Merge(route, "a", []Cost{{Service: "a", Calls: 1, Share: 1}})
	}
	assert.Equal(t, len(entry.learned)+len(entry.runs), 2*maxRoutes)
	assertNeeded(t, m, "0", "a", false, "a")
	m.now = m.now.Add(unusedAge)
	assertNeeded(t, m, "0", "a", false)
	assert.Assert(t, entry.Wanted("new", "a"))
}
