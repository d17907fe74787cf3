package replay

import (
	"reflect"
	"slices"
	"strings"
)

// alteration changes one stated outcome; apply returns how to undo it.
type alteration struct {
	kind  string
	apply func() (undo func())
}

// statedMembers are the members of checks and events that state an outcome,
// as opposed to those that say what it is an outcome of.
var statedMembers = []string{"Min", "Max", "Equals", "Is", "Deleted", "Taken", "Granted", "Outcome"}

// carriers returns the parts of an event that state outcomes.
func carriers(event *Event) []any {
	switch {
	case event.Call != nil:
		return []any{event.Call.Expect}
	case event.ShedReport != nil:
		return []any{event.ShedReport}
	case event.Grant != nil:
		return []any{event.Grant}
	case event.Check == nil:
		return nil
	}
	check := event.Check
	return []any{
		check.Limit, check.Threshold, check.Overloaded, check.Revision, check.Spent, check.Order, check.Count, check.Claim, check.Claimed,
	}
}

func alterationsOf(event *Event) []alteration {
	var found []alteration
	for _, carrier := range carriers(event) {
		value := reflect.ValueOf(carrier)
		if !value.IsNil() {
			found = append(found, alterationsIn(value.Elem())...)
		}
	}
	return found
}

func alterationsIn(stated reflect.Value) []alteration {
	var found []alteration
	kind := stated.Type().Name()
	for i := range stated.NumField() {
		name := stated.Type().Field(i).Name
		field := stated.Field(i)
		if field.IsZero() || !states(kind, name) {
			continue
		}
		found = append(found, alteration{kind: kind + "." + name, apply: func() func() { return alter(field, name) }})
	}
	return found
}

func states(kind, name string) bool {
	return kind == "CallExpectation" || kind == "OrderCheck" || slices.Contains(statedMembers, name)
}

// stateable lists the kinds of outcomes that a trace can state.
func stateable() []string {
	var kinds []string
	for _, carrier := range append(carriers(&Event{Check: &Check{}}), &CallExpectation{}, &ShedReport{}, &GrantEvent{}) {
		described := reflect.TypeOf(carrier).Elem()
		for i := range described.NumField() {
			if states(described.Name(), described.Field(i).Name) {
				kinds = append(kinds, described.Name()+"."+described.Field(i).Name)
			}
		}
	}
	return kinds
}

// far is beyond every number that a trace states.
const far = 1_000_000

func alter(field reflect.Value, name string) (undo func()) {
	before := reflect.New(field.Type()).Elem()
	before.Set(field)
	switch stated := field.Interface().(type) {
	case string:
		field.SetString(stated + "-altered")
	case *int:
		changed := *stated + 1
		switch name {
		case "Min":
			changed = far
		case "Max":
			changed = -far
		}
		field.Set(reflect.ValueOf(&changed))
	case *bool:
		changed := !*stated
		field.Set(reflect.ValueOf(&changed))
	case *Millis:
		changed := *stated + 1
		field.Set(reflect.ValueOf(&changed))
	case []string:
		changed := slices.Clone(stated)
		slices.Reverse(changed)
		field.Set(reflect.ValueOf(changed))
	default:
		panic("no alteration of " + strings.TrimSpace(field.Type().String()))
	}
	return func() { field.Set(before) }
}
