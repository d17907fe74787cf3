package forward

import (
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/retrybudget"
)

// BudgetEvent is something that the retry budget of a service counts.
type BudgetEvent uint8

// What retry budgets count.
const (
	// FirstSent is a request that is sent to the service for the first time.
	FirstSent BudgetEvent = iota
	// RetrySent is an arrival at a target beyond the first of its request.
	RetrySent
	// RetryDenied is a repetition that was not made for want of budget.
	RetryDenied
)

var budgetEventNames = [...]string{"first", "repeated", "unpaid"}

// String returns the name that metrics write.
func (e BudgetEvent) String() string { return budgetEventNames[e] }

// levelUrgency is how urgent a repetition is that completes a request, by the
// request's level. The levels lie close together, so that what is almost done goes
// before what is more important and has hardly begun.
var levelUrgency = [criticality.LevelCount]float64{1, 0.9, 0.8, 0.7}

// leastCriticalUrgency is the urgency of repetitions for the last of the requests
// of the highest level, whatever is left for them to do. It lies so that some of
// these requests get all of their repetitions instead of all getting some.
const leastCriticalUrgency = 0.5

// repeats reports whether the next offer of the request repeats one, or is a call
// of a request that was repeated.
func (q *request) repeats() bool { return q.call.Repeat || q.arrivals > 0 }

// repetitionCause returns why the next offer is a repetition.
func (q *request) repetitionCause() peering.Reason {
	if q.arrivals == 0 {
		return peering.ParentRepeated
	}
	return q.lastReason
}

// urgency returns how urgent it is to repeat the request, between 0 and 1. It is
// greater the less is left to do after it, because a request with many calls is
// worth nothing until the last of them is done.
func (f *Forwarder) urgency(q *request) float64 {
	if q.call.Repeat {
		// The whole request was paid for with the expectation of its calls.
		return 1
	}
	left := 1
	if q.inner {
		left = max(f.levels.ExpectedCalls(q.parentRoute, q.route.Name)-q.callNumber+1, 1)
	}
	calls := f.levels.Calls(q.route.Name)
	urgency := levelUrgency[min(q.rank.Level, criticality.LevelCount-1)] / float64(left*(1+calls))
	if q.rank.Level == criticality.CriticalPlus && calls == 0 {
		place := float64(q.rank.Cohort) / criticality.CohortCount
		urgency = max(urgency, 1-(1-leastCriticalUrgency)*place)
	}
	return urgency
}

// payForRepetition takes the next offer out of the retry budget if it is a
// repetition. It returns the answer to the request if that can't be paid for.
func (f *Forwarder) payForRepetition(q *request) *problem.Problem {
	if !q.repeats() {
		return nil
	}
	payment, paid := f.budget(q.service).Spend(f.urgency(q))
	if !paid {
		f.observer.BudgetCounted(q.service, RetryDenied, q.repetitionCause())
		return f.unpaid(q)
	}
	q.payment = payment
	if q.arrivals > 0 {
		f.noteRetry(q)
	}
	return nil
}

// countArrival notes whether the last offer reached a target. A repetition that did
// not is paid back.
func (f *Forwarder) countArrival(q *request, reply *peering.Reply) {
	reached := reply.Reached()
	if q.repeats() {
		if reached {
			f.observer.BudgetCounted(q.service, RetrySent, q.repetitionCause())
		} else {
			f.budget(q.service).Refund(q.payment)
		}
	}
	if reached {
		q.arrivals++
	}
}

// unpaid returns the answer to a request whose repetition can't be paid for.
func (f *Forwarder) unpaid(q *request) *problem.Problem {
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
