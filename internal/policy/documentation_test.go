package policy

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReferenceIsComplete checks that the operator's reference names every
// variable, value, function and default.
func TestReferenceIsComplete(t *testing.T) {
	data, err := os.ReadFile("../../docs/POLICY.md")
	assert.NilError(t, err)
	reference := strings.ReplaceAll(string(data), `\|`, "|")

	wanted := variableNames([]string{"call", "load", "outcome"})
	wanted = append(wanted, functionSignatures...)
	wanted = append(wanted, reasonNames()...)
	wanted = append(wanted, levelValue.values...)
	wanted = append(wanted, DefaultAdmit, DefaultRank, DefaultRetry, DefaultRefuse)
	for _, text := range wanted {
		assert.Assert(t, strings.Contains(reference, "`"+text+"`"), "%s is missing", text)
	}
}
