package policy

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/lugspur/lugspur/internal/criticality"
)

// The functions that expressions may call; each takes two arguments.
const (
	functionMin            = "min"
	functionMax            = "max"
	functionMostImportant  = "most_important"
	functionLeastImportant = "least_important"
)

// functionSignatures tells operators what there is to call.
var functionSignatures = []string{
	"min(number, number)",
	"max(number, number)",
	"most_important(criticality, criticality)",
	"least_important(criticality, criticality)",
}

// options configure the expr compiler for every expression. The variables
// and the operators are narrowed further by the checker.
func options() []expr.Option {
	levels := new(func(string, string) (string, error))
	return []expr.Option{
		expr.Env(environment{}),
		expr.DisableAllBuiltins(),
		expr.EnableBuiltin(functionMin),
		expr.EnableBuiltin(functionMax),
		expr.Function(functionMostImportant, mostImportant, levels),
		expr.Function(functionLeastImportant, leastImportant, levels),
		expr.DisableIfOperator(),
	}
}

// mostImportant returns the more important of two criticalities. An empty
// one is no criticality, so that the other is returned.
func mostImportant(arguments ...any) (any, error) {
	return chooseLevel(arguments, func(left, right criticality.Level) bool { return left <= right })
}

// leastImportant returns the less important of two criticalities. An empty
// one is no criticality, so that the other is returned.
func leastImportant(arguments ...any) (any, error) {
	return chooseLevel(arguments, func(left, right criticality.Level) bool { return left >= right })
}

func chooseLevel(arguments []any, prefersLeft func(left, right criticality.Level) bool) (any, error) {
	if len(arguments) != 2 {
		return "", fmt.Errorf("two criticalities are needed, got %d", len(arguments))
	}
	left, leftIsText := arguments[0].(string)
	right, rightIsText := arguments[1].(string)
	if !leftIsText || !rightIsText {
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
