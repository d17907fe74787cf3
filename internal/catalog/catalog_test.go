package catalog

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// objects is a Source that keeps deleted objects as tombstones.
type objects map[resource.ID]resource.Versioned

func (o objects) List(kind resource.Kind) []resource.Versioned {
	var listed []resource.Versioned
	for id, object := range o {
		if id.Kind == kind && !object.Deleted {
			listed = append(listed, object)
		}
	}
	return listed
}

func (o objects) Get(id resource.ID) (resource.Versioned, bool) {
	object, found := o[id]
	return object, found
}

func (o objects) put(revision store.Revision, e resource.Envelope) {
	o[e.ID] = resource.Versioned{Envelope: e, Revision: revision}
}

func (o objects) service(name string, calls ...string) {
	o.put(1, resource.Envelope{ID: resource.ID{Kind: resource.KindService, Name: name}, Service: &resource.Service{Calls: calls}})
}

func (o objects) target(name, service, machine string) {
	o.put(2, resource.Envelope{ID: resource.ID{Kind: resource.KindTarget, Name: name}, Target: &resource.Target{Service: service, Machine: machine}})
}

func (o objects) policy(revision store.Revision, service, admit string) {
	o.put(revision, resource.Envelope{ID: resource.ID{Kind: resource.KindPolicy, Name: service}, Policy: &resource.Policy{Admit: admit}})
}

func (o objects) drain(revision store.Revision, name string, deleted bool) {
	e := resource.Envelope{ID: resource.ID{Kind: resource.KindDrain, Name: name}, Deleted: deleted}
	if !deleted {
		e.Drain = &resource.Drain{}
	}
	o.put(revision, e)
}

// drainNames implements DrainSource with the names of the drains in effect.
type drainNames []string

func (n drainNames) Drained(name string) bool { return slices.Contains(n, name) }

func build(t *testing.T, source objects, previous *View) *View {
	t.Helper()
	view, errs := Build(source, drainNames(nil), previous)
	assert.Equal(t, len(errs), 0, "%v", errs)
	return view
}

func policyAdmits(t *testing.T, service *Service, method string) bool {
	t.Helper()
	admitted, err := service.Policy.Admit(policy.Call{Method: method}, policy.Load{})
	assert.NilError(t, err)
	return admitted
}

func TestPolicyIsCompiledOncePerRevision(t *testing.T) {
	source := objects{}
	source.service("a")
	source.policy(3, "a", `call.method == "GET"`)
	first := build(t, source, Empty())
	assert.Assert(t, policyAdmits(t, first.Services["a"], "GET") && !policyAdmits(t, first.Services["a"], "POST"))
	second := build(t, source, first)
	assert.Assert(t, first.Services["a"].Policy == second.Services["a"].Policy)
	source.policy(4, "a", `call.method == "POST"`)
	third := build(t, source, second)
	assert.Assert(t, policyAdmits(t, third.Services["a"], "POST") && !policyAdmits(t, third.Services["a"], "GET"))
	source.put(5, resource.Envelope{ID: resource.ID{Kind: resource.KindPolicy, Name: "a"}, Deleted: true})
	fourth := build(t, source, third)
	assert.Assert(t, policyAdmits(t, fourth.Services["a"], "GET") && policyAdmits(t, fourth.Services["a"], "POST"))
}

func TestInvalidPolicyKeepsPreviousPolicy(t *testing.T) {
	source := objects{}
	source.service("a")
	source.policy(3, "a", `call.method == "GET"`)
	view := build(t, source, Empty())
	source.policy(4, "a", `call.nonsense ==`)
	for range 3 {
		var errs []error
		view, errs = Build(source, drainNames(nil), view)
		assert.Equal(t, len(errs), 1)
		assert.ErrorContains(t, errs[0], "service a at revision 4")
		assert.Assert(t, !policyAdmits(t, view.Services["a"], "POST"), "the previous policy was lost")
	}
	source.policy(5, "a", `call.method == "POST"`)
	assert.Assert(t, policyAdmits(t, build(t, source, view).Services["a"], "POST"))
}

func TestInvalidPolicyOfNewServiceUsesDefault(t *testing.T) {
	source := objects{}
	source.service("a")
	source.policy(4, "a", `(`)
	view, errs := Build(source, drainNames(nil), Empty())
	assert.Equal(t, len(errs), 1)
	assert.Assert(t, policyAdmits(t, view.Services["a"], "GET"))
}

func TestDrainSources(t *testing.T) {
	for name, c := range map[string]struct {
		drain    string
		drains   drainNames
		expected bool
	}{
		"none":                      {"", nil, false},
		"target by operator":        {"target.a-1", nil, true},
		"machine by operator":       {"machine.m-1", nil, true},
		"target by drain source":    {"", drainNames{"target.a-1"}, true},
		"machine by drain source":   {"", drainNames{"machine.m-1"}, true},
		"other target":              {"target.a-2", drainNames{"target.a-11"}, false},
		"machine of a target":       {"machine.a-1", nil, false},
		"operator and drain source": {"target.a-1", drainNames{"machine.m-1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			source := objects{}
			source.service("a")
			source.target("a-1", "a", "m-1")
			if c.drain != "" {
				source.drain(9, c.drain, false)
			}
			view, _ := Build(source, c.drains, Empty())
			assert.Equal(t, view.Targets["a-1"].Draining, c.expected)
			assert.Assert(t, view.Services["a"].Targets[0] == view.Targets["a-1"])
		})
	}
}

func TestDrainDeletedAtIsRevisionOfLastDeletedDrain(t *testing.T) {
	source := objects{}
	source.service("a")
	source.target("a-1", "a", "m-1")
	assert.Equal(t, build(t, source, Empty()).Targets["a-1"].DrainDeletedAt, store.Revision(0))
	source.drain(8, "target.a-1", true)
	source.drain(7, "machine.m-1", true)
	target := build(t, source, Empty()).Targets["a-1"]
	assert.Equal(t, target.DrainDeletedAt, store.Revision(8))
	assert.Assert(t, !target.Draining)
}

func TestTargetsAreSortedAndUnassignedOnesKept(t *testing.T) {
	source := objects{}
	source.service("a")
	for _, name := range []string{"a-3", "a-1", "a-2"} {
		source.target(name, "a", "")
	}
	source.target("stray", "unknown", "")
	view := build(t, source, Empty())
	var names []string
	for _, target := range view.Services["a"].Targets {
		names = append(names, target.Name)
	}
	assert.DeepEqual(t, names, []string{"a-1", "a-2", "a-3"})
	assert.Assert(t, view.Targets["stray"] != nil)
}

func TestDependenciesWithCycles(t *testing.T) {
	source := objects{}
	source.service("a", "b", "c")
	source.service("b", "c", "d")
	source.service("c", "a", "c")
	source.service("d", "missing")
	view := build(t, source, Empty())
	for service, expected := range map[string][]string{
		"a": {"b", "c", "d", "missing"},
		"b": {"a", "c", "d", "missing"},
		"c": {"a", "b", "d", "missing"},
		"d": {"missing"},
	} {
		assert.DeepEqual(t, slices.Sorted(slices.Values(view.Services[service].Dependencies)), expected)
	}
}

func TestRepeatable(t *testing.T) {
	standard := &Service{}
	custom := &Service{Spec: resource.Service{RepeatableMethods: []string{"PUT"}}}
	for method, expected := range map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "POST": false, "PUT": false, "DELETE": false, "get": false} {
		assert.Equal(t, standard.Repeatable(method), expected, method)
	}
	assert.Assert(t, custom.Repeatable("PUT") && !custom.Repeatable("GET"))
}
