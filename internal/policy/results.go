package policy

import (
	"github.com/expr-lang/expr/ast"
)

// checkResult checks the type and range of an expression's result against its
// specification.
func (c *checker) checkResult(root ast.Node) {
	result := c.check(root)
	if result.kind == kindFaulty {
		return
	}
	switch c.specification.result {
	case resultBool:
		if result.kind != kindBool {
			c.fault(root, nil, "admit must give a bool, it gives %s", result.kind)
		}
	case resultCriticality:
		if result.kind != kindString {
			c.fault(root, levelValue.values, "rank must give a criticality, it gives %s", result.kind)
			return
		}
		c.checkCriticality(root)
	case resultRetries:
		if result.kind != kindInt {
			c.fault(root, nil, "retry must give an int, it gives %s", result.kind)
			return
		}
		c.checkLiteralRange(root, 0, MaxRetries)
	case resultSeconds:
		if !result.kind.numeric() {
			c.fault(root, nil, "refuse must give a number of seconds, it gives %s", result.kind)
			return
		}
		c.checkLiteralRange(root, MinRefuseSeconds, MaxRefuseSeconds)
	}
}

// checkLiteralRange reports literal results outside the range. Computed results
// are clamped at evaluation.
func (c *checker) checkLiteralRange(node ast.Node, lowest, highest int) {
	if conditional, isConditional := node.(*ast.ConditionalNode); isConditional {
		c.checkLiteralRange(conditional.Exp1, lowest, highest)
		c.checkLiteralRange(conditional.Exp2, lowest, highest)
		return
	}
	value, isLiteral := numberLiteral(node)
	if !isLiteral {
		return
	}
	if value < float64(lowest) || value > float64(highest) {
		c.fault(node, nil, "%s must give %d to %d, this is %v", c.specification.name, lowest, highest, value)
	}
}

func numberLiteral(node ast.Node) (value float64, isLiteral bool) {
	switch n := node.(type) {
	case *ast.IntegerNode:
		return float64(n.Value), true
	case *ast.FloatNode:
		return n.Value, true
	case *ast.UnaryNode:
		value, isLiteral = numberLiteral(n.Node)
		if n.Operator == "-" {
			value = -value
		}
		return value, isLiteral
	default:
		return 0, false
	}
}

// exceedsNodeLimit reports whether evaluating a tree could visit more than limit
// nodes. A chain of comparisons shares its middle operands, so a node is counted
// each time that it is reached, and counting stops at the limit.
func exceedsNodeLimit(root ast.Node, limit int) bool {
	remaining := limit
	countNodes(root, &remaining)
	return remaining < 0
}

func countNodes(node ast.Node, remaining *int) {
	*remaining--
	if *remaining < 0 {
		return
	}
	for _, child := range children(node) {
		if *remaining < 0 {
			return
		}
		countNodes(child, remaining)
	}
}

// children returns the operands of a node of the policy language. The checker
// rejects all other nodes without visiting their children.
func children(node ast.Node) []ast.Node {
	switch n := node.(type) {
	case *ast.UnaryNode:
		return []ast.Node{n.Node}
	case *ast.BinaryNode:
		return []ast.Node{n.Left, n.Right}
	case *ast.ConditionalNode:
		return []ast.Node{n.Cond, n.Exp1, n.Exp2}
	case *ast.MemberNode:
		return []ast.Node{n.Node}
	case *ast.ArrayNode:
		return n.Nodes
	case *ast.CallNode:
		return n.Arguments
	case *ast.BuiltinNode:
		return n.Arguments
	default:
		return nil
	}
}
