package policy

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/lugspur/lugspur/internal/criticality"
)

// Functions of the policy language; each takes two arguments.
const (
	functionMin            = "min"
	functionMax            = "max"
	functionMostImportant  = "most_important"
	functionLeastImportant = "least_important"
)

// functionSignatures lists the functions for error messages.
var functionSignatures = []string{
	"min(number, number)",
	"max(number, number)",
	"most_important(criticality, criticality)",
	"least_important(criticality, criticality)",
}

// options returns the options of the expr compiler, the same for every
// expression. The checker restricts variables and operators further.
func options() []expr.Option {
	signature := new(func(string, string) (string, error))
	return []expr.Option{
		expr.Env(environment{}),
		expr.DisableAllBuiltins(),
		expr.EnableBuiltin(functionMin),
		expr.EnableBuiltin(functionMax),
		expr.Function(functionMostImportant, mostImportant, signature),
		expr.Function(functionLeastImportant, leastImportant, signature),
		expr.DisableIfOperator(),
	}
}

// mostImportant returns the more important of two criticalities. If one is
// empty, it returns the other.
func mostImportant(arguments ...any) (any, error) {
	return selectLevel(arguments, func(left, right criticality.Level) bool { return left <= right })
}

// leastImportant returns the less important of two criticalities. If one is
// empty, it returns the other.
func leastImportant(arguments ...any) (any, error) {
	return selectLevel(arguments, func(left, right criticality.Level) bool { return left >= right })
}

func selectLevel(arguments []any, prefersLeft func(left, right criticality.Level) bool) (any, error) {
	if len(arguments) != 2 {
		return "", fmt.Errorf("two criticalities are needed, got %d", len(arguments))
	}
	left, leftIsString := arguments[0].(string)
	right, rightIsString := arguments[1].(string)
	if !leftIsString || !rightIsString {
		return "", fmt.Errorf("criticalities are strings, got %T and %T", arguments[0], arguments[1])
	}
	if left == "" {
		return right, nil
	}
	if right == "" {
		return left, nil
	}
	leftLevel, err := criticality.ParseLevel(left)
	if err != nil {
		return "", err
	}
	rightLevel, err := criticality.ParseLevel(right)
	if err != nil {
		return "", err
	}
	if prefersLeft(leftLevel, rightLevel) {
		return left, nil
	}
	return right, nil
}
