package policy

import (
	"errors"
	"math"
	"sync"
	"time"

	"github.com/expr-lang/expr/vm"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/samber/oops"
)

// ErrInputTooLong means that a string variable is longer than MaxInputBytes.
var ErrInputTooLong = errors.New("a string variable is longer than the policy's input limit")

// ErrWrongResult means that the type of an expression's value differs from the
// type that the checker derived.
var ErrWrongResult = errors.New("the expression gave a value of the wrong type")

// fallbackRefuseSeconds is the Retry-After value if refuse can't be evaluated.
const fallbackRefuseSeconds = 30

// evaluator holds the virtual machine and the variables of one evaluation.
// Evaluators are pooled to reduce allocations.
type evaluator struct {
	machine     vm.VM
	environment environment
}

var evaluators = sync.Pool{New: func() any { return new(evaluator) }}

// run evaluates an expression. An evaluator isn't reused after an error.
func (e *expression) run(name string, call *Call, load *Load, outcome *Outcome) (any, error) {
	if e.program == nil {
		return e.literal, nil
	}
	if call.oversized() || load.oversized() || outcome.oversized() {
		return nil, ErrInputTooLong
	}
	evaluation := evaluators.Get().(*evaluator)
	evaluation.environment.Call = *call
	if load != nil {
		evaluation.environment.Load = *load
	}
	if outcome != nil {
		evaluation.environment.Outcome = *outcome
	}
	result, err := evaluation.machine.Run(e.program, &evaluation.environment)
	if err != nil {
		return nil, oops.In("policy").With("step", "evaluate").With("expression", name).Wrapf(err, "evaluate %s", name)
	}
	evaluation.environment = environment{}
	evaluators.Put(evaluation)
	return result, nil
}

func wrongResult(name string, result any) error {
	return oops.In("policy").With("step", "evaluate").With("expression", name).Wrapf(ErrWrongResult, "evaluate %s: got %T", name, result)
}

// Admit reports whether the call is admitted. On an error it is: rank and the
// limits of targets still protect the service, and a faulty policy must not
// reject the most important calls.
func (p *Program) Admit(call Call, load Load) (bool, error) {
	result, err := p.admit.run(ExpressionAdmit, &call, &load, nil)
	if err != nil {
		return true, err
	}
	admitted, isBool := result.(bool)
	if !isBool {
		return true, wrongResult(ExpressionAdmit, result)
	}
	return admitted, nil
}

// Rank returns the call's criticality, on an error the lowest one. An empty
// result means "sheddable-plus".
func (p *Program) Rank(call Call) (criticality.Level, error) {
	if p.ranks == nil || call.oversized() {
		return p.evaluateRank(call)
	}
	variables := rankVariablesOf(&call)
	if level, found := p.ranks.get(variables); found {
		return level, nil
	}
	level, err := p.evaluateRank(call)
	if err == nil {
		p.ranks.put(variables, level)
	}
	return level, err
}

func (p *Program) evaluateRank(call Call) (criticality.Level, error) {
	result, err := p.rank.run(ExpressionRank, &call, nil, nil)
	if err != nil {
		return criticality.Sheddable, err
	}
	name, isString := result.(string)
	if !isString {
		return criticality.Sheddable, wrongResult(ExpressionRank, result)
	}
	if name == "" {
		return criticality.SheddablePlus, nil
	}
	level, err := criticality.ParseLevel(name)
	if err != nil {
		return criticality.Sheddable, oops.In("policy").With("step", "evaluate").With("expression", ExpressionRank).Wrapf(err, "evaluate rank")
	}
	return level, nil
}

// Retry returns the maximum number of retries that this hop may make for the
// call after the given outcome, from 0 to MaxRetries. On an error it is 0.
func (p *Program) Retry(call Call, outcome Outcome) (int, error) {
	result, err := p.retry.run(ExpressionRetry, &call, nil, &outcome)
	if err != nil {
		return 0, err
	}
	retries, isInt := result.(int)
	if !isInt {
		return 0, wrongResult(ExpressionRetry, result)
	}
	return min(max(retries, 0), MaxRetries), nil
}

// RefuseSeconds returns the value of Retry-After in seconds, from
// MinRefuseSeconds to MaxRefuseSeconds; fractions are rounded up. On an error it
// is fallbackRefuseSeconds, a long delay that spares a service in trouble.
func (p *Program) RefuseSeconds(call Call, load Load, outcome Outcome) (int, error) {
	result, err := p.refuse.run(ExpressionRefuse, &call, &load, &outcome)
	if err != nil {
		return fallbackRefuseSeconds, err
	}
	switch seconds := result.(type) {
	case int:
		return min(max(seconds, MinRefuseSeconds), MaxRefuseSeconds), nil
	case float64:
		return ceilSeconds(seconds), nil
	default:
		return fallbackRefuseSeconds, wrongResult(ExpressionRefuse, result)
	}
}

// RefuseDelay is like RefuseSeconds, but keeps fractions of a second and has no
// minimum.
func (p *Program) RefuseDelay(call Call, load Load, outcome Outcome) (time.Duration, error) {
	result, err := p.refuse.run(ExpressionRefuse, &call, &load, &outcome)
	if err != nil {
		return fallbackRefuseSeconds * time.Second, err
	}
	switch seconds := result.(type) {
	case int:
		return time.Duration(min(max(seconds, 0), MaxRefuseSeconds)) * time.Second, nil
	case float64:
		if math.IsNaN(seconds) {
			return MaxRefuseSeconds * time.Second, nil
		}
		return time.Duration(min(max(seconds, 0), MaxRefuseSeconds) * float64(time.Second)), nil
	default:
		return fallbackRefuseSeconds * time.Second, wrongResult(ExpressionRefuse, result)
	}
}

// ceilSeconds rounds up to whole seconds within the bounds; NaN yields
// MaxRefuseSeconds.
func ceilSeconds(seconds float64) int {
	if math.IsNaN(seconds) || seconds >= MaxRefuseSeconds {
		return MaxRefuseSeconds
	}
	return max(int(math.Ceil(max(seconds, 0))), MinRefuseSeconds)
}
