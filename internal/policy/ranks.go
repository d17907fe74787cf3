package policy

import (
	"sync"

	"github.com/expr-lang/expr/ast"

	"github.com/lugspur/lugspur/internal/criticality"
)

// maxRanks bounds a rankTable. When it is full, all ranks are dropped.
const maxRanks = 1024

// rankVariables are the variables of a call on which the ranks in a rankTable depend. They have
// few values, unlike a path or a timeout.
type rankVariables struct {
	tenant                   string
	tenantPriority, priority int
}

// rankVariableNames are the names of rankVariables in the group "call".
var rankVariableNames = map[string]bool{"tenant": true, "tenant_priority": true, "priority": true}

// rankTable holds ranks that were evaluated. It is safe for concurrent use.
type rankTable struct {
	mutex  sync.Mutex
	levels map[rankVariables]criticality.Level
}

func rankVariablesOf(call *Call) rankVariables {
	return rankVariables{tenant: call.Tenant, tenantPriority: call.TenantPriority, priority: call.Priority}
}

func (t *rankTable) get(variables rankVariables) (criticality.Level, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	level, found := t.levels[variables]
	return level, found
}

func (t *rankTable) put(variables rankVariables, level criticality.Level) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.levels == nil || len(t.levels) >= maxRanks {
		t.levels = make(map[rankVariables]criticality.Level)
	}
	t.levels[variables] = level
}

// dependsOnRankVariables reports whether the expression reads no variables but rankVariables. One
// that calls a function counts as reading others.
func dependsOnRankVariables(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode, *ast.StringNode:
		return true
	case *ast.MemberNode:
		return isRankVariable(n)
	case *ast.UnaryNode:
		return dependsOnRankVariables(n.Node)
	case *ast.BinaryNode:
		return dependsOnRankVariables(n.Left) && dependsOnRankVariables(n.Right)
	case *ast.ConditionalNode:
		return dependsOnRankVariables(n.Cond) && dependsOnRankVariables(n.Exp1) && dependsOnRankVariables(n.Exp2)
	}
	return false
}

func isRankVariable(node *ast.MemberNode) bool {
	group, isIdentifier := node.Node.(*ast.IdentifierNode)
	field, isString := node.Property.(*ast.StringNode)
	return isIdentifier && isString && group.Value == "call" && rankVariableNames[field.Value]
}
