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

// Limits of a test file.
const (
	// MaxTestFileBytes is the length of the longest test file, in bytes.
	MaxTestFileBytes = 1 << 20
	// MaxCases is the largest number of cases in a test file.
	MaxCases = 1000
)

// TestFile holds the cases that a policy must meet before it is applied.
type TestFile struct {
	Cases []Case `toml:"case"`
}

// Case is one situation and what the policy must say to it.
type Case struct {
	Name    string      `toml:"name"`
	Call    Call        `toml:"call"`
	Load    Load        `toml:"load"`
	Outcome Outcome     `toml:"outcome"`
	Expect  Expectation `toml:"expect"`
}

// Expectation holds the expected results; those left out aren't evaluated.
type Expectation struct {
	Admit  *bool   `toml:"admit"`
	Rank   *string `toml:"rank"`
	Retry  *int    `toml:"retry"`
	Refuse *int    `toml:"refuse"`
}

// CaseResult tells how a policy met one case.
type CaseResult struct {
	// Name is the name of the case.
	Name string
	// Mismatches lists the expressions that gave something else or failed.
	Mismatches []Mismatch
	// Err is the policy's compile error, when it doesn't compile.
	Err error
}

// Passed reports whether the policy met the case.
func (r CaseResult) Passed() bool { return r.Err == nil && len(r.Mismatches) == 0 }

// Mismatch is an expression that didn't give what a case expects.
type Mismatch struct {
	Expression string
	Want       string
	Got        string
	// Err is set when the evaluation failed; Got is then the safe result.
	Err error
}

// String returns the mismatch on one line.
func (m Mismatch) String() string {
	text := fmt.Sprintf("%s: want %s, got %s", m.Expression, m.Want, m.Got)
	if m.Err == nil {
		return text
	}
	return fmt.Sprintf("%s (%v)", text, m.Err)
}

// ParseTestFile reads a test file in TOML. Fields that don't exist, values
// that a variable can't have and cases that expect nothing are errors.
func ParseTestFile(data []byte) (TestFile, error) {
	errorIn := oops.In("policy").With("step", "parse test file")
	if len(data) > MaxTestFileBytes {
		return TestFile{}, errorIn.Errorf("the test file is longer than %d bytes", MaxTestFileBytes)
	}
	var parsed TestFile
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&parsed); err != nil {
		return TestFile{}, errorIn.Wrapf(explain(err), "parse test file")
	}
	if err := parsed.validate(); err != nil {
		return TestFile{}, errorIn.Wrapf(err, "check test file")
	}
	return parsed, nil
}

// explain adds the place to the library's errors, which leave it out of their
// one-line form.
func explain(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all []error
		for _, field := range unknown.Errors {
			row, column := field.Position()
			all = append(all, fmt.Errorf("line %d, column %d: unknown field %v", row, column, field.Key()))
		}
		return errors.Join(all...)
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
	for i, one := range f.Cases {
		if one.Name == "" || seen[one.Name] {
			faults = append(faults, fmt.Errorf("case %d: the name %q is empty or used twice", i+1, one.Name))
		}
		seen[one.Name] = true
		faults = append(faults, one.validate()...)
	}
	return errors.Join(faults...)
}

func (c Case) validate() []error {
	var faults []error
	limited := []struct {
		field, value string
		allowed      []string
	}{
		{"call.incoming_rank", c.Call.IncomingRank, levelOrEmpty.values},
		{"load.shed_level", c.Load.ShedLevel, levelOrEmpty.values},
		{"outcome.executed", c.Outcome.Executed, append([]string{""}, enumerations["outcome.executed"].values...)},
		{"outcome.reason", c.Outcome.Reason, enumerations["outcome.reason"].values},
	}
	for _, one := range limited {
		if !slices.Contains(one.allowed, one.value) {
			faults = append(faults, fmt.Errorf("case %q: %s can't be %q, allowed are %q", c.Name, one.field, one.value, one.allowed))
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

// RunCases compiles a policy and runs its cases, in order. When the policy
// doesn't compile each result carries the compile error.
func RunCases(source Source, cases []Case) []CaseResult {
	program, err := Compile(source)
	results := make([]CaseResult, 0, len(cases))
	for _, one := range cases {
		result := CaseResult{Name: one.Name, Err: err}
		if err == nil {
			result.Mismatches = program.mismatches(one)
		}
		results = append(results, result)
	}
	return results
}

func (p *Program) mismatches(one Case) []Mismatch {
	var found []Mismatch
	if want := one.Expect.Admit; want != nil {
		got, err := p.Admit(one.Call, one.Load)
		found = appendMismatch(found, ExpressionAdmit, *want, got, err)
	}
	if want := one.Expect.Rank; want != nil {
		got, err := p.Rank(one.Call)
		found = appendMismatch(found, ExpressionRank, *want, got.String(), err)
	}
	if want := one.Expect.Retry; want != nil {
		got, err := p.Retry(one.Call, one.Outcome)
		found = appendMismatch(found, ExpressionRetry, *want, got, err)
	}
	if want := one.Expect.Refuse; want != nil {
		got, err := p.RefuseSeconds(one.Call, one.Load, one.Outcome)
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
