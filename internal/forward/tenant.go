package forward

import (
	"context"
	"net/http"

	"github.com/lugspur/lugspur/internal/apikey"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/routetable"
)

// identify authenticates the request by its API key and sets its tenant. Nested calls need no
// key, because the request that caused them was checked.
func (f *Forwarder) identify(r *http.Request, q *request, table *routetable.Table) *problem.Problem {
	if q.nested || q.route.Public || !table.HasTenants() {
		return nil
	}
	decision := f.keys.Check(r.Context(), r.Header[f.config.Headers.APIKey], q.arrived)
	q.tenant = decision.Tenant
	if decision.Outcome == apikey.Allowed {
		return nil
	}
	detail, reason := decision.Outcome.String(), problem.Unauthenticated
	if decision.Outcome == apikey.Unverified {
		reason = problem.KeyUnproved
	}
	f.observer.TenantChecked("", reason)
	f.log.Record(eventlog.Event{Kind: eventlog.KeyRefused, Request: q.id, Route: q.route.Name, Reason: detail, Age: decision.Age,
		Wait: decision.RetryAfter, Version: uint64(f.routes.Version())})
	refusal := f.problem(reason, problem.ExecutedNo, "identify", detail)
	if decision.RetryAfter > 0 {
		refusal = refusal.WithRetryDelay(decision.RetryAfter)
	}
	return refusal
}

// checkLimit enforces the tenant's rate limit. A request over the limit does not affect
// queues, targets, retry budgets or the shed thresholds of other requests.
func (f *Forwarder) checkLimit(ctx context.Context, q *request) *problem.Problem {
	if q.tenant == nil {
		return nil
	}
	if q.tenant.Limited() {
		q.permit = f.limits.Admit(ctx, q.tenant)
	}
	reason, detail := problem.LimitReached, "the tenant's limit is reached"
	switch q.permit.Outcome {
	case ratelimit.Admitted:
		f.observer.TenantChecked(q.tenant.Name, "")
		return nil
	case ratelimit.Unavailable:
		reason, detail = problem.LimitUnknown, "the tenant's limit can't be checked"
	}
	f.observer.TenantChecked(q.tenant.Name, reason)
	f.log.Record(eventlog.Event{Kind: eventlog.LimitRefused, Request: q.id, Route: q.route.Name, Outcome: q.tenant.Name, Reason: detail,
		Count: q.permit.HoldersAsked, Wait: q.permit.RetryAfter, Version: uint64(f.routes.Version())})
	return f.problem(reason, problem.ExecutedNo, "limit", detail).WithRetryDelay(q.permit.RetryAfter)
}

// returnPermit returns the rate limit permit of a request that was certainly not executed.
func (f *Forwarder) returnPermit(q *request, failure *problem.Problem) {
	if q.tenant != nil && q.permit.Outcome == ratelimit.Admitted && failure.Executed == problem.ExecutedNo {
		f.limits.Return(q.tenant, q.permit)
	}
}

// setTenantHeader replaces the caller's API key with the name of the tenant. If no tenants
// are configured, the key header belongs to the application and is passed on.
func (f *Forwarder) setTenantHeader(header http.Header, q *request, table *routetable.Table) {
	if table.HasTenants() {
		delete(header, f.config.Headers.APIKey)
	}
	if q.tenant != nil {
		header[f.config.Headers.Tenant] = []string{q.tenant.Name}
	}
}

// tenantOf returns the name and the priority of the request's tenant that are available to
// policies.
func (q *request) tenantOf() (name string, priority int) {
	if q.tenant == nil {
		return "", 0
	}
	return q.tenant.Name, q.tenant.Priority
}
