package policy

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/conf"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// Program is a compiled policy. It is safe for concurrent use.
type Program struct {
	admit  expression
	rank   expression
	retry  expression
	refuse expression
	// ranks holds results of the rank expression; nil if these depend on other variables than
	// rankVariables.
	ranks *rankTable
}

// expression is a compiled expression. A single literal is stored as its value
// and needs no evaluation.
type expression struct {
	program *vm.Program
	literal any
	// rankVariablesOnly is set if the program reads no variables but rankVariables.
	rankVariablesOnly bool
}

// defaultProgram returns the compiled default expressions, which all policies
// share.
var defaultProgram = sync.OnceValue(compileDefaultProgram)

func compileDefaultProgram() *Program {
	program := &Program{}
	for _, slot := range program.slots(Source{}) {
		compiled, faults := compileExpression(slot.specification, slot.specification.defaultText)
		if len(faults) > 0 {
			panic((&CompileError{Faults: faults}).Error())
		}
		*slot.destination = compiled
	}
	return program
}

// expressionSlot connects the source text of an expression with the field of
// the Program that holds its compiled form.
type expressionSlot struct {
	specification *specification
	text          string
	destination   *expression
	fallback      func(*Program) expression
}

func (p *Program) slots(source Source) []expressionSlot {
	return []expressionSlot{
		{&admitSpecification, source.Admit, &p.admit, func(d *Program) expression { return d.admit }},
		{&rankSpecification, source.Rank, &p.rank, func(d *Program) expression { return d.rank }},
		{&retrySpecification, source.Retry, &p.retry, func(d *Program) expression { return d.retry }},
		{&refuseSpecification, source.Refuse, &p.refuse, func(d *Program) expression { return d.refuse }},
	}
}

// Compile checks and compiles a policy. The error is a *CompileError that lists
// every fault of every expression, but only the first syntax error of each:
// parsing stops there.
func Compile(source Source) (*Program, error) {
	program := &Program{}
	var faults []Fault
	for _, slot := range program.slots(source) {
		if isBlank(slot.text) && len(slot.text) <= MaxSourceBytes {
			*slot.destination = slot.fallback(defaultProgram())
			continue
		}
		compiled, slotFaults := compileExpression(slot.specification, slot.text)
		*slot.destination = compiled
		faults = append(faults, slotFaults...)
	}
	if len(faults) > 0 {
		return nil, &CompileError{Faults: faults}
	}
	if program.rank.rankVariablesOnly {
		program.ranks = &rankTable{}
	}
	return program, nil
}

// compileExpression reports a panic of the compiler as a fault: a policy is
// external input and must not be able to crash a node.
func compileExpression(specification *specification, text string) (compiled expression, faults []Fault) {
	defer func() {
		if cause := recover(); cause != nil {
			message := fmt.Sprintf("the expression can't be compiled: %v", cause)
			compiled = expression{}
			faults = []Fault{faultAt(specification.name, text, file.Location{}, message, nil)}
		}
	}()
	return checkAndCompile(specification, text)
}

func checkAndCompile(specification *specification, text string) (expression, []Fault) {
	if len(text) > MaxSourceBytes {
		message := fmt.Sprintf("the expression is longer than %d bytes", MaxSourceBytes)
		return expression{}, []Fault{faultAt(specification.name, text, file.Location{}, message, nil)}
	}
	root, faults := parse(specification, text)
	if len(faults) > 0 {
		return expression{}, faults
	}
	checker := &checker{specification: specification, text: text, types: map[ast.Node]valueType{}}
	checker.checkResult(root)
	if len(checker.faults) > 0 {
		return expression{}, checker.faults
	}
	if literal, isLiteral := literalOf(root); isLiteral {
		return expression{literal: literal}, nil
	}
	program, err := expr.Compile(text, options()...)
	if err != nil {
		return expression{}, []Fault{libraryFault(specification, text, err)}
	}
	return expression{program: program, rankVariablesOnly: dependsOnRankVariables(root)}, nil
}

// parse returns the root of the expression's syntax tree, which has at most
// MaxNodes nodes.
func parse(specification *specification, text string) (ast.Node, []Fault) {
	config := conf.CreateNew()
	for _, option := range options() {
		option(config)
	}
	tree, err := parser.ParseWithConfig(text, config)
	if err != nil {
		return nil, []Fault{libraryFault(specification, text, err)}
	}
	if exceedsNodeLimit(tree.Node, MaxNodes) {
		message := fmt.Sprintf("the expression has more than %d operators, variables, literals and calls", MaxNodes)
		return nil, []Fault{faultAt(specification.name, text, file.Location{}, message, nil)}
	}
	return tree.Node, nil
}

// libraryFault converts an error of the expr library to a fault.
func libraryFault(specification *specification, text string, err error) Fault {
	var located *file.Error
	if !errors.As(err, &located) {
		return faultAt(specification.name, text, file.Location{}, err.Error(), nil)
	}
	message := strings.ReplaceAll(located.Message, "\n", " ")
	return faultAt(specification.name, text, located.Location, message, nil)
}

func literalOf(node ast.Node) (value any, isLiteral bool) {
	switch n := node.(type) {
	case *ast.BoolNode:
		return n.Value, true
	case *ast.IntegerNode:
		return n.Value, true
	case *ast.FloatNode:
		return n.Value, true
	case *ast.StringNode:
		return n.Value, true
	default:
		return nil, false
	}
}
