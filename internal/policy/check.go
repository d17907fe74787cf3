package policy

import (
	"fmt"
	"slices"

	"github.com/expr-lang/expr/ast"
	"github.com/lugspur/lugspur/internal/criticality"
)

// checker type-checks a parsed expression and collects its faults.
type checker struct {
	specification *specification
	text          string
	faults        []Fault
	// types caches the types of checked nodes, so that a node is checked only
	// once.
	types map[ast.Node]valueType
}

// fault records a fault at a node and returns the faulty type.
func (c *checker) fault(node ast.Node, allowed []string, format string, arguments ...any) valueType {
	message := fmt.Sprintf(format, arguments...)
	fault := faultAt(c.specification.name, c.text, node.Location(), message, allowed)
	c.faults = append(c.faults, fault)
	return faultyValue
}

// check checks a node and its children and returns its type.
func (c *checker) check(node ast.Node) valueType {
	if cached, found := c.types[node]; found {
		return cached
	}
	inferred := c.inferType(node)
	c.types[node] = inferred
	return inferred
}

func (c *checker) inferType(node ast.Node) valueType {
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
		return c.fault(node, nil, "%s not part of the policy language", describeConstruct(node))
	}
}

// describeConstruct names the constructs of expr that the policy language
// excludes.
func describeConstruct(node ast.Node) string {
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

// unknownVariable reports a variable that doesn't exist or that is available
// only to other expressions.
func (c *checker) unknownVariable(node ast.Node, name string) valueType {
	allowed := variableNames(c.specification.variables)
	if _, exists := variableGroups[name]; exists {
		return c.fault(node, allowed, "%s is not known when %s is evaluated", name, c.specification.name)
	}
	return c.fault(node, allowed, "unknown variable %s", name)
}

func (c *checker) member(node *ast.MemberNode) valueType {
	group, groupIsIdentifier := node.Node.(*ast.IdentifierNode)
	field, fieldIsString := node.Property.(*ast.StringNode)
	if !groupIsIdentifier || !fieldIsString || node.Optional || node.Method {
		allowed := variableNames(c.specification.variables)
		return c.fault(node, allowed, "a variable is written as group.name")
	}
	if !slices.Contains(c.specification.variables, group.Value) {
		return c.unknownVariable(group, group.Value)
	}
	variable, found := variableGroups[group.Value][field.Value]
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
		return faultyValue
	}
	if left.kind.numeric() && right.kind.numeric() {
		return promoteNumeric(left, right)
	}
	if left.kind != right.kind {
		return c.fault(node.Exp2, nil, "both sides of : must have one type, they are %s and %s", left.kind, right.kind)
	}
	return valueType{kind: left.kind}
}

func (c *checker) call(node *ast.CallNode) valueType {
	callee, isIdentifier := node.Callee.(*ast.IdentifierNode)
	if !isIdentifier {
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
		return c.numericArguments(name, arguments[0], arguments[1])
	}
	for _, argument := range arguments {
		if c.check(argument).kind != kindFaulty {
			c.checkCriticality(argument)
		}
	}
	return levelValue
}

// checkCriticality checks that a well-typed node always yields a criticality.
func (c *checker) checkCriticality(node ast.Node) {
	switch n := node.(type) {
	case *ast.ConditionalNode:
		c.checkCriticality(n.Exp1)
		c.checkCriticality(n.Exp2)
		return
	case *ast.StringNode:
		if !slices.Contains(criticality.Names(), n.Value) {
			c.fault(node, criticality.Names(), "unknown criticality %q", n.Value)
		}
		return
	}
	if actual := c.check(node); slices.Contains(actual.values, levelValue.values[0]) {
		return
	}
	c.fault(node, criticality.Names(), "a criticality is needed here")
}
