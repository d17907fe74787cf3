package policy

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReferenceIsComplete checks that the policy reference documents every
// variable, enumerated value, function and default.
func TestReferenceIsComplete(t *testing.T) {
	data, err := os.ReadFile("../../docs/POLICY.md")
	assert.NilError(t, err)
	reference := strings.ReplaceAll(string(data), `\|`, "|")

	documented := variableNames([]string{"call", "load", "outcome"})
	documented = append(documented, functionSignatures...)
	documented = append(documented, reasonNames()...)
	documented = append(documented, levelValue.values...)
	documented = append(documented, DefaultAdmit, DefaultRank, DefaultRetry, DefaultRefuse)
	for _, text := range documented {
		assert.Assert(t, strings.Contains(reference, "`"+text+"`"), "%s is missing", text)
	}
}
