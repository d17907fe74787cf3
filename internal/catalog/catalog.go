// Package catalog builds the view of the configuration that the call path uses:
// services with compiled policies, their targets, and which targets are draining.
package catalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Target is a target of the configuration with its drain state.
type Target struct {
	Name string
	resource.Target
	// Draining reports whether a drain applies to the target. It then gets no new
	// calls.
	Draining bool
	// Revision is the revision of the target's object.
	Revision store.Revision
	// DrainDeletedAt is the revision at which a drain of the target was last deleted,
	// or zero if none was. If it changes, the target starts a new warm-up.
	DrainDeletedAt store.Revision
}

// Service is a service with its compiled policy and its targets.
type Service struct {
	Name string
	Spec resource.Service
	// Policy is the compiled policy, or the default policy if the service has none.
	Policy *policy.Program
	// Targets are the service's targets, sorted by name and including draining ones.
	Targets []*Target
	// Dependencies lists the names of the service's direct and indirect dependencies,
	// without the service itself.
	Dependencies []string

	policyRevision store.Revision
}

// Repeatable reports whether a call with the method may be executed more than once.
func (s *Service) Repeatable(method string) bool {
	methods := s.Spec.RepeatableMethods
	if len(methods) == 0 {
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
	return slices.Contains(methods, method)
}

// View is an immutable snapshot of the configuration.
type View struct {
	Services map[string]*Service
	Targets  map[string]*Target
}

// Empty returns a view without objects.
func Empty() *View {
	return &View{Services: map[string]*Service{}, Targets: map[string]*Target{}}
}

// Source provides the objects of the configuration.
type Source interface {
	// List returns the objects of a kind, excluding deleted ones.
	List(kind resource.Kind) []resource.Versioned
	// Get returns an object, or its tombstone if it was deleted.
	Get(id resource.ID) (resource.Versioned, bool)
}

// DrainSource provides drains that are not stored as drain objects: emergency drains
// and those of the machine list. A target is draining if either a drain object or a
// DrainSource has a drain for it.
type DrainSource interface {
	// Drained reports whether a drain with the name is in effect.
	Drained(drainName string) bool
}

// Build returns the view of the objects. It reuses the compiled policies of the
// previous view that have not changed. It returns an error for each policy that does
// not compile; the service then keeps its previous policy, or gets the default policy
// if it has none.
func Build(source Source, drains DrainSource, previous *View) (*View, []error) {
	view := Empty()
	errs := view.addServices(source, previous)
	view.addTargets(source, drains)
	for _, service := range view.Services {
		service.Dependencies = view.dependenciesOf(service.Name)
	}
	return view, errs
}

func (v *View) addServices(source Source, previous *View) []error {
	var errs []error
	for _, object := range source.List(resource.KindService) {
		service := &Service{Name: object.ID.Name, Spec: *object.Service}
		if err := service.setPolicy(source, previous.Services[service.Name]); err != nil {
			errs = append(errs, err)
		}
		v.Services[service.Name] = service
	}
	return errs
}

func (s *Service) setPolicy(source Source, previous *Service) error {
	object, found := source.Get(resource.ID{Kind: resource.KindPolicy, Name: s.Name})
	found = found && !object.Deleted
	if previous != nil && found && previous.policyRevision == object.Revision {
		s.Policy = previous.Policy
		s.policyRevision = previous.policyRevision
		return nil
	}
	if !found {
		s.Policy = defaultPolicy
		return nil
	}
	program, err := policy.Compile(policySourceOf(*object.Policy))
	if err != nil {
		s.Policy = defaultPolicy
		if previous != nil {
			s.Policy = previous.Policy
		}
		return fmt.Errorf("policy of service %s at revision %d: %w", s.Name, object.Revision, err)
	}
	s.Policy = program
	s.policyRevision = object.Revision
	return nil
}

// policySourceOf converts a policy object to the input of the policy compiler.
func policySourceOf(object resource.Policy) policy.Source {
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

func (v *View) addTargets(source Source, drains DrainSource) {
	for _, object := range source.List(resource.KindTarget) {
		target := &Target{Name: object.ID.Name, Target: *object.Target, Revision: object.Revision}
		target.applyDrains(source, drains)
		v.Targets[target.Name] = target
		if service, ok := v.Services[target.Service]; ok {
			service.Targets = append(service.Targets, target)
		}
	}
	for _, service := range v.Services {
		slices.SortFunc(service.Targets, func(a, b *Target) int { return strings.Compare(a.Name, b.Name) })
	}
}

// applyDrains sets the drain state of the target.
func (t *Target) applyDrains(source Source, drains DrainSource) {
	for _, name := range t.DrainNames() {
		object, found := source.Get(resource.ID{Kind: resource.KindDrain, Name: name})
		if found && object.Deleted {
			t.DrainDeletedAt = max(t.DrainDeletedAt, object.Revision)
		}
		if found && !object.Deleted || drains.Drained(name) {
			t.Draining = true
		}
	}
}

// DrainNames returns the names of the drains that apply to the target.
func (t *Target) DrainNames() []string {
	names := []string{resource.DrainTargetPrefix + t.Name}
	if t.Machine != "" {
		names = append(names, resource.DrainMachinePrefix+t.Machine)
	}
	return names
}

// dependenciesOf returns the services that the service calls directly or indirectly
// according to the declared calls, without itself. Cycles are allowed.
func (v *View) dependenciesOf(name string) []string {
	seen := map[string]bool{name: true}
	var dependencies []string
	pending := []string{name}
	for len(pending) > 0 {
		service := v.Services[pending[0]]
		pending = pending[1:]
		if service == nil {
			continue
		}
		for _, dependency := range service.Spec.Calls {
			if seen[dependency] {
				continue
			}
			seen[dependency] = true
			dependencies = append(dependencies, dependency)
			pending = append(pending, dependency)
		}
	}
	return dependencies
}
