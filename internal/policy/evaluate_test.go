package policy

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/lugspur/lugspur/internal/criticality"
	"gotest.tools/v3/assert"
)

func mustCompile(t testing.TB, source Source) *Program {
	t.Helper()
	program, err := Compile(source)
	assert.NilError(t, err)
	return program
}

func TestCompileReportsEveryFault(t *testing.T) {
	faults := compileFaults(t, Source{
		Admit:  "call.verb == \"GET\" && zone == 1 ||\n outcome.status > \"x\"",
		Rank:   `call.keyed ? "high" : "low"`,
		Retry:  "load.limit + call.nothing",
		Refuse: "true",
	})
	var places []string
	for _, fault := range faults {
		places = append(places, fmt.Sprintf("%s:%d:%d", fault.Expression, fault.Line, fault.Column))
	}
	assert.DeepEqual(t, places, []string{
		"admit:1:6", "admit:1:23", "admit:2:2", "rank:1:14", "rank:1:23", "retry:1:1", "retry:1:19", "refuse:1:1",
	})
	assert.Assert(t, strings.Contains(strings.Join(faults[0].Allowed, " "), "call.method"))
	assert.DeepEqual(t, faults[3].Allowed, criticality.Names())
}

func TestCompileLimitsCost(t *testing.T) {
	deeplyNested := strings.Repeat("1<(", 150) + "1" + strings.Repeat(")<1", 150)
	tests := []struct {
		name, admit, message string
	}{
		{"length", "true" + strings.Repeat(" ", MaxSourceBytes), "longer than 1024 bytes"},
		{"blank length", strings.Repeat(" ", MaxSourceBytes+1), "longer than 1024 bytes"},
		{"nodes", strings.Repeat("true&&", 64) + "true", "more than 128"},
		{"deep shared operands", deeplyNested, "more than 128"},
		{"shared operands", strings.Repeat("1<(", 20) + "1" + strings.Repeat(")<1", 20), "more than 128"},
		{"list", "call.hops in [" + strings.Repeat("1,", 130) + "1]", "more than 128"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := compileFaults(t, Source{Admit: test.admit})
			assert.Equal(t, len(faults), 1)
			assert.Assert(t, strings.Contains(faults[0].Message, test.message), "%s", faults[0])
		})
	}
	mustCompile(t, Source{Admit: strings.Repeat("true&&", 63) + "true"})
}

func TestDefaults(t *testing.T) {
	program := mustCompile(t, Source{Admit: " \n"})

	admitted, err := program.Admit(Call{}, Load{ShedLevel: "critical-plus"})
	assert.NilError(t, err)
	assert.Assert(t, admitted)

	ranks := map[string]criticality.Level{
		"":              criticality.SheddablePlus,
		"critical-plus": criticality.CriticalPlus,
		"critical":      criticality.Critical,
		"sheddable":     criticality.Sheddable,
	}
	for incoming, want := range ranks {
		level, err := program.Rank(Call{IncomingRank: incoming})
		assert.NilError(t, err)
		assert.Equal(t, level, want, "incoming %q", incoming)
	}

	retries := []struct {
		repeatable bool
		executed   string
		want       int
	}{
		{true, ExecutedUnknown, 1}, {true, ExecutedYes, 1}, {false, ExecutedNo, 1},
		{false, ExecutedUnknown, 0}, {false, ExecutedYes, 0},
	}
	for _, test := range retries {
		allowed, err := program.Retry(Call{Repeatable: test.repeatable}, Outcome{Executed: test.executed})
		assert.NilError(t, err)
		assert.Equal(t, allowed, test.want, "%+v", test)
	}

	for shedLevel, want := range map[string]int{"": 1, "sheddable": 5} {
		seconds, err := program.RefuseSeconds(Call{}, Load{ShedLevel: shedLevel}, Outcome{})
		assert.NilError(t, err)
		assert.Equal(t, seconds, want)
	}
}

