package forward

import (
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/retrybudget"
)

// BudgetEvent is a kind of event that the retry budget of a service counts.
type BudgetEvent uint8

// The events that retry budgets count.
const (
	// FirstSent is a request that is sent to the service for the first time.
	FirstSent BudgetEvent = iota
	// RetrySent is a retry that reached a target.
	RetrySent
	// RetryDenied is a retry that was not sent because the retry budget was
	// exhausted.
	RetryDenied
)

var budgetEventNames = [...]string{"first", "repeated", "unpaid"}

// String returns the label value used in metrics.
func (e BudgetEvent) String() string { return budgetEventNames[e] }

// levelUrgency is the urgency of a retry that completes a request, by the request's
// level. The values lie close together, so that requests that are almost complete precede
// more important ones that have hardly begun.
var levelUrgency = [criticality.LevelCount]float64{1, 0.9, 0.8, 0.7}

// minCriticalUrgency is the lowest urgency of retries of the highest level, used for its
// last cohort, however many calls are left. It is low enough that some of these requests
// get all of their retries, instead of all of them getting a few.
const minCriticalUrgency = 0.5

// isRetry reports whether the next offer of the request is a retry, or the request is a
// call of a retried request.
func (q *request) isRetry() bool { return q.call.Retried || q.arrivals > 0 }

// retryCause returns why the next offer is a retry.
func (q *request) retryCause() peering.Reason {
	if q.arrivals == 0 {
		return peering.ParentRetried
	}
	return q.lastReason
}

// urgency returns the urgency of retrying the request, between 0 and 1. It is greater the
// fewer calls are left to make after this one, because a request with many calls is
// useless until the last of them has succeeded.
func (f *Forwarder) urgency(q *request) float64 {
	if q.call.Retried {
		// The retry of the whole request was charged with the expected number of its
		// calls.
		return 1
	}
	callsLeft := 1
	if q.inner {
		callsLeft = max(f.levels.ExpectedCalls(q.parentRoute, q.route.Name)-q.callNumber+1, 1)
	}
	calls := f.levels.Calls(q.route.Name)
	urgency := levelUrgency[min(q.rank.Level, criticality.LevelCount-1)] / float64(callsLeft*(1+calls))
	if q.rank.Level == criticality.CriticalPlus && calls == 0 {
		position := float64(q.rank.Cohort) / criticality.CohortCount
		urgency = max(urgency, 1-(1-minCriticalUrgency)*position)
	}
	return urgency
}

// spendRetryBudget charges the next offer to the retry budget if it is a retry. It
// returns the answer to the request if the budget does not allow it.
func (f *Forwarder) spendRetryBudget(q *request) *problem.Problem {
	if !q.isRetry() {
		return nil
	}
	charge, ok := f.budget(q.service).Spend(f.urgency(q))
	if !ok {
		f.observer.BudgetCounted(q.service, RetryDenied, q.retryCause())
		return f.budgetProblem(q)
	}
	q.charge = charge
	if q.arrivals > 0 {
		f.logRetry(q)
	}
	return nil
}

// recordArrival records whether the last offer reached a target. A retry that did not is
// returned to the budget.
func (f *Forwarder) recordArrival(q *request, reply *peering.Reply) {
	reached := reply.MayHaveReachedTarget()
	if q.isRetry() {
		if reached {
			f.observer.BudgetCounted(q.service, RetrySent, q.retryCause())
		} else {
			f.budget(q.service).Refund(q.charge)
		}
	}
	if reached {
		q.arrivals++
	}
}

// budgetProblem returns the answer to a request whose retry the budget does not allow.
func (f *Forwarder) budgetProblem(q *request) *problem.Problem {
	const detail = "no retry budget left"
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", string(q.lastReason)+": "+detail)
	}
	return f.refusal(q, problem.Overloaded, "run", string(q.lastReason)+": "+detail, max(q.retryAfter, defaultRetryAfter))
}

// budget returns the service's retry budget.
func (f *Forwarder) budget(service string) *retrybudget.Allowance {
	f.budgetMutex.Lock()
	defer f.budgetMutex.Unlock()
	budget := f.budgets[service]
	if budget == nil {
		budget = retrybudget.NewAllowance(f.config.Retries, f.now)
		f.budgets[service] = budget
	}
	return budget
}
