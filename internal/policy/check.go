package policy

import (
	"fmt"
	"slices"

	"github.com/expr-lang/expr/ast"
	"github.com/lugspur/lugspur/internal/criticality"
)

// checker finds every fault of one parsed expression and types its nodes.
type checker struct {
	specification *specification
	text          string
	faults        []Fault
	// types holds the types found so far: a node is checked once, however
	// often its type is asked for.
	types map[ast.Node]valueType
}

// fault lists a fault at a node.
func (c *checker) fault(node ast.Node, allowed []string, format string, arguments ...any) valueType {
	message := fmt.Sprintf(format, arguments...)
	found := faultAt(c.specification.name, c.text, node.Location(), message, allowed)
	c.faults = append(c.faults, found)
	return faulty
}

// check returns the type of a node after checking it and all below it.
func (c *checker) check(node ast.Node) valueType {
	if known, found := c.types[node]; found {
		return known
	}
	found := c.inspect(node)
	c.types[node] = found
	return found
}

func (c *checker) inspect(node ast.Node) valueType {
	switch n := node.(type) {
	case *ast.BoolNode:
		return boolValue
	case *ast.IntegerNode:
		return intValue
	case *ast.FloatNode:
		return floatValue
	case *ast.StringNode:
		return stringValue
	case *ast.IdentifierNode:
		return c.identifier(n)
	case *ast.MemberNode:
		return c.member(n)
	case *ast.UnaryNode:
		return c.unary(n)
	case *ast.BinaryNode:
		return c.binary(n)
	case *ast.ConditionalNode:
		return c.conditional(n)
	case *ast.BuiltinNode:
		return c.function(n, n.Name, n.Arguments)
	case *ast.CallNode:
		return c.call(n)
	default:
		return c.fault(node, nil, "%s not part of the policy language", describe(node))
	}
}

// describe names the parts of expr that the policy language leaves out.
func describe(node ast.Node) string {
	switch node.(type) {
	case *ast.NilNode:
		return "nil is"
	case *ast.ArrayNode:
		return "a list other than one of literals right of \"in\" is"
	case *ast.MapNode:
		return "a map is"
	case *ast.SliceNode:
		return "a slice is"
	case *ast.ChainNode:
		return "the operator ?. is"
	case *ast.SequenceNode:
		return "a sequence with ; is"
	case *ast.VariableDeclaratorNode:
		return "let is"
	default:
		return "this is"
	}
}

func (c *checker) identifier(node *ast.IdentifierNode) valueType {
	if slices.Contains(c.specification.variables, node.Value) {
		allowed := variableNames([]string{node.Value})
		return c.fault(node, allowed, "%s is a group of variables, not a value", node.Value)
	}
	return c.unknownVariable(node, node.Value)
}

// unknownVariable tells a variable that doesn't exist from one that another
// expression could use.
func (c *checker) unknownVariable(node ast.Node, name string) valueType {
	allowed := variableNames(c.specification.variables)
	if _, elsewhere := fields[name]; elsewhere {
		return c.fault(node, allowed, "%s is not known when %s is evaluated", name, c.specification.name)
	}
	return c.fault(node, allowed, "unknown variable %s", name)
}

func (c *checker) member(node *ast.MemberNode) valueType {
	group, groupIsName := node.Node.(*ast.IdentifierNode)
	field, fieldIsName := node.Property.(*ast.StringNode)
	if !groupIsName || !fieldIsName || node.Optional || node.Method {
		allowed := variableNames(c.specification.variables)
		return c.fault(node, allowed, "a variable is written as group.name")
	}
	if !slices.Contains(c.specification.variables, group.Value) {
		return c.unknownVariable(group, group.Value)
	}
	variable, found := fields[group.Value][field.Value]
	if !found {
		allowed := variableNames([]string{group.Value})
		return c.fault(node, allowed, "unknown variable %s.%s", group.Value, field.Value)
	}
	return variable
}

func (c *checker) conditional(node *ast.ConditionalNode) valueType {
	condition := c.check(node.Cond)
	if condition.kind != kindBool && condition.kind != kindFaulty {
		c.fault(node.Cond, nil, "the condition before ? must be bool, it is %s", condition.kind)
	}
	left := c.check(node.Exp1)
	right := c.check(node.Exp2)
	if left.kind == kindFaulty || right.kind == kindFaulty {
		return faulty
	}
	if left.kind.numeric() && right.kind.numeric() {
		return wider(left, right)
	}
	if left.kind != right.kind {
		return c.fault(node.Exp2, nil, "both sides of : must have one type, they are %s and %s", left.kind, right.kind)
	}
	return valueType{kind: left.kind}
}

func (c *checker) call(node *ast.CallNode) valueType {
	callee, isName := node.Callee.(*ast.IdentifierNode)
	if !isName {
		return c.fault(node.Callee, functionSignatures, "variables have no methods")
	}
	return c.function(node, callee.Value, node.Arguments)
}

func (c *checker) function(node ast.Node, name string, arguments []ast.Node) valueType {
	switch name {
	case functionMin, functionMax, functionMostImportant, functionLeastImportant:
	default:
		return c.fault(node, functionSignatures, "unknown function %s", name)
	}
	if len(arguments) != 2 {
		return c.fault(node, functionSignatures, "%s takes 2 arguments, it has %d", name, len(arguments))
	}
	if name == functionMin || name == functionMax {
		return c.numbers(name, arguments[0], arguments[1])
	}
	for _, argument := range arguments {
		if c.check(argument).kind != kindFaulty {
			c.criticality(argument)
		}
	}
	return levelValue
}

// criticality checks that a well-typed node can only give a criticality.
func (c *checker) criticality(node ast.Node) {
	switch n := node.(type) {
	case *ast.ConditionalNode:
		c.criticality(n.Exp1)
		c.criticality(n.Exp2)
		return
	case *ast.StringNode:
		if !slices.Contains(criticality.Names(), n.Value) {
			c.fault(node, criticality.Names(), "unknown criticality %q", n.Value)
		}
		return
	}
	if given := c.check(node); slices.Contains(given.values, levelValue.values[0]) {
		return
	}
	c.fault(node, criticality.Names(), "a criticality is needed here")
}