func TestOperators(t *testing.T) {
	call := Call{
		Service: "ventctl", Method: "POST", Path: "/vents/7/open", Caller: "grower-1", Zone: "nadi-a",
		IncomingRank: "critical", Keyed: true, External: true, Hops: 3, TimeoutMs: 900,
	}
	load := Load{ShedLevel: "sheddable", QueueMs: 12.5, InFlight: 70, Limit: 80}
	expressions := map[string]bool{
		`call.service == "ventctl" and call.method != "GET"`:                 true,
		`call.path startsWith "/vents/" && call.path endsWith "/open"`:       true,
		`call.path contains "mist"`:                                          false,
		`call.caller in ["grower-1", "grower-2"]`:                            true,
		`call.zone not in ["nadi-a"]`:                                        false,
		`not call.repeatable && call.keyed && call.external`:                 true,
		`call.hops % 2 == 1 && call.hops in [1, 2, 3]`:                       true,
		`1 < call.hops < 4`:                                                  true,
		`load.in_flight * 2 - 1 >= load.limit + 50`:                          true,
		`load.queue_ms / 2 > 6.2 && -load.queue_ms < 0`:                      true,
		`min(load.queue_ms, 10) == 10 && max(call.hops, 5) == 5`:             true,
		`load.shed_level != ""`:                                              true,
		`call.timeout_ms < 500 ? false : load.shed_level == "sheddable"`:     true,
		`most_important(call.incoming_rank, "sheddable") == "critical"`:      true,
		`least_important(call.incoming_rank, "sheddable") == "sheddable"`:    true,
		`least_important(call.incoming_rank, "critical-plus") == "critical"`: true,
		"call.keyed // a comment":                                            true,
	}
	for text, want := range expressions {
		program := mustCompile(t, Source{Admit: text})
		got, err := program.Admit(call, load)
		assert.NilError(t, err, "%s", text)
		assert.Equal(t, got, want, "%s", text)
	}
}

func TestRankFunctionsIgnoreEmptyCriticality(t *testing.T) {
	for _, text := range []string{
		`most_important(call.incoming_rank, "critical")`,
		`least_important("critical", call.incoming_rank)`,
	} {
		level, err := mustCompile(t, Source{Rank: text}).Rank(Call{})
		assert.NilError(t, err)
		assert.Equal(t, level, criticality.Critical)
	}
	level, err := mustCompile(t, Source{Rank: "call.incoming_rank"}).Rank(Call{})
	assert.NilError(t, err)
	assert.Equal(t, level, criticality.SheddablePlus)
}

