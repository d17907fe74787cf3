package policy

import (
	"reflect"
	"slices"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
)

// kind is the type of a value in an expression.
type kind uint8

const (
	// kindFaulty marks a value whose fault has already been reported, so that
	// a mistake isn't reported twice.
	kindFaulty kind = iota
	kindBool
	kindInt
	kindFloat
	kindString
)

var kindNames = [...]string{"faulty", "bool", "int", "float", "string"}

func (k kind) String() string { return kindNames[k] }

func (k kind) numeric() bool { return k == kindInt || k == kindFloat }

// valueType is the type of a value. For an enumerated string it also lists the
// possible values.
type valueType struct {
	kind   kind
	values []string
}

var (
	faultyValue  = valueType{}
	boolValue    = valueType{kind: kindBool}
	intValue     = valueType{kind: kindInt}
	floatValue   = valueType{kind: kindFloat}
	stringValue  = valueType{kind: kindString}
	levelValue   = valueType{kind: kindString, values: criticality.Names()}
	levelOrEmpty = valueType{kind: kindString, values: append([]string{""}, criticality.Names()...)}
)

// enumerations are the variables with a fixed set of values.
var enumerations = map[string]valueType{
	"call.incoming_rank": levelOrEmpty,
	"load.shed_level":    levelOrEmpty,
	"outcome.executed":   {kind: kindString, values: []string{ExecutedNo, ExecutedUnknown, ExecutedYes}},
	"outcome.reason":     {kind: kindString, values: append([]string{""}, reasonNames()...)},
}

// reasonNames lists the problem reasons of failed attempts and refusals.
func reasonNames() []string {
	reasons := []problem.Reason{
		problem.BadRequest, problem.BadContext, problem.BodyTooLarge, problem.UnknownService,
		problem.NotAdmitted, problem.Overloaded, problem.NoTarget, problem.DeadlineExceeded,
		problem.TooManyHops, problem.Draining, problem.NotReady, problem.TargetFailed,
		problem.IncompleteAnswer, problem.DuplicateRequest, problem.ClaimsUnavailable, problem.RetriesSpent,
		problem.CallerGone, problem.Internal,
	}
	names := make([]string, 0, len(reasons))
	for _, reason := range reasons {
		names = append(names, string(reason))
	}
	return names
}

// variableGroups maps the name of each group to its variables by field name.
var variableGroups = describeGroups(reflect.TypeFor[environment]())

func describeGroups(groups reflect.Type) map[string]map[string]valueType {
	result := make(map[string]map[string]valueType, groups.NumField())
	for i := range groups.NumField() {
		group := groups.Field(i)
		name := group.Tag.Get("expr")
		result[name] = describeFields(name, group.Type)
	}
	return result
}

func describeFields(group string, structure reflect.Type) map[string]valueType {
	result := make(map[string]valueType, structure.NumField())
	for i := range structure.NumField() {
		field := structure.Field(i)
		name := field.Tag.Get("expr")
		result[name] = variableType(group+"."+name, field.Type.Kind())
	}
	return result
}

func variableType(variable string, goKind reflect.Kind) valueType {
	if enumeration, found := enumerations[variable]; found {
		return enumeration
	}
	switch goKind {
	case reflect.Bool:
		return boolValue
	case reflect.Int:
		return intValue
	case reflect.Float64:
		return floatValue
	default:
		return stringValue
	}
}

// variableNames lists the variables of the groups as written in an expression
// (group.field), sorted within each group.
func variableNames(groups []string) []string {
	var names []string
	for _, group := range groups {
		var inGroup []string
		for field := range variableGroups[group] {
			inGroup = append(inGroup, group+"."+field)
		}
		slices.Sort(inGroup)
		names = append(names, inGroup...)
	}
	return names
}
