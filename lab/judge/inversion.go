package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
)

// shedCall is an attempt of a critical-plus call that was refused because of
// overload.
type shedCall struct {
	call    Call
	attempt load.Attempt
	// from is the earliest time at which the refused service may have received
	// the call: when the attempt was sent or, if a downstream call was refused,
	// when the first execution of the request began.
	from time.Time
	// services are the services that may have been overloaded.
	services []string
}

// admittedCall is a call of lower criticality that a service began to execute.
type admittedCall struct {
	call    Call
	attempt load.Attempt
	record  emulator.Record
}

// checkInversion finds calls of lower criticality that a service executed while
// it refused a critical-plus call because of overload.
func checkInversion(i *index) []Breach {
	shedCalls := i.shedCalls()
	if len(shedCalls) == 0 {
		return nil
	}
	admitted := i.admittedCalls()
	var found []Breach
	for _, shed := range shedCalls {
		for _, service := range shed.services {
			if breach, inverted := i.inversion(shed, service, admitted[service]); inverted {
				found = append(found, breach)
				break
			}
		}
	}
	return found
}

func (i *index) shedCalls() []shedCall {
	var shedCalls []shedCall
	for _, call := range i.Calls {
		kind := i.kinds[call.Kind]
		if kind.Criticality != criticality.CriticalPlus.String() {
			continue
		}
		for _, attempt := range call.Attempts {
			if shed, refused := i.asShedCall(call, attempt); refused {
				shedCalls = append(shedCalls, shed)
			}
		}
	}
	return shedCalls
}

// asShedCall reports whether an attempt was refused because of overload, by its
// edge or by a downstream call. In the second case the caller received the
// error response of its target.
func (i *index) asShedCall(call Call, attempt load.Attempt) (shedCall, bool) {
	shed := shedCall{call: call, attempt: attempt, from: attempt.Start}
	switch {
	case attempt.Verdict == load.VerdictRefused && attempt.Reason == problem.Overloaded:
		shed.services = i.candidateServices(call)
		return shed, true
	case attempt.Verdict == load.VerdictError && call.RefusedBy != "" && len(i.byRequest[attempt.RequestID]) > 0:
		shed.services = []string{call.RefusedBy}
		shed.from = earliest(i.byRequest[attempt.RequestID]).Start
		return shed, true
	}
	return shed, false
}

// candidateServices returns the services at which the call may have been refused:
// the refusing service if it is known, or else all services that the call
// requires.
func (i *index) candidateServices(call Call) []string {
	if call.RefusedBy != "" {
		return []string{call.RefusedBy}
	}
	kind := i.kinds[call.Kind]
	var required []string
	var visit func(name, method, path string)
	visit = func(name, method, path string) {
		if slices.Contains(required, name) {
			return
		}
		required = append(required, name)
		service, _ := i.Mesh.Service(name)
		work, _ := service.Work(method, path)
		for _, child := range work.Calls {
			if !child.Optional {
				visit(child.Service, child.Method, child.Path)
			}
		}
	}
	visit(kind.Service, kind.Method, kind.Path)
	return required
}

// admittedCalls returns, by service, the executions for calls that are less
// critical than critical-plus.
func (i *index) admittedCalls() map[string][]admittedCall {
	admitted := map[string][]admittedCall{}
	for _, call := range i.Calls {
		if i.kinds[call.Kind].Criticality == criticality.CriticalPlus.String() {
			continue
		}
		for _, attempt := range call.Attempts {
			if attempt.RequestID == "" {
				continue
			}
			for _, record := range i.byRequest[attempt.RequestID] {
				admitted[record.Service] = append(admitted[record.Service], admittedCall{call, attempt, record})
			}
		}
	}
	return admitted
}

func (i *index) inversion(shed shedCall, service string, candidates []admittedCall) (Breach, bool) {
	for _, candidate := range candidates {
		if !overtook(shed, candidate, i.Settings.InversionTolerance) {
			continue
		}
		return Breach{
			Kind: CriticalityInversion,
			At:   shed.attempt.End,
			Summary: fmt.Sprintf("a %s was shed while %s executed a %s that was sent later",
				shed.call.Kind, service, candidate.call.Kind),
			RequestID: shed.attempt.RequestID,
			Target:    candidate.record.Target,
			Evidence: []Evidence{
				sent(shed.call, shed.attempt),
				sent(candidate.call, candidate.attempt),
				executed(candidate.record),
				ended(shed.attempt),
			},
		}, true
	}
	return Breach{}, false
}

// overtook reports whether the candidate was admitted at the expense of the more
// critical shed call. Either it was sent after the shed call and began executing
// before the shed call was refused, both by more than the tolerance. Or the shed
// call was refused immediately, and the candidate was sent to the same edge
// within the tolerance after it and was executed: an edge that immediately
// refuses the more critical call must refuse the less critical one as well.
func overtook(shed shedCall, candidate admittedCall, tolerance time.Duration) bool {
	later := candidate.attempt.Start.Sub(shed.from)
	if later > tolerance && candidate.record.Start.Before(shed.attempt.End.Add(-tolerance)) {
		return true
	}
	immediate := shed.attempt.End.Sub(shed.attempt.Start) <= tolerance
	return immediate && shed.call.Edge == candidate.call.Edge && later >= 0 && later <= tolerance
}
