package policy

import (
	"slices"
	"strconv"

	"github.com/expr-lang/expr/ast"
)

// operatorNames lists the operators of the policy language for error messages.
var operatorNames = []string{
	"&&", "||", "!", "and", "or", "not", "==", "!=", "<", "<=", ">", ">=",
	"+", "-", "*", "/", "%", "in", "not in", "startsWith", "endsWith", "contains", "? :",
}

// promoteNumeric returns the result type of an operation on two numbers: int if
// both are ints, otherwise float.
func promoteNumeric(left, right valueType) valueType {
	if left.kind == kindInt && right.kind == kindInt {
		return intValue
	}
	return floatValue
}

func (c *checker) unary(node *ast.UnaryNode) valueType {
	operand := c.check(node.Node)
	if operand.kind == kindFaulty {
		return faultyValue
	}
	switch node.Operator {
	case "!", "not":
		if operand.kind == kindBool {
			return boolValue
		}
		return c.fault(node, nil, "%s needs a bool, it has %s", node.Operator, operand.kind)
	case "-", "+":
		if operand.kind.numeric() {
			return operand
		}
		return c.fault(node, nil, "%s needs a number, it has %s", node.Operator, operand.kind)
	default:
		return c.fault(node, operatorNames, "unknown operator %s", node.Operator)
	}
}

func (c *checker) binary(node *ast.BinaryNode) valueType {
	switch node.Operator {
	case "in":
		return c.membership(node)
	case "&&", "and", "||", "or":
		return c.operands(node, boolValue, "bools", isBool)
	case "==", "!=":
		return c.equality(node)
	case "<", "<=", ">", ">=":
		return c.operands(node, boolValue, "numbers", isNumber)
	case "+", "-", "*":
		return c.arithmetic(node)
	case "/", "%":
		return c.division(node)
	case "startsWith", "endsWith", "contains":
		return c.operands(node, boolValue, "strings", isString)
	default:
		return c.fault(node, operatorNames, "unknown operator %s", node.Operator)
	}
}

func isBool(k kind) bool   { return k == kindBool }
func isNumber(k kind) bool { return k.numeric() }
func isString(k kind) bool { return k == kindString }

// operands checks both operands of a binary operator that needs one kind of
// value.
func (c *checker) operands(node *ast.BinaryNode, result valueType, needed string, accepts func(kind) bool) valueType {
	left := c.check(node.Left)
	right := c.check(node.Right)
	if left.kind == kindFaulty || right.kind == kindFaulty {
		return faultyValue
	}
	if !accepts(left.kind) || !accepts(right.kind) {
		return c.fault(node, nil, "%s needs two %s, it has %s and %s", node.Operator, needed, left.kind, right.kind)
	}
	return result
}

func (c *checker) arithmetic(node *ast.BinaryNode) valueType {
	if c.operands(node, intValue, "numbers", isNumber).kind == kindFaulty {
		return faultyValue
	}
	return promoteNumeric(c.check(node.Left), c.check(node.Right))
}

// numericArguments checks the arguments of a function of two numbers.
func (c *checker) numericArguments(name string, left, right ast.Node) valueType {
	leftType, rightType := c.check(left), c.check(right)
	if leftType.kind == kindFaulty || rightType.kind == kindFaulty {
		return faultyValue
	}
	if !leftType.kind.numeric() {
		return c.fault(left, nil, "%s needs two numbers, this is %s", name, leftType.kind)
	}
	if !rightType.kind.numeric() {
		return c.fault(right, nil, "%s needs two numbers, this is %s", name, rightType.kind)
	}
	return promoteNumeric(leftType, rightType)
}

// division accepts only nonzero literals as divisors, so that evaluation can't
// fail.
func (c *checker) division(node *ast.BinaryNode) valueType {
	if c.operands(node, floatValue, "numbers", isNumber).kind == kindFaulty {
		return faultyValue
	}
	if !nonzeroLiteral(node.Right) {
		return c.fault(node.Right, nil, "the divisor of %s must be a literal other than 0", node.Operator)
	}
	if node.Operator == "/" {
		return floatValue
	}
	if promoteNumeric(c.check(node.Left), c.check(node.Right)).kind != kindInt {
		return c.fault(node, nil, "%% needs two ints")
	}
	return intValue
}

func nonzeroLiteral(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.IntegerNode:
		return n.Value != 0
	case *ast.FloatNode:
		return n.Value != 0
	default:
		return false
	}
}

func (c *checker) equality(node *ast.BinaryNode) valueType {
	left := c.check(node.Left)
	right := c.check(node.Right)
	if left.kind == kindFaulty || right.kind == kindFaulty {
		return faultyValue
	}
	if left.kind != right.kind && !(left.kind.numeric() && right.kind.numeric()) {
		return c.fault(node, nil, "%s needs two values of one type, it has %s and %s", node.Operator, left.kind, right.kind)
	}
	c.checkLiteral(node.Right, left.values)
	c.checkLiteral(node.Left, right.values)
	return boolValue
}

// checkLiteral checks that a string literal compared with an enumerated
// variable is one of its values: otherwise the comparison is never true.
func (c *checker) checkLiteral(node ast.Node, values []string) {
	literal, isString := node.(*ast.StringNode)
	if !isString || values == nil || slices.Contains(values, literal.Value) {
		return
	}
	c.fault(node, quoteAll(values), "%q is never equal to this variable", literal.Value)
}

func quoteAll(values []string) []string {
	quotes := make([]string, len(values))
	for i, value := range values {
		quotes[i] = strconv.Quote(value)
	}
	return quotes
}

// membership checks "value in [literal, ...]".
func (c *checker) membership(node *ast.BinaryNode) valueType {
	left := c.check(node.Left)
	list, isList := node.Right.(*ast.ArrayNode)
	if !isList {
		return c.fault(node.Right, nil, "in needs a list of literals on its right")
	}
	if left.kind == kindFaulty {
		return faultyValue
	}
	if left.kind != kindString && left.kind != kindInt {
		return c.fault(node, nil, "in needs a string or an int on its left, it has %s", left.kind)
	}
	for _, element := range list.Nodes {
		c.checkElement(element, left)
	}
	return boolValue
}

func (c *checker) checkElement(node ast.Node, expected valueType) {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode:
	default:
		c.fault(node, nil, "a list holds only string and int literals")
		return
	}
	if actual := c.check(node); actual.kind != expected.kind {
		c.fault(node, nil, "the list must hold %s values, this is %s", expected.kind, actual.kind)
		return
	}
	c.checkLiteral(node, expected.values)
}
