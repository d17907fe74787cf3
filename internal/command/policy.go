package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/command/objectfile"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/resource"
)

func newPolicy(program *Program) subcommands.Command {
	return &group{
		program:  program,
		name:     "policy",
		synopsis: "check and test policies, without a node",
		verbs:    []subcommands.Command{newPolicyCheck(program), newPolicyTest(program)},
	}
}

// PolicyCheck is the result of a check of a policy.
type PolicyCheck struct {
	Name   string `json:"name"`
	Source string `json:"source"`
	Valid  bool   `json:"valid"`
}

type policyCheck struct {
	program *Program
	paths   pathList
}

func newPolicyCheck(program *Program) subcommands.Command {
	c := &policyCheck{program: program}
	return &verb{
		program:  program,
		name:     "check",
		synopsis: "check the policies and other objects in files",
		usage:    "-f FILE|DIRECTORY [-f ...]",
		example:  "lugspur policy check -f policies/",
		flags: func(flags *flag.FlagSet) {
			flags.Var(&c.paths, "f", "object `FILE`, or directory of *.toml files; may be repeated")
		},
		run: c.run,
	}
}

func (c *policyCheck) run(_ context.Context, arguments []string) error {
	policies, err := loadPolicies(append(c.paths, arguments...))
	if err != nil {
		return err
	}
	checks := make([]PolicyCheck, 0, len(policies))
	for _, object := range policies {
		checks = append(checks, PolicyCheck{Name: object.Envelope.ID.Name, Source: object.Source, Valid: true})
	}
	return printResult(c.program, checks, func(t *table) {
		t.row("POLICY", "RESULT", "FILE")
		for _, check := range checks {
			t.row(check.Name, "valid", check.Source)
		}
	})
}

// loadPolicies returns the policies in object files; other objects in the files
// are validated as well.
func loadPolicies(paths []string) ([]objectfile.Object, error) {
	if len(paths) == 0 {
		return nil, usageErrorf("needs -f FILE or -f DIRECTORY")
	}
	objects, err := objectfile.Load(paths...)
	if err != nil {
		return nil, err
	}
	var policies []objectfile.Object
	for _, object := range objects {
		if object.Envelope.ID.Kind == resource.KindPolicy {
			policies = append(policies, object)
		}
	}
	if len(policies) == 0 {
		return nil, usageErrorf("the files contain no policy")
	}
	return policies, nil
}

// CaseReport is the result of one case of a test file.
type CaseReport struct {
	Case       string   `json:"case"`
	Passed     bool     `json:"passed"`
	Mismatches []string `json:"mismatches,omitempty"`
}

type policyTest struct {
	program *Program
	paths   pathList
	cases   string
	name    string
}

func newPolicyTest(program *Program) subcommands.Command {
	c := &policyTest{program: program}
	return &verb{
		program:  program,
		name:     "test",
		synopsis: "run the cases of a test file against a policy",
		usage:    "-f FILE -cases FILE [-policy NAME]",
		example:  "lugspur policy test -f policies/ventctl.toml -cases policies/ventctl.cases.toml",
		flags: func(flags *flag.FlagSet) {
			flags.Var(&c.paths, "f", "object `FILE` with the policy")
			flags.StringVar(&c.cases, "cases", "", "test `FILE` with [[case]] entries")
			flags.StringVar(&c.name, "policy", "", "`NAME` of the policy, if the file contains several")
		},
		run: c.run,
	}
}

func (c *policyTest) run(_ context.Context, _ []string) error {
	if c.cases == "" {
		return usageErrorf("policy test needs -cases FILE")
	}
	source, err := c.source()
	if err != nil {
		return err
	}
	cases, err := c.readCases()
	if err != nil {
		return err
	}
	reports, passed := runCases(source, cases)
	if err := c.print(reports); err != nil || passed {
		return err
	}
	return errFailed
}

func (c *policyTest) source() (policy.Source, error) {
	policies, err := loadPolicies(c.paths)
	if err != nil {
		return policy.Source{}, err
	}
	var selected []*resource.Policy
	for _, object := range policies {
		if c.name == "" || c.name == object.Envelope.ID.Name {
			selected = append(selected, object.Envelope.Policy)
		}
	}
	if len(selected) != 1 {
		return policy.Source{}, usageErrorf("the files contain %d matching policies: select one by -policy NAME", len(selected))
	}
	return policy.Source{Admit: selected[0].Admit, Rank: selected[0].Rank, Retry: selected[0].Retry, Refuse: selected[0].Refuse}, nil
}

func (c *policyTest) readCases() ([]policy.Case, error) {
	contents, err := os.ReadFile(c.cases)
	if err != nil {
		return nil, oops.In("command").With("step", "read test file", "path", c.cases).Wrapf(err, "read test file")
	}
	parsed, err := policy.ParseTestFile(contents)
	if err != nil {
		return nil, usageErrorf("%s: %v", c.cases, err)
	}
	return parsed.Cases, nil
}

func runCases(source policy.Source, cases []policy.Case) (reports []CaseReport, passed bool) {
	passed = true
	for _, result := range policy.RunCases(source, cases) {
		report := CaseReport{Case: result.Name, Passed: result.Passed()}
		if result.Err != nil {
			report.Mismatches = append(report.Mismatches, result.Err.Error())
		}
		for _, mismatch := range result.Mismatches {
			report.Mismatches = append(report.Mismatches, mismatch.String())
		}
		passed = passed && report.Passed
		reports = append(reports, report)
	}
	return reports, passed
}

func (c *policyTest) print(reports []CaseReport) error {
	return printResult(c.program, reports, func(t *table) {
		t.row("CASE", "RESULT", "MISMATCH")
		for _, report := range reports {
			if report.Passed {
				t.row(report.Case, "passed", "")
			}
			for _, mismatch := range report.Mismatches {
				t.row(report.Case, "FAILED", mismatch)
			}
		}
	})
}