func TestResultsAreBounded(t *testing.T) {
	for hops, want := range map[int]int{-3: 0, 2: 2, 900: MaxRetries} {
		got, err := mustCompile(t, Source{Retry: "call.hops"}).Retry(Call{Hops: hops}, Outcome{})
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	for limit, want := range map[int]int{-1: MinRefuseSeconds, 40: 40, 1 << 40: MaxRefuseSeconds} {
		got, err := mustCompile(t, Source{Refuse: "load.limit"}).RefuseSeconds(Call{}, Load{Limit: limit}, Outcome{})
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	program := mustCompile(t, Source{Refuse: "load.queue_ms / 1000 - load.queue_ms * 0"})
	for queue, want := range map[float64]int{0: 1, 1500: 2, 1e300: MaxRefuseSeconds, -5e6: 1} {
		got, err := program.RefuseSeconds(Call{}, Load{QueueMs: queue}, Outcome{})
		assert.NilError(t, err)
		assert.Equal(t, got, want, "%v ms", queue)
	}
	nan := mustCompile(t, Source{Refuse: "load.queue_ms * 1e300 * 1e300 * 0"})
	got, err := nan.RefuseSeconds(Call{}, Load{QueueMs: 1e300}, Outcome{})
	assert.NilError(t, err)
	assert.Equal(t, got, MaxRefuseSeconds)
}

func TestEvaluationErrorsReturnSafeResult(t *testing.T) {
	program := mustCompile(t, Source{
		Admit:  `call.path == "/"`,
		Rank:   `call.path == "/" ? "critical-plus" : "critical"`,
		Retry:  `outcome.reason == "" ? 3 : 2`,
		Refuse: `call.path == "/" ? 1 : 2`,
	})
	long := strings.Repeat("x", MaxInputBytes+1)

	admitted, err := program.Admit(Call{Path: long}, Load{})
	assert.ErrorIs(t, err, ErrInputTooLong)
	assert.Assert(t, admitted)

	level, err := program.Rank(Call{Path: long})
	assert.ErrorIs(t, err, ErrInputTooLong)
	assert.Equal(t, level, criticality.Sheddable)

	retries, err := program.Retry(Call{}, Outcome{Reason: long})
	assert.ErrorIs(t, err, ErrInputTooLong)
	assert.Equal(t, retries, 0)

	seconds, err := program.RefuseSeconds(Call{Path: long}, Load{}, Outcome{})
	assert.ErrorIs(t, err, ErrInputTooLong)
	assert.Equal(t, seconds, fallbackRefuseSeconds)

	forged := mustCompile(t, Source{})
	level, err = forged.Rank(Call{IncomingRank: "emperor"})
	assert.ErrorContains(t, err, "emperor")
	assert.Equal(t, level, criticality.Sheddable)
}

func TestProgramsAreSafeForConcurrentUse(t *testing.T) {
	program := mustCompile(t, Source{
		Admit: `call.hops < load.limit`,
		Rank:  `call.caller == "even" ? "critical" : "sheddable"`,
		Retry: `outcome.attempt + call.hops * 0`,
	})
	var workers sync.WaitGroup
	failures := make(chan string, 8)
	for worker := range 8 {
		workers.Go(func() {
			for i := range 500 {
				if failure := evaluateOnce(program, worker+i); failure != "" {
					failures <- failure
					return
				}
			}
		})
	}
	workers.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// evaluateOnce evaluates each expression once and describes the first wrong
// result, if any.
func evaluateOnce(program *Program, number int) string {
	caller, want := "odd", criticality.Sheddable
	if number%2 == 0 {
		caller, want = "even", criticality.Critical
	}
	level, err := program.Rank(Call{Caller: caller})
	if err != nil || level != want {
		return fmt.Sprintf("rank of %s: %v, %v", caller, level, err)
	}
	admitted, err := program.Admit(Call{Hops: number}, Load{Limit: 100})
	if err != nil || admitted != (number < 100) {
		return fmt.Sprintf("admit at %d: %v, %v", number, admitted, err)
	}
	retries, err := program.Retry(Call{Hops: number}, Outcome{Attempt: number % 4})
	if err != nil || retries != number%4 {
		return fmt.Sprintf("retry at %d: %v, %v", number, retries, err)
	}
	return ""
}

// TestEvaluationAllocations limits the allocations of an evaluation: the
// variables that an expression reads are boxed, everything else is pooled.
func TestEvaluationAllocations(t *testing.T) {
	program := mustCompile(t, Source{Rank: `call.method == "POST" ? "critical-plus" : "sheddable"`})
	call := Call{Method: "POST", Path: "/vents/7/open"}
	allocations := testing.AllocsPerRun(200, func() { _, _ = program.Rank(call) })
	assert.Assert(t, allocations <= 3, "%v allocations", allocations)
	literal := mustCompile(t, Source{})
	allocations = testing.AllocsPerRun(200, func() { _, _ = literal.Admit(call, Load{}) })
	assert.Equal(t, allocations, 0.0)
}

func FuzzCompile(f *testing.F) {
	for _, seed := range []string{
		DefaultRank, DefaultRetry, DefaultRefuse, `call.path in ["a", 'b']`, `1<(2<(3<4)<5)<6`,
		`min(call.hops, 2) % 3`, `{"a": [1]}?.b ?? $env`, "\"\xff", "a /* b", `call.hops | min(3)`, `::min(1,2)`,
		`b"x" == call.path`, `if true { 1 } else { 2 }`, `0x_1 + .5e9`, `#`, `all([1], {#.a[1:2]})`, `!!--1`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Compile(Source{Admit: text, Rank: text, Retry: text, Refuse: text}); err != nil {
			assert.Assert(t, len(err.(*CompileError).Faults) > 0)
		}
		for _, single := range []Source{{Admit: text}, {Rank: text}, {Retry: text}, {Refuse: text}} {
			if program, err := Compile(single); err == nil {
				evaluateAll(t, program)
			}
		}
	})
}

// evaluateAll checks that a compiled policy evaluates without errors.
func evaluateAll(t *testing.T, program *Program) {
	_, err := program.Admit(Call{}, Load{})
	assert.NilError(t, err)
	_, err = program.Rank(Call{})
	assert.NilError(t, err)
	_, err = program.Retry(Call{}, Outcome{Executed: ExecutedNo})
	assert.NilError(t, err)
	_, err = program.RefuseSeconds(Call{}, Load{}, Outcome{})
	assert.NilError(t, err)
}
