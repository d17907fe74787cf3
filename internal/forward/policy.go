package forward

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/content"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
)

// policyCallOf returns the fields of a request that are available to policies.
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
		External:    !q.nested,
		TimeoutMs:   int(q.deadline.Sub(q.arrived).Milliseconds()),
		Priority:    q.route.Priority,
		Attempts:    q.route.Attempts,
		ObjectiveMs: int(q.route.Objective.Milliseconds()),
	}
}

// loadOf returns the load of the request's route that is available to policies. freeIn is
// the time after which free capacity is expected.
func (f *Forwarder) loadOf(q *request, freeIn time.Duration) policy.Load {
	load := policy.Load{FreeIn: freeIn.Seconds()}
	if threshold := f.admissionLimitOf(q.route).threshold; threshold < shed.None {
		load.ShedLevel = criticality.RankOf(threshold).Level.String()
	}
	return load
}

// outcomeOf returns the outcome of the request so far that is available to policies.
func (q *request) outcomeOf() policy.Outcome {
	outcome := policy.Outcome{Executed: policy.ExecutedNo, Attempt: q.countedOffers()}
	if q.attempts > 0 {
		outcome.Executed = policy.ExecutedUnknown
	}
	if q.errorReply != nil {
		outcome.Executed = policy.ExecutedYes
		outcome.Status = q.errorReply.Status
	}
	return outcome
}

// rankOf returns the rank of a request that enters at this node: the level that its policy
// assigns, and a cohort within the level. It must be called once for each request.
func (f *Forwarder) rankOf(q *request) criticality.Rank {
	level, err := f.policies.For(q.route.Kind).Rank(q.policyCall)
	f.logPolicyError(q, err)
	return criticality.Rank{Level: level, Cohort: f.cohortOf(q)}
}

// cohortOf returns the cohort of a request: the one that its tenant's fair share requires, or a
// hash of its ID if it has no tenant or fair shares are disabled.
func (f *Forwarder) cohortOf(q *request) uint8 {
	if f.fairShares == nil || q.tenant == nil {
		return hashCohort(q.id)
	}
	return f.fairShares.Cohort(q.content, q.route.Name)
}

// hashCohort returns the cohort that is a hash of the request ID.
func hashCohort(id string) uint8 { return uint8(xxhash.Sum64String(id) % criticality.CohortCount) }

// contentOf returns what a caller repeats unchanged when it retries the request.
func contentOf(q *request, r *http.Request) content.Key {
	tenant, _ := q.tenantOf()
	return content.Key{Method: r.Method, Host: r.Host, URI: requestURI(r), ContentLength: r.ContentLength, Tenant: tenant}
}

// policyAdmits reports whether the policy admits the request.
func (f *Forwarder) policyAdmits(q *request) bool {
	admitted, err := f.policies.For(q.route.Kind).Admit(q.policyCall, f.loadOf(q, 0))
	f.logPolicyError(q, err)
	return admitted
}

// maxRetries returns the number of additional homes to which the policy allows the request
// to be offered.
func (f *Forwarder) maxRetries(q *request) int {
	retries, err := f.policies.For(q.route.Kind).Retry(q.policyCall, q.outcomeOf())
	f.logPolicyError(q, err)
	return retries
}

// refusal returns the problem for a request that was not executed. The policy determines
// the retry delay, given the time after which free capacity is expected.
func (f *Forwarder) refusal(q *request, reason problem.Reason, step, detail string, freeIn time.Duration) *problem.Problem {
	delay, err := f.policies.For(q.route.Kind).RefuseDelay(q.policyCall, f.loadOf(q, freeIn), q.outcomeOf())
	f.logPolicyError(q, err)
	return f.problem(reason, problem.ExecutedNo, step, detail).WithRetryDelay(delay)
}

// logPolicyError logs that a policy could not be evaluated; the caller uses the policy's
// safe default.
func (f *Forwarder) logPolicyError(q *request, err error) {
	if err != nil {
		f.log.Record(eventlog.Event{Kind: eventlog.PolicyFailed, Request: q.id, Route: q.route.Name, Reason: err.Error()})
	}
}
