package policy

import (
	"slices"
	"strconv"

	"github.com/expr-lang/expr/ast"
)

// operatorNames tells operators what they can write between values.
var operatorNames = []string{
	"&&", "||", "!", "and", "or", "not", "==", "!=", "<", "<=", ">", ">=",
	"+", "-", "*", "/", "%", "in", "not in", "startsWith", "endsWith", "contains", "? :",
}

// wider returns the type of an operation on two numbers.
func wider(left, right valueType) valueType {
	if left.kind == kindInt && right.kind == kindInt {
		return intValue
	}
	return floatValue
}

func (c *checker) unary(node *ast.UnaryNode) valueType {
	operand := c.check(node.Node)
	if operand.kind == kindFaulty {
		return faulty
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

// operands checks both sides of an operator that takes one sort of value.
func (c *checker) operands(node *ast.BinaryNode, result valueType, sort string, fits func(kind) bool) valueType {
	left := c.check(node.Left)
	right := c.check(node.Right)
	if left.kind == kindFaulty || right.kind == kindFaulty {
		return faulty
	}
	if !fits(left.kind) || !fits(right.kind) {
		return c.fault(node, nil, "%s needs two %s, it has %s and %s", node.Operator, sort, left.kind, right.kind)
	}
	return result
}

func (c *checker) arithmetic(node *ast.BinaryNode) valueType {
	if c.operands(node, intValue, "numbers", isNumber).kind == kindFaulty {
		return faulty
	}
	return wider(c.check(node.Left), c.check(node.Right))
}

// numbers checks the arguments of a function that takes two numbers.
func (c *checker) numbers(name string, left, right ast.Node) valueType {
	leftType, rightType := c.check(left), c.check(right)
	if leftType.kind == kindFaulty || rightType.kind == kindFaulty {
		return faulty
	}
	if !leftType.kind.numeric() {
		return c.fault(left, nil, "%s needs two numbers, this is %s", name, leftType.kind)
	}
	if !rightType.kind.numeric() {
		return c.fault(right, nil, "%s needs two numbers, this is %s", name, rightType.kind)
	}
	return wider(leftType, rightType)
}

// division allows only divisors that are literals other than zero, so that
// it can't fail when a call is waiting.
func (c *checker) division(node *ast.BinaryNode) valueType {
	if c.operands(node, floatValue, "numbers", isNumber).kind == kindFaulty {
		return faulty
	}
	if !nonzeroLiteral(node.Right) {
		return c.fault(node.Right, nil, "the divisor of %s must be a literal other than 0", node.Operator)
	}
	if node.Operator == "/" {
		return floatValue
	}
	if wider(c.check(node.Left), c.check(node.Right)).kind != kindInt {
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
		return faulty
	}
	if left.kind != right.kind && !(left.kind.numeric() && right.kind.numeric()) {
		return c.fault(node, nil, "%s needs two values of one type, it has %s and %s", node.Operator, left.kind, right.kind)
	}
	c.literal(node.Right, left.values)
	c.literal(node.Left, right.values)
	return boolValue
}

// literal checks that a string compared with a variable of few values is one
// of these: otherwise the comparison could never hold.
func (c *checker) literal(node ast.Node, values []string) {
	text, isText := node.(*ast.StringNode)
	if !isText || values == nil || slices.Contains(values, text.Value) {
		return
	}
	c.fault(node, quoted(values), "%q is never equal to this variable", text.Value)
}

func quoted(values []string) []string {
	marked := make([]string, len(values))
	for i, value := range values {
		marked[i] = strconv.Quote(value)
	}
	return marked
}

// membership checks "value in [literal, ...]".
func (c *checker) membership(node *ast.BinaryNode) valueType {
	left := c.check(node.Left)
	list, isList := node.Right.(*ast.ArrayNode)
	if !isList {
		return c.fault(node.Right, nil, "in needs a list of literals on its right")
	}
	if left.kind == kindFaulty {
		return faulty
	}
	if left.kind != kindString && left.kind != kindInt {
		return c.fault(node, nil, "in needs a string or an int on its left, it has %s", left.kind)
	}
	for _, element := range list.Nodes {
		c.element(element, left)
	}
	return boolValue
}

func (c *checker) element(node ast.Node, wanted valueType) {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode:
	default:
		c.fault(node, nil, "a list holds only string and int literals")
		return
	}
	if given := c.check(node); given.kind != wanted.kind {
		c.fault(node, nil, "the list must hold %s values, this is %s", wanted.kind, given.kind)
		return
	}
	c.literal(node, wanted.values)
}
