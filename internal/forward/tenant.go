package forward

import (
	"net/http"

	"github.com/lugspur/lugspur/internal/apikey"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/routetable"
)

// identify finds the tenant whose API key the request carries. Calls that running requests
// make need none: the request that led to them was checked.
func (f *Forwarder) identify(r *http.Request, q *request, table *routetable.Table) *problem.Problem {
	if q.inner || q.route.Public || !table.HasTenants() {
		return nil
	}
	decision := f.keys.Check(r.Context(), r.Header[f.config.Headers.APIKey], q.arrived)
	q.tenant = decision.Tenant
	if decision.Outcome == apikey.Allowed {
		return nil
	}
	detail := decision.Outcome.String()
	f.log.Record(eventlog.Event{Kind: eventlog.KeyRefused, Request: q.id, Route: q.route.Name, Reason: detail, Age: decision.Age,
		Wait: decision.RetryAfter, Version: uint64(f.routes.Version())})
	if decision.Outcome == apikey.Unproved {
		return f.problem(problem.KeyUnproved, problem.ExecutedNo, "identify", detail).WithRetryDelay(decision.RetryAfter)
	}
	return f.problem(problem.Unauthenticated, problem.ExecutedNo, "identify", detail)
}

// nameTenant replaces the caller's key by the name of the tenant that holds it. Where
// there are no tenants the key is none of lugspur's, and is passed on.
func (f *Forwarder) nameTenant(header http.Header, q *request, table *routetable.Table) {
	if table.HasTenants() {
		delete(header, f.config.Headers.APIKey)
	}
	if q.tenant != nil {
		header[f.config.Headers.Tenant] = []string{q.tenant.Name}
	}
}

// tenantOf returns the name and the priority of the request's tenant as policies see them.
func (q *request) tenantOf() (name string, priority int) {
	if q.tenant == nil {
		return "", 0
	}
	return q.tenant.Name, q.tenant.Priority
}
