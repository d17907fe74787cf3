package admin

import (
	"fmt"
	"strings"

	"github.com/lugspur/lugspur/internal/resource"
)

// MaxWarnings bounds the warnings of a status.
const MaxWarnings = 100

// warningsFor says what is odd about an object that is still allowed: objects
// may be applied in any order, so that one may name another that is to come.
func (s *Server) warningsFor(next resource.Envelope) []string {
	var warning string
	switch {
	case next.Deleted:
	case next.Target != nil:
		warning = s.missing(next.ID, resource.KindService, next.Target.Service)
	case next.Policy != nil:
		warning = s.missing(next.ID, resource.KindService, next.ID.Name)
	case next.Drain != nil:
		warning = s.drainWarning(next.ID)
	}
	if warning == "" {
		return nil
	}
	return []string{warning}
}

func (s *Server) missing(id resource.ID, kind resource.Kind, name string) string {
	if s.known(resource.ID{Kind: kind, Name: name}) {
		return ""
	}
	return fmt.Sprintf("%s: this node knows no %s named %q", id, kind, name)
}

func (s *Server) known(id resource.ID) bool {
	version, ok := s.options.Replica.Get(id)
	return ok && !version.Deleted
}

func (s *Server) drainWarning(id resource.ID) string {
	if target, ok := strings.CutPrefix(id.Name, resource.DrainTargetPrefix); ok {
		return s.missing(id, resource.KindTarget, target)
	}
	machine := strings.TrimPrefix(id.Name, resource.DrainMachinePrefix)
	for _, target := range s.live(resource.KindTarget) {
		if target.Target.Machine == machine {
			return ""
		}
	}
	return fmt.Sprintf("%s: this node knows no target on a machine named %q", id, machine)
}

// allWarnings says what is odd about the objects in force.
func (s *Server) allWarnings() []string {
	var warnings []string
	for _, kind := range resource.OperatorKinds() {
		for _, version := range s.live(kind) {
			warnings = append(warnings, s.warningsFor(version.Envelope)...)
			if len(warnings) >= MaxWarnings {
				return warnings[:MaxWarnings]
			}
		}
	}
	return append(warnings, s.emptyServices()...)
}

func (s *Server) emptyServices() []string {
	populated := make(map[string]bool)
	for _, target := range s.live(resource.KindTarget) {
		populated[target.Target.Service] = true
	}
	var warnings []string
	for _, service := range s.live(resource.KindService) {
		if !populated[service.ID.Name] && len(warnings) < MaxWarnings {
			warnings = append(warnings, fmt.Sprintf("%s: has no target", service.ID))
		}
	}
	return warnings
}
