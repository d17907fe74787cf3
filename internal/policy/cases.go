package policy

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// Limits on test files.
const (
	// MaxTestFileBytes is the maximum size of a test file, in bytes.
	MaxTestFileBytes = 1 << 20
	// MaxCases is the maximum number of cases in a test file.
	MaxCases = 1000
)

// TestFile holds the test cases that a policy must pass before it is applied.
type TestFile struct {
	Cases []Case `toml:"case"`
}

// Case is a test case: the variables and the expected results.
type Case struct {
	Name    string      `toml:"name"`
	Call    Call        `toml:"call"`
	Load    Load        `toml:"load"`
	Outcome Outcome     `toml:"outcome"`
	Expect  Expectation `toml:"expect"`
}

// Expectation holds the expected results; omitted ones aren't evaluated.
type Expectation struct {
	Admit  *bool   `toml:"admit"`
	Rank   *string `toml:"rank"`
	Retry  *int    `toml:"retry"`
	Refuse *int    `toml:"refuse"`
}

// CaseResult is the result of a test case.
type CaseResult struct {
	// Name is the name of the case.
	Name string
	// Mismatches lists the expressions with an unexpected result or an error.
	Mismatches []Mismatch
	// Err is the policy's compile error, if any.
	Err error
}

// Passed reports whether the policy passed the case.
func (r CaseResult) Passed() bool { return r.Err == nil && len(r.Mismatches) == 0 }

// Mismatch is an expression whose result differs from the expected one.
type Mismatch struct {
	Expression string
	Want       string
	Got        string
	// Err is the evaluation error, if any; Got is then the safe result.
	Err error
}

// String formats the mismatch on one line.
func (m Mismatch) String() string {
	text := fmt.Sprintf("%s: want %s, got %s", m.Expression, m.Want, m.Got)
	if m.Err == nil {
		return text
	}
	return fmt.Sprintf("%s (%v)", text, m.Err)
}

// ParseTestFile parses a TOML test file. Unknown fields, values that are
// invalid for their variable and cases without an expectation are errors.
func ParseTestFile(data []byte) (TestFile, error) {
	errBuilder := oops.In("policy").With("step", "parse test file")
	if len(data) > MaxTestFileBytes {
		return TestFile{}, errBuilder.Errorf("the test file is longer than %d bytes", MaxTestFileBytes)
	}
	var parsed TestFile
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&parsed); err != nil {
		return TestFile{}, errBuilder.Wrapf(addPosition(err), "parse test file")
	}
	if err := parsed.validate(); err != nil {
		return TestFile{}, errBuilder.Wrapf(err, "check test file")
	}
	return parsed, nil
}

// addPosition adds the line and the column to errors of the TOML library, whose
// one-line form omits them.
func addPosition(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var fieldErrors []error
		for _, field := range unknown.Errors {
			row, column := field.Position()
			fieldErrors = append(fieldErrors, fmt.Errorf("line %d, column %d: unknown field %v", row, column, field.Key()))
		}
		return errors.Join(fieldErrors...)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		row, column := malformed.Position()
		return fmt.Errorf("line %d, column %d: %w", row, column, err)
	}
	return err
}

func (f TestFile) validate() error {
	if len(f.Cases) == 0 {
		return errors.New("the test file has no [[case]]")
	}
	if len(f.Cases) > MaxCases {
		return fmt.Errorf("the test file has %d cases, allowed are %d", len(f.Cases), MaxCases)
	}
	seen := make(map[string]bool, len(f.Cases))
	var faults []error
	for i, testCase := range f.Cases {
		if testCase.Name == "" || seen[testCase.Name] {
			faults = append(faults, fmt.Errorf("case %d: the name %q is empty or used twice", i+1, testCase.Name))
		}
		seen[testCase.Name] = true
		faults = append(faults, testCase.validate()...)
	}
	return errors.Join(faults...)
}

func (c Case) validate() []error {
	var faults []error
	enumerated := []struct {
		field, value string
		allowed      []string
	}{
		{"call.incoming_rank", c.Call.IncomingRank, levelOrEmpty.values},
		{"load.shed_level", c.Load.ShedLevel, levelOrEmpty.values},
		{"outcome.executed", c.Outcome.Executed, append([]string{""}, enumerations["outcome.executed"].values...)},
		{"outcome.reason", c.Outcome.Reason, enumerations["outcome.reason"].values},
	}
	for _, variable := range enumerated {
		if !slices.Contains(variable.allowed, variable.value) {
			faults = append(faults, fmt.Errorf("case %q: %s can't be %q, allowed are %q", c.Name, variable.field, variable.value, variable.allowed))
		}
	}
	if c.Expect == (Expectation{}) {
		faults = append(faults, fmt.Errorf("case %q expects nothing", c.Name))
	}
	if rank := c.Expect.Rank; rank != nil && !slices.Contains(criticality.Names(), *rank) {
		faults = append(faults, fmt.Errorf("case %q: expect.rank can't be %q, allowed are %q", c.Name, *rank, criticality.Names()))
	}
	return faults
}

// RunCases compiles a policy and runs its test cases in order. If the policy
// doesn't compile, every result has the compile error.
func RunCases(source Source, cases []Case) []CaseResult {
	program, err := Compile(source)
	results := make([]CaseResult, 0, len(cases))
	for _, testCase := range cases {
		result := CaseResult{Name: testCase.Name, Err: err}
		if err == nil {
			result.Mismatches = program.mismatches(testCase)
		}
		results = append(results, result)
	}
	return results
}

func (p *Program) mismatches(testCase Case) []Mismatch {
	var found []Mismatch
	if want := testCase.Expect.Admit; want != nil {
		got, err := p.Admit(testCase.Call, testCase.Load)
		found = appendMismatch(found, ExpressionAdmit, *want, got, err)
	}
	if want := testCase.Expect.Rank; want != nil {
		got, err := p.Rank(testCase.Call)
		found = appendMismatch(found, ExpressionRank, *want, got.String(), err)
	}
	if want := testCase.Expect.Retry; want != nil {
		got, err := p.Retry(testCase.Call, testCase.Outcome)
		found = appendMismatch(found, ExpressionRetry, *want, got, err)
	}
	if want := testCase.Expect.Refuse; want != nil {
		got, err := p.RefuseSeconds(testCase.Call, testCase.Load, testCase.Outcome)
		found = appendMismatch(found, ExpressionRefuse, *want, got, err)
	}
	return found
}

func appendMismatch[T comparable](found []Mismatch, expression string, want, got T, err error) []Mismatch {
	if want == got && err == nil {
		return found
	}
	return append(found, Mismatch{Expression: expression, Want: fmt.Sprint(want), Got: fmt.Sprint(got), Err: err})
}
