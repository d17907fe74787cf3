package replay

import (
	"reflect"
	"slices"
	"strings"
)

// mutation changes one expectation of a trace; apply returns a function that undoes
// the change.
type mutation struct {
	kind  string
	apply func() (undo func())
}

// expectationFields are the names of the fields of checks and events that contain an
// expected value, as opposed to those that select what is compared.
var expectationFields = []string{"Min", "Max", "Equals", "Is", "Deleted", "Taken", "Granted", "Outcome"}

// expectationsOf returns the parts of an event that contain expected values. Parts may
// be nil pointers.
func expectationsOf(event *Event) []any {
	switch {
	case event.Call != nil:
		return []any{event.Call.Expect}
	case event.ShedReport != nil:
		return []any{event.ShedReport}
	case event.GrantRequest != nil:
		return []any{event.GrantRequest}
	case event.Check == nil:
		return nil
	}
	check := event.Check
	return []any{
		check.Limit, check.Threshold, check.Overloaded, check.Revision, check.GrantedRetries, check.Order, check.Count, check.Claim, check.GrantedClaims,
	}
}

func mutationsOf(event *Event) []mutation {
	var mutations []mutation
	for _, expectation := range expectationsOf(event) {
		value := reflect.ValueOf(expectation)
		if !value.IsNil() {
			mutations = append(mutations, mutationsIn(value.Elem())...)
		}
	}
	return mutations
}

func mutationsIn(expectation reflect.Value) []mutation {
	var mutations []mutation
	typeName := expectation.Type().Name()
	for i := range expectation.NumField() {
		fieldName := expectation.Type().Field(i).Name
		field := expectation.Field(i)
		if field.IsZero() || !isExpectation(typeName, fieldName) {
			continue
		}
		mutations = append(mutations, mutation{kind: typeName + "." + fieldName, apply: func() func() { return mutate(field, fieldName) }})
	}
	return mutations
}

func isExpectation(typeName, fieldName string) bool {
	return typeName == "CallExpectation" || typeName == "OrderCheck" || slices.Contains(expectationFields, fieldName)
}

// expectationKinds lists all fields of a trace that can contain an expected value.
func expectationKinds() []string {
	var kinds []string
	for _, expectation := range append(expectationsOf(&Event{Check: &Check{}}), &CallExpectation{}, &ShedReport{}, &GrantRequestEvent{}) {
		expectationType := reflect.TypeOf(expectation).Elem()
		for i := range expectationType.NumField() {
			if isExpectation(expectationType.Name(), expectationType.Field(i).Name) {
				kinds = append(kinds, expectationType.Name()+"."+expectationType.Field(i).Name)
			}
		}
	}
	return kinds
}

// outOfRange is larger than every number in the traces.
const outOfRange = 1_000_000

func mutate(field reflect.Value, fieldName string) (undo func()) {
	before := reflect.New(field.Type()).Elem()
	before.Set(field)
	switch value := field.Interface().(type) {
	case string:
		field.SetString(value + "-altered")
	case *int:
		changed := *value + 1
		switch fieldName {
		case "Min":
			changed = outOfRange
		case "Max":
			changed = -outOfRange
		}
		field.Set(reflect.ValueOf(&changed))
	case *bool:
		changed := !*value
		field.Set(reflect.ValueOf(&changed))
	case *Millis:
		changed := *value + 1
		field.Set(reflect.ValueOf(&changed))
	case []string:
		changed := slices.Clone(value)
		slices.Reverse(changed)
		field.Set(reflect.ValueOf(changed))
	default:
		panic("no mutation for type " + strings.TrimSpace(field.Type().String()))
	}
	return func() { field.Set(before) }
}
