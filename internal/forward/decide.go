package forward

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
)

// policyCallOf returns what policies see of a request.
func (f *Forwarder) policyCallOf(q *request, r *http.Request) policy.Call {
	tenant, tenantPriority := q.tenantOf()
	return policy.Call{
		Tenant: tenant, TenantPriority: tenantPriority,
		Service:     q.route.Services[0].Name,
		Method:      r.Method,
		Path:        rawPath(r),
		Caller:      f.config.Service,
		Zone:        f.config.Zone,
		Repeatable:  q.route.Kind == routetable.Repeatable,
		External:    !q.inner,
		TimeoutMs:   int(q.deadline.Sub(q.arrived).Milliseconds()),
		Priority:    q.route.Priority,
		Attempts:    q.route.Attempts,
		ObjectiveMs: int(q.route.Objective.Milliseconds()),
	}
}

// loadOf returns what policies see of the load on a request's way, with the time
// after which room is expected.
func (f *Forwarder) loadOf(q *request, freeIn time.Duration) policy.Load {
	load := policy.Load{FreeIn: freeIn.Seconds()}
	if threshold := f.levels.Threshold(q.route.Name); threshold < shed.None {
		load.ShedLevel = criticality.RankOf(threshold).Level.String()
	}
	return load
}

// outcomeOf returns what policies see of what became of the request so far.
func (q *request) outcomeOf() policy.Outcome {
	outcome := policy.Outcome{Executed: policy.ExecutedNo, Attempt: q.offers}
	if q.attempts > 0 {
		outcome.Executed = policy.ExecutedUnknown
	}
	if q.errorAnswer != nil {
		outcome.Executed = policy.ExecutedYes
		outcome.Status = q.errorAnswer.Status
	}
	return outcome
}

// rankOf returns the rank of a request that begins here: the level that its
// policy gives, and inside it a place by its id.
func (f *Forwarder) rankOf(q *request) criticality.Rank {
	level, err := f.policies.For(q.route.Kind).Rank(q.policyCall)
	f.notePolicy(q, err)
	return criticality.Rank{Level: level, Cohort: uint8(xxhash.Sum64String(q.id) % criticality.CohortCount)}
}

// admitted reports whether the policy lets the request go ahead.
func (f *Forwarder) admitted(q *request) bool {
	admitted, err := f.policies.For(q.route.Kind).Admit(q.policyCall, f.loadOf(q, 0))
	f.notePolicy(q, err)
	return admitted
}

// retries returns how many more homes than one the policy lets the request go to.
func (f *Forwarder) retries(q *request) int {
	retries, err := f.policies.For(q.route.Kind).Retry(q.policyCall, q.outcomeOf())
	f.notePolicy(q, err)
	return retries
}

// refusal returns a refusal of a request that has not run. The policy says when
// to come back, given when the node expects room.
func (f *Forwarder) refusal(q *request, reason problem.Reason, step, detail string, freeIn time.Duration) *problem.Problem {
	delay, err := f.policies.For(q.route.Kind).RefuseDelay(q.policyCall, f.loadOf(q, freeIn), q.outcomeOf())
	f.notePolicy(q, err)
	return f.problem(reason, problem.ExecutedNo, step, detail).WithRetryDelay(delay)
}

// notePolicy logs a policy that could not be evaluated; its safe result holds.
func (f *Forwarder) notePolicy(q *request, err error) {
	if err != nil {
		f.log.Record(eventlog.Event{Kind: eventlog.PolicyFailed, Request: q.id, Route: q.route.Name, Reason: err.Error()})
	}
}
