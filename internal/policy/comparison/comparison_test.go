// Package comparison benchmarks candidate expression libraries for policies on
// the same expressions. docs/decisions/0001-policy-language.md documents the
// resulting decision and the command to run.
package comparison

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	"github.com/google/cel-go/cel"
	"github.com/lugspur/lugspur/internal/policy"
	"gotest.tools/v3/assert"
)

// serviceCount is the number of services that the design is sized for.
const serviceCount = 23

// expressionTexts are the four expressions of one service in one language.
type expressionTexts struct{ admit, rank, retry, refuse string }

func (t expressionTexts) all() []string { return []string{t.admit, t.rank, t.retry, t.refuse} }

// exprTexts and celTexts return equivalent expressions in the two languages,
// with literals that differ between services.
func exprTexts(service int) expressionTexts {
	return expressionTexts{
		admit:  fmt.Sprintf(`call.timeout_ms >= %d && (load.queue_ms < %d.5 || call.method == "POST")`, 20+service, 200+service),
		rank:   fmt.Sprintf(`call.method == "POST" && call.path startsWith "/vents/%d" ? "critical-plus" : "sheddable"`, service),
		retry:  fmt.Sprintf(`call.repeatable && outcome.executed != "yes" && call.hops < %d ? 2 : 0`, 3+service),
		refuse: fmt.Sprintf(`load.shed_level in ["critical", "critical-plus"] ? %d : 2`, 10+service),
	}
}

func celTexts(service int) expressionTexts {
	return expressionTexts{
		admit:  fmt.Sprintf(`call.timeout_ms >= %d && (load.queue_ms < %d.5 || call.method == "POST")`, 20+service, 200+service),
		rank:   fmt.Sprintf(`call.method == "POST" && call.path.startsWith("/vents/%d") ? "critical-plus" : "sheddable"`, service),
		retry:  fmt.Sprintf(`call.repeatable && outcome.executed != "yes" && call.hops < %d ? 2 : 0`, 3+service),
		refuse: fmt.Sprintf(`load.shed_level in ["critical", "critical-plus"] ? %d : 2`, 10+service),
	}
}

// Variables of the benchmarked evaluations, the same for every library.
var (
	sampleCall    = policy.Call{Service: "ventctl", Method: "POST", Path: "/vents/7/open", Repeatable: true, Hops: 2, TimeoutMs: 900}
	sampleLoad    = policy.Load{ShedLevel: "sheddable", QueueMs: 12.5, InFlight: 70, Limit: 80}
	sampleOutcome = policy.Outcome{Status: 503, Executed: policy.ExecutedNo, Attempt: 1}
)

// exprVariables is the environment of the plain expr programs.
type exprVariables struct {
	Call    policy.Call    `expr:"call"`
	Load    policy.Load    `expr:"load"`
	Outcome policy.Outcome `expr:"outcome"`
}

func compileExpr(tb testing.TB, text string) *vm.Program {
	program, err := expr.Compile(text, expr.Env(exprVariables{}), expr.DisableAllBuiltins())
	assert.NilError(tb, err)
	return program
}

// celVariables is a CEL activation that resolves the variables without a map.
type celVariables struct {
	call    policy.Call
	load    policy.Load
	outcome policy.Outcome
}

func (v *celVariables) Parent() cel.Activation { return nil }

func (v *celVariables) ResolveName(name string) (any, bool) {
	switch name {
	case "call.method":
		return v.call.Method, true
	case "call.path":
		return v.call.Path, true
	case "call.repeatable":
		return v.call.Repeatable, true
	case "call.hops":
		return v.call.Hops, true
	case "call.timeout_ms":
		return v.call.TimeoutMs, true
	case "load.queue_ms":
		return v.load.QueueMs, true
	case "load.shed_level":
		return v.load.ShedLevel, true
	case "outcome.executed":
		return v.outcome.Executed, true
	default:
		return nil, false
	}
}

func newCelEnvironment(tb testing.TB) *cel.Env {
	environment, err := cel.NewEnv(
		cel.Variable("call.method", cel.StringType),
		cel.Variable("call.path", cel.StringType),
		cel.Variable("call.repeatable", cel.BoolType),
		cel.Variable("call.hops", cel.IntType),
		cel.Variable("call.timeout_ms", cel.IntType),
		cel.Variable("load.queue_ms", cel.DoubleType),
		cel.Variable("load.shed_level", cel.StringType),
		cel.Variable("outcome.executed", cel.StringType),
	)
	assert.NilError(tb, err)
	return environment
}

func compileCel(tb testing.TB, environment *cel.Env, text string) cel.Program {
	checked, issues := environment.Compile(text)
	assert.NilError(tb, issues.Err())
	program, err := environment.Program(checked, cel.EvalOptions(cel.OptOptimize))
	assert.NilError(tb, err)
	return program
}

// compileAllExpr compiles the policies of all services and returns the programs.
func compileAllExpr(tb testing.TB) any {
	var programs []*vm.Program
	for service := range serviceCount {
		for _, text := range exprTexts(service).all() {
			programs = append(programs, compileExpr(tb, text))
		}
	}
	return programs
}

func compileAllCel(tb testing.TB) any {
	environment := newCelEnvironment(tb)
	programs := []any{environment}
	for service := range serviceCount {
		for _, text := range celTexts(service).all() {
			programs = append(programs, compileCel(tb, environment, text))
		}
	}
	return programs
}

