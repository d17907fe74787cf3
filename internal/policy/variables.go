package policy

import "github.com/lugspur/lugspur/internal/problem"

// Call holds the variables of the call itself, read as call.<name>.
type Call struct {
	// Service is the name of the called service.
	Service string `expr:"service" toml:"service"`
	// Method is the HTTP method, in upper case.
	Method string `expr:"method" toml:"method"`
	// Path is the request path without the service's name and the query.
	Path string `expr:"path" toml:"path"`
	// Caller is the caller's name, "" if the caller sent none.
	Caller string `expr:"caller" toml:"caller"`
	// Zone is the zone of the node that evaluates the policy.
	Zone string `expr:"zone" toml:"zone"`
	// IncomingRank is the criticality of the call chain that the call belongs
	// to, "" at the edge, where a chain starts.
	IncomingRank string `expr:"incoming_rank" toml:"incoming_rank"`
	// Repeatable reports whether the call can safely run more than once.
	Repeatable bool `expr:"repeatable" toml:"repeatable"`
	// Keyed reports whether the call has an Idempotency-Key.
	Keyed bool `expr:"keyed" toml:"keyed"`
	// External reports whether the call arrived at the edge listener.
	External bool `expr:"external" toml:"external"`
	// Hops is the number of services that the call chain has passed, 0 at the edge.
	Hops int `expr:"hops" toml:"hops"`
	// TimeoutMs is the time left before the call's deadline, in milliseconds.
	TimeoutMs int `expr:"timeout_ms" toml:"timeout_ms"`
	// Priority is the priority of the call's route, 0 for the most important
	// and where routes have none.
	Priority int `expr:"priority" toml:"priority"`
	// Tenant is the name of the call's tenant, "" if there is none.
	Tenant string `expr:"tenant" toml:"tenant"`
	// TenantPriority is the priority of the tenant, 0 for the most important
	// and if there is no tenant.
	TenantPriority int `expr:"tenant_priority" toml:"tenant_priority"`
	// Attempts is the maximum number of targets that the route lets a call try,
	// 0 where routes don't set it.
	Attempts int `expr:"attempts" toml:"attempts"`
	// ObjectiveMs is the latency objective of the route, in milliseconds, 0
	// where routes don't set it.
	ObjectiveMs int `expr:"objective_ms" toml:"objective_ms"`
}

// Load holds the variables of the service's load, read as load.<name>.
type Load struct {
	// ShedLevel is the most important criticality that is being shed, "" while
	// none is.
	ShedLevel string `expr:"shed_level" toml:"shed_level"`
	// QueueMs is the measured queueing delay, in milliseconds.
	QueueMs float64 `expr:"queue_ms" toml:"queue_ms"`
	// InFlight is the number of calls in flight at the targets.
	InFlight int `expr:"in_flight" toml:"in_flight"`
	// Limit is the concurrency limit of the targets.
	Limit int `expr:"limit" toml:"limit"`
	// FreeIn is the expected time until capacity is free, in seconds, 0 if it
	// is unknown.
	FreeIn float64 `expr:"free_in" toml:"free_in"`
}

// Outcome holds the variables of the last attempt, read as outcome.<name>.
type Outcome struct {
	// Status is the HTTP status of the response, 0 if there was none.
	Status int `expr:"status" toml:"status"`
	// Executed says whether a target ran the call: ExecutedNo, ExecutedUnknown
	// or ExecutedYes.
	Executed string `expr:"executed" toml:"executed"`
	// Attempt is the number of attempts made at this hop, 1 after the first.
	Attempt int `expr:"attempt" toml:"attempt"`
	// Reason is the problem.Reason of the refusal or failure, "" if the target
	// responded.
	Reason string `expr:"reason" toml:"reason"`
}

// Values of Outcome.Executed.
const (
	ExecutedNo      = string(problem.ExecutedNo)
	ExecutedUnknown = string(problem.ExecutedUnknown)
	// ExecutedYes means that a target responded to the call.
	ExecutedYes = "yes"
)

// environment holds the variables of one evaluation.
type environment struct {
	Call    Call    `expr:"call"`
	Load    Load    `expr:"load"`
	Outcome Outcome `expr:"outcome"`
}

// oversized reports whether a string variable is longer than MaxInputBytes,
// which would invalidate the bound on an expression's cost.
func (c *Call) oversized() bool {
	longest := max(len(c.Service), len(c.Method), len(c.Path), len(c.Caller), len(c.Zone), len(c.IncomingRank))
	return longest > MaxInputBytes
}

func (l *Load) oversized() bool {
	return l != nil && len(l.ShedLevel) > MaxInputBytes
}

func (o *Outcome) oversized() bool {
	return o != nil && max(len(o.Executed), len(o.Reason)) > MaxInputBytes
}
