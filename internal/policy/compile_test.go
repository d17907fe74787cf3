package policy

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func compileFaults(t *testing.T, source Source) []Fault {
	t.Helper()
	program, err := Compile(source)
	var compileError *CompileError
	assert.Assert(t, errors.As(err, &compileError), "compiled: %v", err)
	assert.Assert(t, program == nil)
	return compileError.Faults
}

func TestFaultPositions(t *testing.T) {
	tests := []struct {
		name         string
		source       Source
		line, column int
		message      string
	}{
		{"grammar", Source{Admit: "call.hops <"}, 1, 11, "unexpected token EOF"},
		{"unclosed", Source{Admit: "(true"}, 1, 5, "unexpected token EOF"},
		{"unknown group", Source{Admit: "true &&\n  zone == \"a\""}, 2, 3, "unknown variable zone"},
		{"unknown field", Source{Admit: "call.verb == \"GET\""}, 1, 6, "unknown variable call.verb"},
		{"group as value", Source{Admit: "call"}, 1, 1, "call is a group of variables"},
		{"outcome in admit", Source{Admit: "outcome.status == 500"}, 1, 1, "outcome is not known when admit is evaluated"},
		{"load in rank", Source{Rank: `load.limit > 1 ? "critical" : "sheddable"`}, 1, 1, "load is not known when rank is evaluated"},
		{"load in retry", Source{Retry: "load.limit"}, 1, 1, "load is not known when retry is evaluated"},
		{"admit type", Source{Admit: "call.hops"}, 1, 6, "admit must give a bool, it gives int"},
		{"retry type", Source{Retry: "call.repeatable"}, 1, 6, "retry must give an int, it gives bool"},
		{"retry fraction", Source{Retry: "call.hops / 2"}, 1, 11, "retry must give an int, it gives float"},
		{"retry range", Source{Retry: "call.repeatable ? 1 : 6"}, 1, 23, "retry must give 0 to 5, this is 6"},
		{"retry negative", Source{Retry: "-1"}, 1, 1, "retry must give 0 to 5, this is -1"},
		{"refuse type", Source{Refuse: `"5"`}, 1, 1, "refuse must give a number of seconds"},
		{"refuse range", Source{Refuse: "301"}, 1, 1, "refuse must give 1 to 300"},
		{"refuse zero", Source{Refuse: "0"}, 1, 1, "refuse must give 1 to 300"},
		{"rank type", Source{Rank: "1"}, 1, 1, "rank must give a criticality, it gives int"},
		{"rank name", Source{Rank: `call.keyed ? "critical" : "urgent"`}, 1, 27, `unknown criticality "urgent"`},
		{"rank variable", Source{Rank: "call.method"}, 1, 6, "a criticality is needed here"},
		{"rank argument", Source{Rank: `most_important("high", call.incoming_rank)`}, 1, 16, `unknown criticality "high"`},
		{"equality", Source{Admit: `call.hops == "1"`}, 1, 11, "== needs two values of one type, it has int and string"},
		{"order", Source{Admit: `call.method < "x"`}, 1, 13, "< needs two numbers, it has string and string"},
		{"logic", Source{Admit: `call.hops && true`}, 1, 11, "&& needs two bools, it has int and bool"},
		{"negation", Source{Admit: `!call.hops`}, 1, 1, "! needs a bool, it has int"},
		{"minus", Source{Refuse: `-call.method`}, 1, 1, "- needs a number, it has string"},
		{"sum of strings", Source{Admit: `call.method + "x" == "GETx"`}, 1, 13, "+ needs two numbers"},
		{"prefix", Source{Admit: `call.path startsWith 1`}, 1, 11, "startsWith needs two strings"},
		{"condition", Source{Admit: `call.hops ? true : false`}, 1, 6, "the condition before ? must be bool, it is int"},
		{"branches", Source{Admit: `call.keyed ? true : 1`}, 1, 21, "both sides of : must have one type, they are bool and int"},
		{"never equal", Source{Retry: `outcome.executed == "maybe" ? 1 : 0`}, 1, 21, `"maybe" is never equal to this variable`},
		{"unknown reason", Source{Refuse: `outcome.reason == "overload" ? 5 : 1`}, 1, 19, `"overload" is never equal to this variable`},
		{"never in", Source{Admit: `load.shed_level in ["critical", "high"]`}, 1, 33, `"high" is never equal to this variable`},
		{"list of variables", Source{Admit: `call.method in [call.path]`}, 1, 22, "a list holds only string and int literals"},
		{"list type", Source{Admit: `call.hops in ["1"]`}, 1, 15, "the list must hold int values, this is string"},
		{"in without list", Source{Admit: `"a" in call.path`}, 1, 13, "in needs a list of literals on its right"},
		{"divide by variable", Source{Refuse: `60 / load.limit`}, 1, 11, "the divisor of / must be a literal other than 0"},
		{"divide by zero", Source{Retry: `call.hops % 0`}, 1, 13, "the divisor of % must be a literal other than 0"},
		{"unknown function", Source{Admit: `len(call.path) > 3`}, 1, 1, "unknown function len"},
		{"argument count", Source{Retry: `min(call.hops)`}, 1, 1, "min takes 2 arguments, it has 1"},
		{"argument type", Source{Retry: `max(1, call.method)`}, 1, 13, "max needs two numbers, this is string"},
		{"method", Source{Admit: `call.method.lower() == "get"`}, 1, 13, "variables have no methods"},
		{"iteration", Source{Admit: `all([1, 2], # > 0)`}, 1, 1, "unknown function all"},
		{"closure", Source{Retry: `count(1..1000000, {# > 3})`}, 1, 1, "unknown function count"},
		{"range", Source{Admit: `1 in 1..1000000`}, 1, 7, "in needs a list of literals"},
		{"regular expression", Source{Admit: `call.path matches "(a*)*"`}, 1, 11, "unknown operator matches"},
		{"power", Source{Refuse: `2 ** 3`}, 1, 3, "unknown operator **"},
		{"coalesce", Source{Retry: `call.hops ?? 1`}, 1, 11, "unknown operator ??"},
		{"optional", Source{Admit: `call?.keyed`}, 1, 7, "the operator ?. is not part of the policy language"},
		{"let", Source{Retry: `let x = 1; x`}, 1, 5, "let is not part of the policy language"},
		{"sequence", Source{Retry: `1; 2`}, 1, 1, "a sequence with ; is not part of the policy language"},
		{"map", Source{Admit: `{"a": 1}.a == 1`}, 1, 10, "a variable is written as group.name"},
		{"environment", Source{Admit: `$env.call.keyed`}, 1, 11, "a variable is written as group.name"},
		{"nil", Source{Admit: `call.method == nil`}, 1, 16, "nil is not part of the policy language"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first := compileFaults(t, test.source)[0]
			assert.Assert(t, strings.Contains(first.Message, test.message), "%s", first)
			assert.Equal(t, first.Line, test.line, "%s", first)
			assert.Equal(t, first.Column, test.column, "%s", first)
		})
	}
}