func compileAllPolicies(tb testing.TB) any {
	var programs []*policy.Program
	for service := range serviceCount {
		programs = append(programs, compilePolicy(tb, service))
	}
	return programs
}

func compilePolicy(tb testing.TB, service int) *policy.Program {
	text := exprTexts(service)
	program, err := policy.Compile(policy.Source{Admit: text.admit, Rank: text.rank, Retry: text.retry, Refuse: text.refuse})
	assert.NilError(tb, err)
	return program
}

// BenchmarkCompile compiles the policies of 23 services, 92 expressions, per
// iteration and reports the heap that the programs retain.
func BenchmarkCompile(b *testing.B) {
	libraries := []struct {
		name    string
		compile func(testing.TB) any
	}{{"policy", compileAllPolicies}, {"expr", compileAllExpr}, {"cel", compileAllCel}}
	for _, library := range libraries {
		b.Run(library.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				library.compile(b)
			}
			b.StopTimer()
			b.ReportMetric(retainedBytes(b, library.compile), "retained-B")
		})
	}
}

// retainedBytes returns the heap retained by the programs of 23 services.
func retainedBytes(b *testing.B, compile func(testing.TB) any) float64 {
	const rounds = 10
	retained := make([]any, 0, rounds)
	before := heapInUse()
	for range rounds {
		retained = append(retained, compile(b))
	}
	after := heapInUse()
	runtime.KeepAlive(retained)
	return float64(after-before) / rounds
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkEvaluate evaluates each expression of one service with each library
// in turn, so that a change of the machine's load affects all of them alike.
func BenchmarkEvaluate(b *testing.B) {
	const service = 7
	evaluations := policyEvaluations(compilePolicy(b, service))
	variables := &exprVariables{Call: sampleCall, Load: sampleLoad, Outcome: sampleOutcome}
	activation := &celVariables{call: sampleCall, load: sampleLoad, outcome: sampleOutcome}
	environment := newCelEnvironment(b)
	for i, name := range []string{"admit", "rank", "retry", "refuse"} {
		benchmark(b, name+"/policy", evaluations[i])
		machine, plain := &vm.VM{}, compileExpr(b, exprTexts(service).all()[i])
		benchmark(b, name+"/expr", func() error { _, err := machine.Run(plain, variables); return err })
		checked := compileCel(b, environment, celTexts(service).all()[i])
		benchmark(b, name+"/cel", func() error { _, _, err := checked.Eval(activation); return err })
	}
}

func policyEvaluations(program *policy.Program) []func() error {
	return []func() error{
		func() error { _, err := program.Admit(sampleCall, sampleLoad); return err },
		func() error { _, err := program.Rank(sampleCall); return err },
		func() error { _, err := program.Retry(sampleCall, sampleOutcome); return err },
		func() error {
			_, err := program.RefuseSeconds(sampleCall, sampleLoad, sampleOutcome)
			return err
		},
	}
}

func benchmark(b *testing.B, name string, evaluate func() error) {
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := evaluate(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// TestExprAndCELAgree checks that the benchmarked expressions return the same
// results in both languages.
func TestExprAndCELAgree(t *testing.T) {
	environment := newCelEnvironment(t)
	variables := &exprVariables{Call: sampleCall, Load: sampleLoad, Outcome: sampleOutcome}
	activation := &celVariables{call: sampleCall, load: sampleLoad, outcome: sampleOutcome}
	for service := range serviceCount {
		for i, text := range exprTexts(service).all() {
			exprResult, err := vm.Run(compileExpr(t, text), variables)
			assert.NilError(t, err)
			celResult, _, err := compileCel(t, environment, celTexts(service).all()[i]).Eval(activation)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(exprResult), fmt.Sprint(celResult.Value()), "%s", text)
		}
	}
}

// TestErrorMessages logs the error messages of the libraries for the same
// mistakes; run it with -v to compare them. Every library must reject each one.
func TestErrorMessages(t *testing.T) {
	mistakes := []string{
		`call.verb == "GET"`,
		`call.hops == "1"`,
		`call.hops <`,
		`zone == "a" && call.verb == 1`,
		`call.hops`,
	}
	environment := newCelEnvironment(t)
	for _, text := range mistakes {
		_, policyErr := policy.Compile(policy.Source{Admit: text})
		_, exprErr := expr.Compile(text, expr.Env(exprVariables{}), expr.DisableAllBuiltins(), expr.AsBool())
		celErr := celError(environment, text)
		assert.Assert(t, policyErr != nil && exprErr != nil && celErr != nil, "%s", text)
		t.Logf("%s\npolicy: %s\nexpr: %s\ncel: %s", text, indentError(policyErr), indentError(exprErr), indentError(celErr))
	}
}

func celError(environment *cel.Env, text string) error {
	checked, issues := environment.Compile(text)
	if issues.Err() != nil {
		return issues.Err()
	}
	if !checked.OutputType().IsEquivalentType(cel.BoolType) {
		return fmt.Errorf("result type is %s, expected bool", checked.OutputType())
	}
	return nil
}

func indentError(err error) string { return strings.ReplaceAll(err.Error(), "\n", "\n    ") }
