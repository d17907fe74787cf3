package policy

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const tenantRank = `call.tenant != "" && call.tenant_priority <= 0 ? "critical-plus" : call.priority + call.tenant_priority == 1 ? "critical" : "sheddable"`

// TestRanksAreKeptOnlyIfTheyDependOnFewVariables guards against a rank that is kept although it
// depends on a variable that differs in the next call.
func TestRanksAreKeptOnlyIfTheyDependOnFewVariables(t *testing.T) {
	for _, rank := range []string{tenantRank, `not (call.priority > 1) ? "critical" : "sheddable"`} {
		assert.Assert(t, mustCompile(t, Source{Rank: rank}).ranks != nil, rank)
	}
	for _, rank := range []string{
		`call.path == "/x" ? "critical" : "sheddable"`,
		`call.priority == 0 && call.timeout_ms < 100 ? "critical" : "sheddable"`,
		`call.tenant startsWith "a" || call.method == "GET" ? "critical" : "sheddable"`,
		`call.priority == 0 ? (call.keyed ? "critical" : "sheddable-plus") : "sheddable"`,
		`"critical"`,
	} {
		assert.Assert(t, mustCompile(t, Source{Rank: rank}).ranks == nil, rank)
	}
}

// TestKeptRanksAreThoseEvaluated compares the ranks of a program with evaluations of the
// expression, in any order of calls.
func TestKeptRanksAreThoseEvaluated(t *testing.T) {
	program := mustCompile(t, Source{Rank: tenantRank})
	rapid.Check(t, func(t *rapid.T) {
		call := Call{
			Tenant:         rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"),
			TenantPriority: rapid.IntRange(-1, 2).Draw(t, "tenant priority"),
			Priority:       rapid.IntRange(0, 3).Draw(t, "priority"),
			Path:           rapid.SampledFrom([]string{"/x", strings.Repeat("x", MaxInputBytes+1)}).Draw(t, "path"),
		}
		level, err := program.Rank(call)
		expected, expectedErr := program.evaluateRank(call)
		assert.Equal(t, level, expected)
		assert.Equal(t, err == nil, expectedErr == nil)
	})
}

// TestKeptRanksAreBounded guards against a table that grows with the number of tenants.
func TestKeptRanksAreBounded(t *testing.T) {
	program := mustCompile(t, Source{Rank: tenantRank})
	for i := range 3 * maxRanks {
		_, err := program.Rank(Call{Tenant: strconv.Itoa(i)})
		assert.NilError(t, err)
		assert.Assert(t, len(program.ranks.levels) <= maxRanks)
	}
}
