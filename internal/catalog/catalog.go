// Package catalog turns the objects of the configuration into the view that
// calls are decided on: services with compiled policies, their targets, and
// what is draining.
package catalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Target is one target with what the call path needs of it.
type Target struct {
	Name string
	resource.Target
	// Draining targets get no new work.
	Draining bool
	// Revision is the revision of the target's object.
	Revision store.Revision
	// JoinedAt is the revision at which a drain of the target was last taken
	// back, zero if there was none; a change of it starts a new warm-up.
	JoinedAt store.Revision
}

// Service is one service.
type Service struct {
	Name string
	Spec resource.Service
	// Policy is the compiled policy, the default one if there is none.
	Policy *policy.Program
	// Targets are the service's targets by name, the draining ones included.
	Targets []*Target
	// Requires names the services that a call needs, directly or further down,
	// without the service itself.
	Requires []string

	policyRevision store.Revision
}

// Repeatable reports whether a call with the method may be run more than once.
func (s *Service) Repeatable(method string) bool {
	methods := s.Spec.RepeatableMethods
	if len(methods) == 0 {
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
	return slices.Contains(methods, method)
}

// View is an immutable state of the configuration.
type View struct {
	Services map[string]*Service
	Targets  map[string]*Target
}

// Empty returns a view without objects.
func Empty() *View {
	return &View{Services: map[string]*Service{}, Targets: map[string]*Target{}}
}

// Source gives the objects that a view is built from.
type Source interface {
	// List returns the objects of a kind, without deleted ones.
	List(kind resource.Kind) []resource.Versioned
	// Get returns an object, a deleted one as its tombstone.
	Get(id resource.ID) (resource.Versioned, bool)
}

// Marks tells what is draining besides the drain objects: emergency drains and
// the machine list. Each source only adds.
type Marks interface {
	// Drained reports whether a drain with the name holds.
	Drained(drainName string) bool
}

// Build returns the view of the objects. Policies that were compiled for the
// view before are used again. Faults are policies that don't compile; their
// service keeps the policy that it had, or the default one.
func Build(source Source, marks Marks, before *View) (*View, []error) {
	view := Empty()
	faults := view.addServices(source, before)
	view.addTargets(source, marks)
	for _, service := range view.Services {
		service.Requires = view.requirements(service.Name)
	}
	return view, faults
}

func (v *View) addServices(source Source, before *View) []error {
	var faults []error
	for _, object := range source.List(resource.KindService) {
		service := &Service{Name: object.ID.Name, Spec: *object.Service}
		if err := service.setPolicy(source, before.Services[service.Name]); err != nil {
			faults = append(faults, err)
		}
		v.Services[service.Name] = service
	}
	return faults
}

func (s *Service) setPolicy(source Source, before *Service) error {
	object, found := source.Get(resource.ID{Kind: resource.KindPolicy, Name: s.Name})
	found = found && !object.Deleted
	if before != nil && found && before.policyRevision == object.Revision {
		s.Policy = before.Policy
		s.policyRevision = before.policyRevision
		return nil
	}
	if !found {
		s.Policy = defaultPolicy
		return nil
	}
	program, err := policy.Compile(SourceOf(*object.Policy))
	if err != nil {
		s.Policy = defaultPolicy
		if before != nil {
			s.Policy = before.Policy
		}
		return fmt.Errorf("policy of service %s at revision %d: %w", s.Name, object.Revision, err)
	}
	s.Policy = program
	s.policyRevision = object.Revision
	return nil
}

// SourceOf returns a policy object as the compiler takes it.
func SourceOf(object resource.Policy) policy.Source {
	return policy.Source{Admit: object.Admit, Rank: object.Rank, Retry: object.Retry, Refuse: object.Refuse}
}

var defaultPolicy = mustCompile(policy.Source{})

func mustCompile(source policy.Source) *policy.Program {
	program, err := policy.Compile(source)
	if err != nil {
		panic(err)
	}
	return program
}

func (v *View) addTargets(source Source, marks Marks) {
	for _, object := range source.List(resource.KindTarget) {
		target := &Target{Name: object.ID.Name, Target: *object.Target, Revision: object.Revision}
		target.setDrain(source, marks)
		v.Targets[target.Name] = target
		if service, ok := v.Services[target.Service]; ok {
			service.Targets = append(service.Targets, target)
		}
	}
	for _, service := range v.Services {
		slices.SortFunc(service.Targets, func(a, b *Target) int { return strings.Compare(a.Name, b.Name) })
	}
}

func (t *Target) setDrain(source Source, marks Marks) {
	for _, name := range t.DrainNames() {
		object, found := source.Get(resource.ID{Kind: resource.KindDrain, Name: name})
		if found && object.Deleted {
			t.JoinedAt = max(t.JoinedAt, object.Revision)
		}
		if found && !object.Deleted || marks.Drained(name) {
			t.Draining = true
		}
	}
}

// DrainNames returns the names of the drains that mark the target.
func (t *Target) DrainNames() []string {
	names := []string{resource.DrainTargetPrefix + t.Name}
	if t.Machine != "" {
		names = append(names, resource.DrainMachinePrefix+t.Machine)
	}
	return names
}

// requirements walks the declared calls; a cycle ends the walk.
func (v *View) requirements(name string) []string {
	seen := map[string]bool{name: true}
	var required []string
	pending := []string{name}
	for len(pending) > 0 {
		service := v.Services[pending[0]]
		pending = pending[1:]
		if service == nil {
			continue
		}
		for _, next := range service.Spec.Calls {
			if seen[next] {
				continue
			}
			seen[next] = true
			required = append(required, next)
			pending = append(pending, next)
		}
	}
	return required
}
