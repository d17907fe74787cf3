package admin

import (
	"fmt"
	"strings"

	"github.com/lugspur/lugspur/internal/resource"
)

// MaxWarnings is the maximum number of warnings of a status.
const MaxWarnings = 100

// objectWarnings returns the warnings for a valid object. Objects may be applied
// in any order, so a reference to a missing object is not an error.
func (s *Server) objectWarnings(next resource.Envelope) []string {
	var warning string
	switch {
	case next.Deleted:
	case next.Target != nil:
		warning = s.missingWarning(next.ID, resource.KindService, next.Target.Service)
	case next.Policy != nil:
		warning = s.missingWarning(next.ID, resource.KindService, next.ID.Name)
	case next.Drain != nil:
		warning = s.drainWarning(next.ID)
	}
	if warning == "" {
		return nil
	}
	return []string{warning}
}

func (s *Server) missingWarning(id resource.ID, kind resource.Kind, name string) string {
	if s.exists(resource.ID{Kind: kind, Name: name}) {
		return ""
	}
	return fmt.Sprintf("%s: this node knows no %s named %q", id, kind, name)
}

func (s *Server) exists(id resource.ID) bool {
	version, ok := s.options.Replica.Get(id)
	return ok && !version.Deleted
}

func (s *Server) drainWarning(id resource.ID) string {
	if target, ok := strings.CutPrefix(id.Name, resource.DrainTargetPrefix); ok {
		return s.missingWarning(id, resource.KindTarget, target)
	}
	machine := strings.TrimPrefix(id.Name, resource.DrainMachinePrefix)
	for _, target := range s.liveObjects(resource.KindTarget) {
		if target.Target.Machine == machine {
			return ""
		}
	}
	return fmt.Sprintf("%s: this node knows no target on a machine named %q", id, machine)
}

// allWarnings returns the warnings for all objects of the replica.
func (s *Server) allWarnings() []string {
	var warnings []string
	for _, kind := range resource.OperatorKinds() {
		for _, version := range s.liveObjects(kind) {
			warnings = append(warnings, s.objectWarnings(version.Envelope)...)
			if len(warnings) >= MaxWarnings {
				return warnings[:MaxWarnings]
			}
		}
	}
	return append(warnings, s.emptyServiceWarnings()...)
}

func (s *Server) emptyServiceWarnings() []string {
	populated := make(map[string]bool)
	for _, target := range s.liveObjects(resource.KindTarget) {
		populated[target.Target.Service] = true
	}
	var warnings []string
	for _, service := range s.liveObjects(resource.KindService) {
		if !populated[service.ID.Name] && len(warnings) < MaxWarnings {
			warnings = append(warnings, fmt.Sprintf("%s: has no target", service.ID))
		}
	}
	return warnings
}
