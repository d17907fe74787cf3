package downstream

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// node is a home of one service with the calls that its runs make. A node of the previous build neither asks
// for figures nor reports them.
type node struct {
	*Table
	slotTime      time.Duration
	calls         []Call
	previousBuild bool
}

// mesh holds one home of each service, by service. The route of a service has its name.
type mesh struct {
	t     *testing.T
	now   time.Time
	nodes map[string]*node
}

// newMesh returns an entry node and a chain of services a, b, c and d with 1, 2 and 4 calls.
func newMesh(t *testing.T) *mesh {
	m := &mesh{t: t, now: time.Unix(1000, 0), nodes: make(map[string]*node)}
	m.add("entry", 0)
	m.add("a", 35, Call{"b", "b", 1})
	m.add("b", 30, Call{"c", "c", 2})
	m.add("c", 25, Call{"d", "d", 4})
	m.add("d", 20)
	return m
}

func (m *mesh) add(service string, slotTime time.Duration, calls ...Call) {
	m.nodes[service] = &node{Table: New(service, func() time.Time { return m.now }), slotTime: slotTime * time.Millisecond, calls: calls}
}

// request runs a request at a home of the service, with its calls, and returns figures if asked for.
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

// requests sends one request every 10 ms.
func (m *mesh) requests(route, service string, count int) {
	for range count {
		m.now = m.now.Add(10 * time.Millisecond)
		m.request(m.nodes["entry"], route, service)
	}
}

// assertNeeded checks the services that the entry node considers necessary.
func (m *mesh) assertNeeded(route, service string, complete bool, services string) {
	m.t.Helper()
	needed, known := m.nodes["entry"].Services(route, service)
	assert.Equal(m.t, strings.Join(needed, " "), services)
	assert.Equal(m.t, known, complete)
}

// assertCost checks the figures at the entry node. The slot time is in milliseconds.
func (m *mesh) assertCost(route, service string, calls, slotTime float64) {
	m.t.Helper()
	var cost Cost
	m.nodes["entry"].Learned(func(learned string, c Cost) {
		if learned == route && c.Service == service {
			cost = c
		}
	})
	millis := cost.SlotTime.Seconds() * 1000
	assert.Assert(m.t, cost.Calls > 0.9*calls && cost.Calls < 1.1*calls && millis >= 0.9*slotTime && millis <= 1.1*slotTime, "%+v", cost)
}

// TestCostsOfAChain guards against figures that leave out a part of the call tree, or that follow from missing
// figures of nodes of the previous build.
func TestCostsOfAChain(t *testing.T) {
	m := newMesh(t)
	m.requests("a", "a", 50)
	for i, service := range []string{"a", "b", "c", "d"} {
		m.assertCost("a", service, []float64{1, 1, 2, 8}[i], []float64{35, 30, 50, 160}[i])
	}
	m.assertNeeded("a", "a", true, "a b c d")
	m = newMesh(t)
	m.nodes["c"].previousBuild = true
	m.requests("a", "a", 100)
	m.assertCost("a", "c", 2, 0)
	m.assertNeeded("a", "a", false, "a b c")
}

// TestChangesAreFollowed guards against figures of a former configuration: a route that is renamed, a service
// that is replaced behind a home or at the entry, and a called route whose weights move to another service.
func TestChangesAreFollowed(t *testing.T) {
	m := newMesh(t)
	m.requests("a", "a", 100)
	m.assertNeeded("renamed", "a", false, "")
	m.requests("renamed", "a", 100)
	m.assertCost("renamed", "d", 8, 160)
	m.add("d2", 5)
	m.nodes["c"].calls = []Call{{"d", "d2", 3}, {"d", "d", 1}}
	m.requests("renamed", "a", 150)
	m.assertCost("renamed", "d2", 6, 30)
	m.assertCost("renamed", "d", 2, 40)
	m.add("b2", 5)
	m.assertNeeded("renamed", "b2", false, "")
	m.requests("renamed", "b2", 100)
	m.assertNeeded("renamed", "b2", true, "b2")
}

// TestRareCallsAreNotNeeded guards against refusals of requests because of a service that only few requests of
// their route call, though many times.
func TestRareCallsAreNotNeeded(t *testing.T) {
	m := newMesh(t)
	calls := m.nodes["a"].calls
	for i := range 400 {
		m.nodes["a"].calls = calls[:(i%10)/9]
		m.requests("a", "a", 1)
	}
	m.assertNeeded("a", "a", true, "a")
}

// TestFewRunsReportNothing guards against refusals because of a service that the first of a home's requests
// happened to call.
func TestFewRunsReportNothing(t *testing.T) {
	m := newMesh(t)
	m.requests("a", "a", 1)
	m.nodes["a"].calls = nil
	m.requests("a", "a", MinRuns-2)
	assert.Equal(t, len(m.nodes["a"].Costs("a")), 0)
	m.requests("a", "a", 30)
	m.assertNeeded("a", "a", false, "a")
}

// TestOldFiguresAreNotUsed guards against a route that is refused for ever because of a service that its
// requests no longer need: while none of them is admitted, nobody is asked.
func TestOldFiguresAreNotUsed(t *testing.T) {
	m := newMesh(t)
	m.requests("a", "a", 50)
	for range 5 {
		m.assertNeeded("a", "a", true, "a b c d")
		m.now = m.now.Add(time.Second)
	}
	m.assertNeeded("a", "a", false, "")
	assert.Assert(t, m.nodes["entry"].Wanted("a", "a"))
}

// TestRoutesAreBounded guards against state that grows with the number of routes, and against figures that
// outlive a minute without use.
func TestRoutesAreBounded(t *testing.T) {
	m := newMesh(t)
	entry := m.nodes["entry"]
	for i := range 10_000 {
		route := strconv.Itoa(i)
		entry.RecordRun(route, time.Second, nil)
		assert.Equal(t, entry.Wanted(route, "a"), i < maxRoutes)
		entry.Merge(route, "a", []Cost{{Service: "a", Calls: 1, Share: 1}})
	}
	assert.Equal(t, len(entry.learned)+len(entry.runs), 2*maxRoutes)
	m.assertNeeded("0", "a", false, "a")
	m.now = m.now.Add(unusedAge)
	m.assertNeeded("0", "a", false, "")
	assert.Assert(t, entry.Wanted("new", "a"))
}
