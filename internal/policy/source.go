package policy

import "strings"

// Limits of a policy.
const (
	// MaxSourceBytes is the length of the longest expression, in bytes.
	MaxSourceBytes = 1024
	// MaxNodes is the largest number of operators, variables, literals and
	// calls in an expression; a variable counts as two. Each is evaluated at
	// most once, so it is the cap on an expression's cost.
	MaxNodes = 128
	// MaxInputBytes is the length of the longest string variable, in bytes.
	// A call with a longer one isn't evaluated: it gets the safe result.
	MaxInputBytes = 4096
	// MaxRetries is the largest number of retries that a policy can allow a
	// hop; a larger result is lowered to it.
	MaxRetries = 5
	// MinRefuseSeconds and MaxRefuseSeconds bound Retry-After, in seconds; a
	// result outside is moved to the nearer bound.
	MinRefuseSeconds = 1
	MaxRefuseSeconds = 300
)

// The expressions that stand in for those which a policy leaves out.
const (
	DefaultAdmit  = `true`
	DefaultRank   = `call.incoming_rank != "" ? call.incoming_rank : "sheddable-plus"`
	DefaultRetry  = `call.repeatable || outcome.executed == "no" ? 1 : 0`
	DefaultRefuse = `load.shed_level == "" ? 1 : 5`
)

// The names of the expressions, as faults and results give them.
const (
	ExpressionAdmit  = "admit"
	ExpressionRank   = "rank"
	ExpressionRetry  = "retry"
	ExpressionRefuse = "refuse"
)

// Source is a policy as its operator writes it. An empty expression means its
// default.
type Source struct {
	Admit  string `toml:"admit"`
	Rank   string `toml:"rank"`
	Retry  string `toml:"retry"`
	Refuse string `toml:"refuse"`
}

// specification says what one of the four expressions may use and give.
type specification struct {
	name      string
	defaults  string
	variables []string
	result    resultType
}

// resultType is what an expression gives.
type resultType uint8

const (
	resultBool resultType = iota
	resultCriticality
	resultRetries
	resultSeconds
)

var (
	admitSpecification = specification{
		name: ExpressionAdmit, defaults: DefaultAdmit,
		variables: []string{"call", "load"}, result: resultBool,
	}
	rankSpecification = specification{
		name: ExpressionRank, defaults: DefaultRank,
		variables: []string{"call"}, result: resultCriticality,
	}
	retrySpecification = specification{
		name: ExpressionRetry, defaults: DefaultRetry,
		variables: []string{"call", "outcome"}, result: resultRetries,
	}
	refuseSpecification = specification{
		name: ExpressionRefuse, defaults: DefaultRefuse,
		variables: []string{"call", "load", "outcome"}, result: resultSeconds,
	}
)

// isDefault reports whether the operator left the expression out.
func isDefault(text string) bool { return strings.TrimSpace(text) == "" }
