package policy

import (
	"github.com/expr-lang/expr/ast"
)

// result checks that an expression gives what its specification says.
func (c *checker) result(root ast.Node) {
	given := c.check(root)
	if given.kind == kindFaulty {
		return
	}
	switch c.specification.result {
	case resultBool:
		if given.kind != kindBool {
			c.fault(root, nil, "admit must give a bool, it gives %s", given.kind)
		}
	case resultCriticality:
		if given.kind != kindString {
			c.fault(root, levelValue.values, "rank must give a criticality, it gives %s", given.kind)
			return
		}
		c.criticality(root)
	case resultRetries:
		if given.kind != kindInt {
			c.fault(root, nil, "retry must give an int, it gives %s", given.kind)
			return
		}
		c.literalRange(root, 0, MaxRetries)
	case resultSeconds:
		if !given.kind.numeric() {
			c.fault(root, nil, "refuse must give a number of seconds, it gives %s", given.kind)
			return
		}
		c.literalRange(root, MinRefuseSeconds, MaxRefuseSeconds)
	}
}

// literalRange finds literal results outside the range. Computed results
// are moved to the nearer bound when they are used.
func (c *checker) literalRange(node ast.Node, lowest, highest int) {
	if conditional, isConditional := node.(*ast.ConditionalNode); isConditional {
		c.literalRange(conditional.Exp1, lowest, highest)
		c.literalRange(conditional.Exp2, lowest, highest)
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

// exceeds reports whether evaluating a tree could visit more than limit
// nodes. A chain of comparisons shares its middle operands, so nodes are
// counted as often as they are reached, and counting stops at the limit.
func exceeds(root ast.Node, limit int) bool {
	remaining := limit
	count(root, &remaining)
	return remaining < 0
}

func count(node ast.Node, remaining *int) {
	*remaining--
	if *remaining < 0 {
		return
	}
	for _, child := range children(node) {
		if *remaining < 0 {
			return
		}
		count(child, remaining)
	}
}

// children returns the direct operands of the nodes that the language has.
// Other nodes are refused by the checker, which doesn't look below them.
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
