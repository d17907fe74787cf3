package policy

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

const exampleDirectory = "../../examples/policies"

// policyFile is an object file with one policy.
type policyFile struct {
	Kind string `toml:"kind"`
	Name string `toml:"name"`
	Spec Source `toml:"spec"`
}

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(exampleDirectory, name))
	assert.NilError(t, err)
	return data
}

func TestExamplePoliciesPassTheirCases(t *testing.T) {
	services := []string{"houseview", "ventctl", "logpull", "cropcal", "payslip", "disburse", "register", "taxlookup"}
	for _, service := range services {
		t.Run(service, func(t *testing.T) {
			var object policyFile
			decoder := toml.NewDecoder(bytes.NewReader(readExample(t, service+".toml")))
			assert.NilError(t, decoder.DisallowUnknownFields().Decode(&object))
			assert.Equal(t, object.Kind, "policy")
			assert.Equal(t, object.Name, service)

			tests, err := ParseTestFile(readExample(t, service+".cases.toml"))
			assert.NilError(t, err)
			results := RunCases(object.Spec, tests.Cases)
			assert.Equal(t, len(results), len(tests.Cases))
			for _, result := range results {
				assert.Assert(t, result.Passed(), "%s: %v %v", result.Name, result.Mismatches, result.Err)
			}
		})
	}
	files, err := filepath.Glob(filepath.Join(exampleDirectory, "*.toml"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2*len(services), "every policy must have a case file and be listed in this test")
}

func TestRunCasesReportsMismatches(t *testing.T) {
	tests, err := ParseTestFile([]byte(`
[[case]]
name = "all wrong"
call = { method = "POST", hops = 2 }
outcome = { executed = "no", attempt = 1 }
expect = { admit = true, rank = "critical", retry = 2, refuse = 9 }

[[case]]
name = "right"
expect = { rank = "sheddable" }

[[case]]
name = "not evaluated"
call = { path = "/` + strings.Repeat("x", MaxInputBytes) + `" }
expect = { rank = "sheddable" }
`))
	assert.NilError(t, err)
	source := Source{
		Admit: `call.method == "GET"`, Rank: `call.method == "POST" ? "critical-plus" : "sheddable"`, Retry: "call.hops - 1",
	}
	results := RunCases(source, tests.Cases)
	var reported []string
	for _, mismatch := range results[0].Mismatches {
		reported = append(reported, mismatch.String())
	}
	assert.DeepEqual(t, reported, []string{
		"admit: want true, got false", "rank: want critical, got critical-plus",
		"retry: want 2, got 1", "refuse: want 9, got 1",
	})
	assert.Assert(t, results[1].Passed())
	assert.Assert(t, !results[2].Passed(), "a case with an evaluation error must fail, even if the safe result matches")
	assert.ErrorIs(t, results[2].Mismatches[0].Err, ErrInputTooLong)

	for _, result := range RunCases(Source{Admit: "1"}, tests.Cases) {
		assert.ErrorContains(t, result.Err, "admit must give a bool")
		assert.Assert(t, !result.Passed())
	}
}

func TestParseTestFileRejectsInvalidFiles(t *testing.T) {
	tests := []struct{ name, text, message string }{
		{"grammar", "[[case]\n", "line 1"},
		{"unknown field", "[[case]]\nname = \"a\"\ncall = { verb = \"GET\" }\nexpect = { retry = 1 }", "line 3, column 10: unknown field"},
		{"unknown expectation", "[[case]]\nname = \"a\"\nexpect = { rnak = \"critical\" }", "unknown field"},
		{"wrong type", "[[case]]\nname = \"a\"\ncall = { hops = \"two\" }\nexpect = { retry = 1 }", "line 3"},
		{"no case", "", "no [[case]]"},
		{"no name", "[[case]]\nexpect = { retry = 1 }", "empty or used twice"},
		{"name twice", strings.Repeat("[[case]]\nname = \"a\"\nexpect = { retry = 1 }\n", 2), "case 2: the name \"a\""},
		{"nothing expected", "[[case]]\nname = \"a\"", "expects nothing"},
		{"rank", "[[case]]\nname = \"a\"\nexpect = { rank = \"high\" }", "expect.rank can't be \"high\""},
		{"incoming rank", "[[case]]\nname = \"a\"\ncall = { incoming_rank = \"high\" }\nexpect = { retry = 1 }", "call.incoming_rank can't be \"high\""},
		{"shed level", "[[case]]\nname = \"a\"\nload = { shed_level = \"none\" }\nexpect = { retry = 1 }", "load.shed_level can't be \"none\""},
		{"executed", "[[case]]\nname = \"a\"\noutcome = { executed = \"maybe\" }\nexpect = { retry = 1 }", "outcome.executed can't be \"maybe\""},
		{"reason", "[[case]]\nname = \"a\"\noutcome = { reason = \"overload\" }\nexpect = { retry = 1 }", "outcome.reason can't be \"overload\""},
		{"too long", strings.Repeat("#", MaxTestFileBytes+1), "longer than"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseTestFile([]byte(test.text))
			assert.ErrorContains(t, err, test.message)
		})
	}
}
