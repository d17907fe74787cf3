package policy

import "strings"

// Limits on policies and their results.
const (
	// MaxSourceBytes is the maximum length of an expression, in bytes.
	MaxSourceBytes = 1024
	// MaxNodes is the maximum number of operators, variables, literals and
	// calls in an expression; a variable counts as two. Each is evaluated at
	// most once, so this bounds the cost of an expression.
	MaxNodes = 128
	// MaxInputBytes is the maximum length of a string variable, in bytes. With
	// a longer one the expression isn't evaluated and the safe result is used.
	MaxInputBytes = 4096
	// MaxRetries is the maximum number of retries that a policy can allow a
	// hop; larger results are clamped to it.
	MaxRetries = 5
	// MinRefuseSeconds and MaxRefuseSeconds bound Retry-After, in seconds;
	// results outside the range are clamped.
	MinRefuseSeconds = 1
	MaxRefuseSeconds = 300
)

// Default expressions, used for those that a policy omits.
const (
	DefaultAdmit  = `true`
	DefaultRank   = `call.incoming_rank != "" ? call.incoming_rank : "sheddable-plus"`
	DefaultRetry  = `call.repeatable || outcome.executed == "no" ? 1 : 0`
	DefaultRefuse = `load.shed_level == "" ? 1 : 5`
)

// Names of the expressions, as reported in faults and results.
const (
	ExpressionAdmit  = "admit"
	ExpressionRank   = "rank"
	ExpressionRetry  = "retry"
	ExpressionRefuse = "refuse"
)

// Source is the source text of a policy. An empty expression selects its
// default.
type Source struct {
	Admit  string `toml:"admit"`
	Rank   string `toml:"rank"`
	Retry  string `toml:"retry"`
	Refuse string `toml:"refuse"`
}

// specification defines the variables and the result type of an expression.
type specification struct {
	name        string
	defaultText string
	variables   []string
	result      resultType
}

// resultType is the kind of result that an expression must return.
type resultType uint8

const (
	resultBool resultType = iota
	resultCriticality
	resultRetries
	resultSeconds
)

var (
	admitSpecification = specification{
		name: ExpressionAdmit, defaultText: DefaultAdmit,
		variables: []string{"call", "load"}, result: resultBool,
	}
	rankSpecification = specification{
		name: ExpressionRank, defaultText: DefaultRank,
		variables: []string{"call"}, result: resultCriticality,
	}
	retrySpecification = specification{
		name: ExpressionRetry, defaultText: DefaultRetry,
		variables: []string{"call", "outcome"}, result: resultRetries,
	}
	refuseSpecification = specification{
		name: ExpressionRefuse, defaultText: DefaultRefuse,
		variables: []string{"call", "load", "outcome"}, result: resultSeconds,
	}
)

// isBlank reports whether the policy omits the expression.
func isBlank(text string) bool { return strings.TrimSpace(text) == "" }
