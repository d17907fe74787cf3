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

// Program is a compiled policy. It doesn't change and is safe for concurrent
// use.
type Program struct {
	admit  expression
	rank   expression
	retry  expression
	refuse expression
}

// expression is one compiled expression. One that is a single literal is
// kept as its value and needs no evaluation.
type expression struct {
	program *vm.Program
	literal any
}

// defaults holds the compiled default expressions, which all policies share.
var defaults = sync.OnceValue(compileDefaults)

func compileDefaults() *Program {
	program := &Program{}
	for _, part := range program.parts(Source{}) {
		compiled, faults := compileExpression(part.specification, part.specification.defaults)
		if len(faults) > 0 {
			panic((&CompileError{Faults: faults}).Error())
		}
		*part.target = compiled
	}
	return program
}

// part ties an expression's text to the place of its compiled form.
type part struct {
	specification *specification
	text          string
	target        *expression
	fallback      func(*Program) expression
}

func (p *Program) parts(source Source) []part {
	return []part{
		{&admitSpecification, source.Admit, &p.admit, func(d *Program) expression { return d.admit }},
		{&rankSpecification, source.Rank, &p.rank, func(d *Program) expression { return d.rank }},
		{&retrySpecification, source.Retry, &p.retry, func(d *Program) expression { return d.retry }},
		{&refuseSpecification, source.Refuse, &p.refuse, func(d *Program) expression { return d.refuse }},
	}
}

// Compile checks and compiles a policy. The error is a *CompileError that
// lists every fault of every expression; only the first fault of grammar is
// found in each, as nothing after it can be read.
func Compile(source Source) (*Program, error) {
	program := &Program{}
	var faults []Fault
	for _, part := range program.parts(source) {
		if isDefault(part.text) && len(part.text) <= MaxSourceBytes {
			*part.target = part.fallback(defaults())
			continue
		}
		compiled, found := compileExpression(part.specification, part.text)
		*part.target = compiled
		faults = append(faults, found...)
	}
	if len(faults) > 0 {
		return nil, &CompileError{Faults: faults}
	}
	return program, nil
}

// compileExpression turns a panic of the compiler into a fault: a policy
// comes from outside, so it must not be able to end a node.
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
	checker.result(root)
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
	return expression{program: program}, nil
}

// parse returns the root of the expression's tree, of bounded size.
func parse(specification *specification, text string) (ast.Node, []Fault) {
	config := conf.CreateNew()
	for _, option := range options() {
		option(config)
	}
	tree, err := parser.ParseWithConfig(text, config)
	if err != nil {
		return nil, []Fault{libraryFault(specification, text, err)}
	}
	if exceeds(tree.Node, MaxNodes) {
		message := fmt.Sprintf("the expression has more than %d operators, variables, literals and calls", MaxNodes)
		return nil, []Fault{faultAt(specification.name, text, file.Location{}, message, nil)}
	}
	return tree.Node, nil
}

// libraryFault turns an error of the expr library into a fault.
func libraryFault(specification *specification, text string, err error) Fault {
	var placed *file.Error
	if !errors.As(err, &placed) {
		return faultAt(specification.name, text, file.Location{}, err.Error(), nil)
	}
	message := strings.ReplaceAll(placed.Message, "\n", " ")
	return faultAt(specification.name, text, placed.Location, message, nil)
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
