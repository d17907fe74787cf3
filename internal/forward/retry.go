package forward

import (
	"cmp"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/retrybudget"
)

// BudgetEvent is a kind of event that the retry budget of a service counts.
type BudgetEvent uint8

// The events that retry budgets count.
const (
	// FirstSent is the first attempt of a request.
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

// levelUrgency is the urgency, by the request's level, of a retry after which no calls
// remain. The values are close together, so that requests that are almost complete take
// precedence over more important ones that have just started.
var levelUrgency = [criticality.LevelCount]float64{1, 0.9, 0.8, 0.7}

// minCriticalUrgency is the minimum urgency of retries of the highest level, used for its
// last cohort, regardless of the number of remaining calls. It is low enough that some of
// these requests get all of their retries, instead of all of them getting a few.
const minCriticalUrgency = 0.5

// isRetry reports whether the next offer of the request is a retry: the request may have
// reached a target before, or an ancestor of the request is a retry.
func (q *request) isRetry() bool { return q.call.Retried || q.arrivals > 0 }

// retryCause returns the reason why the next offer is a retry.
func (q *request) retryCause() peering.Reason {
	if q.arrivals == 0 {
		return peering.ParentRetried
	}
	return q.lastReason
}

// urgency returns the urgency of retrying the request, between 0 and 1. It increases as the
// number of remaining calls decreases, because a request with many calls succeeds only if
// the last of them does.
func (f *Forwarder) urgency(q *request) float64 {
	if q.call.Retried {
		// The retry of the parent was charged together with the expected number of its
		// calls.
		return 1
	}
	callsLeft := 1
	if q.nested {
		callsLeft = max(f.levels.ExpectedCalls(q.parentRoute, q.route.Name)-q.callNumber+1, 1)
	}
	calls := f.levels.Calls(q.route.Name)
	urgency := levelUrgency[min(q.rank.Level, criticality.LevelCount-1)] / float64(callsLeft*(1+calls))
	if q.rank.Level == criticality.CriticalPlus && calls == 0 {
		position := float64(f.retryCohort(q)) / criticality.CohortCount
		urgency = max(urgency, 1-(1-minCriticalUrgency)*position)
	}
	return urgency
}

// retryCohort returns the cohort that spreads the urgency of retries evenly. The cohort of a fair
// share is not uniform and must not decide which tenant's requests are retried, so that a hash of
// the request's ID, or that of its parent, takes its place where fair shares are enabled.
func (f *Forwarder) retryCohort(q *request) uint8 {
	if f.fairShares == nil {
		return q.rank.Cohort
	}
	return hashCohort(cmp.Or(q.parent, q.id))
}

// spendRetryBudget charges the next offer to the retry budget if it is a retry. It returns
// the final problem of the request if the budget does not allow the retry.
func (f *Forwarder) spendRetryBudget(q *request) *problem.Problem {
	if !q.isRetry() || q.move.takeCharge() {
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

// recordArrival records whether the last offer may have reached a target. The charge of a
// retry that did not is refunded to the retry budget.
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

// budgetProblem returns the problem for a request whose retry the budget does not allow.
func (f *Forwarder) budgetProblem(q *request) *problem.Problem {
	const detail = "no retry budget left"
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", string(q.lastReason)+": "+detail)
	}
	return f.refusal(q, problem.Overloaded, "run", string(q.lastReason)+": "+detail, max(q.retryAfter, defaultRetryAfter))
}

// budget returns the retry budget of the service and creates it if necessary.
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
