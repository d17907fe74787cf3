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

// shedOrder is a try of a critical-plus call that was refused for load.
type shedOrder struct {
	call    Call
	attempt load.Attempt
	// from is the earliest moment at which it may have asked for what it was
	// refused: when it was sent, or, where it was refused further down its chain,
	// when its first execution began.
	from time.Time
	// services are those at which it may have been refused.
	services []string
}

// admittedCall is a less important call that a service began to execute.
type admittedCall struct {
	call    Call
	attempt load.Attempt
	record  emulator.Record
}

// checkInversion looks for less important calls that a service executed in the
// moment in which it refused a critical-plus call for load.
func checkInversion(i *index) []Breach {
	orders := i.shedOrders()
	if len(orders) == 0 {
		return nil
	}
	admitted := i.admittedCalls()
	var found []Breach
	for _, order := range orders {
		for _, service := range order.services {
			if breach, inverted := i.inversion(order, service, admitted[service]); inverted {
				found = append(found, breach)
				break
			}
		}
	}
	return found
}

func (i *index) shedOrders() []shedOrder {
	var orders []shedOrder
	for _, call := range i.Calls {
		kind := i.kinds[call.Kind]
		if kind.Criticality != criticality.CriticalPlus.String() {
			continue
		}
		for _, attempt := range call.Attempts {
			if order, shed := i.shedOrder(call, attempt); shed {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// shedOrder tells whether a try was refused for load, by its edge or further
// down its chain. In the second case its caller got its target's failure.
func (i *index) shedOrder(call Call, attempt load.Attempt) (shedOrder, bool) {
	order := shedOrder{call: call, attempt: attempt, from: attempt.Start}
	switch {
	case attempt.Verdict == load.VerdictRefused && attempt.Reason == problem.Overloaded:
		order.services = i.neededBy(call)
		return order, true
	case attempt.Verdict == load.VerdictError && call.RefusedBy != "" && len(i.byRequest[attempt.RequestID]) > 0:
		order.services = []string{call.RefusedBy}
		order.from = earliest(i.byRequest[attempt.RequestID]).Start
		return order, true
	}
	return order, false
}

// neededBy returns the service that refused the call, if that is known, or
// else all that the call can't do without.
func (i *index) neededBy(call Call) []string {
	if call.RefusedBy != "" {
		return []string{call.RefusedBy}
	}
	kind := i.kinds[call.Kind]
	var needed []string
	var visit func(name, method, path string)
	visit = func(name, method, path string) {
		if slices.Contains(needed, name) {
			return
		}
		needed = append(needed, name)
		service, _ := i.Mesh.Service(name)
		work, _ := service.Work(method, path)
		for _, child := range work.Calls {
			if !child.Optional {
				visit(child.Service, child.Method, child.Path)
			}
		}
	}
	visit(kind.Service, kind.Method, kind.Path)
	return needed
}

// admittedCalls returns the executions on behalf of calls that are less
// important than critical-plus, by service.
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

func (i *index) inversion(order shedOrder, service string, candidates []admittedCall) (Breach, bool) {
	for _, candidate := range candidates {
		if !overtook(order, candidate, i.Settings.InversionTolerance) {
			continue
		}
		return Breach{
			Kind: CriticalityInversion,
			At:   order.attempt.End,
			Summary: fmt.Sprintf("a %s was shed while %s executed a %s that came later",
				order.call.Kind, service, candidate.call.Kind),
			RequestID: order.attempt.RequestID,
			Target:    candidate.record.Target,
			Evidence: []Evidence{
				sent(order.call, order.attempt),
				sent(candidate.call, candidate.attempt),
				executed(candidate.record),
				ended(order.attempt),
			},
		}, true
	}
	return Breach{}, false
}

// overtook reports whether the less important call got in the order's way. It
// must have been sent after the order and begun before the order was refused,
// both by more than the tolerance; or else, at the same edge, it must have been
// sent within the tolerance after the order and begun at all: an edge that
// refuses an order at once must refuse it as well.
func overtook(order shedOrder, candidate admittedCall, tolerance time.Duration) bool {
	later := candidate.attempt.Start.Sub(order.from)
	if later > tolerance && candidate.record.Start.Before(order.attempt.End.Add(-tolerance)) {
		return true
	}
	immediate := order.attempt.End.Sub(order.attempt.Start) <= tolerance
	return immediate && order.call.Edge == candidate.call.Edge && later >= 0 && later <= tolerance
}
