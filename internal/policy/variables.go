package policy

import "github.com/lugspur/lugspur/internal/problem"

// Call holds the variables of the call itself, read as call.<name>.
type Call struct {
	// Service is the name of the called service.
	Service string `expr:"service" toml:"service"`
	// Method is the request method, in upper case.
	Method string `expr:"method" toml:"method"`
	// Path is the request path without the service's name and the query.
	Path string `expr:"path" toml:"path"`
	// Caller is the name that the caller gave, "" when it gave none.
	Caller string `expr:"caller" toml:"caller"`
	// Zone is the zone of the node that evaluates the policy.
	Zone string `expr:"zone" toml:"zone"`
	// IncomingRank is the criticality of the call chain that the call belongs
	// to, "" at the edge, where a chain starts.
	IncomingRank string `expr:"incoming_rank" toml:"incoming_rank"`
	// Repeatable tells that running the call twice does no harm.
	Repeatable bool `expr:"repeatable" toml:"repeatable"`
	// Keyed tells that the call carries an Idempotency-Key.
	Keyed bool `expr:"keyed" toml:"keyed"`
	// External tells that the call entered through the edge listener.
	External bool `expr:"external" toml:"external"`
	// Hops is the number of services that the chain has passed, 0 at the edge.
	Hops int `expr:"hops" toml:"hops"`
	// TimeoutMs is the time left before the call's deadline, in milliseconds.
	TimeoutMs int `expr:"timeout_ms" toml:"timeout_ms"`
	// Priority is that of the call's route, 0 for the most important; 0 where
	// routes have none.
	Priority int `expr:"priority" toml:"priority"`
	// Tenant is the name of the tenant that the call is made for, "" where there is none.
	Tenant string `expr:"tenant" toml:"tenant"`
	// TenantPriority is that of the tenant, 0 for the most important and where there is
	// none.
	TenantPriority int `expr:"tenant_priority" toml:"tenant_priority"`
	// Attempts is the most targets that the route lets a call go to, 0 where
	// routes don't say.
	Attempts int `expr:"attempts" toml:"attempts"`
	// ObjectiveMs is the time within which the route wants an answer, in
	// milliseconds, 0 where routes don't say.
	ObjectiveMs int `expr:"objective_ms" toml:"objective_ms"`
}

// Load holds the variables of the called service's load, read as load.<name>.
type Load struct {
	// ShedLevel is the most important criticality of which calls are being
	// shed, "" while nothing is shed.
	ShedLevel string `expr:"shed_level" toml:"shed_level"`
	// QueueMs is the measured queueing delay, in milliseconds.
	QueueMs float64 `expr:"queue_ms" toml:"queue_ms"`
	// InFlight is the number of calls that the targets are running.
	InFlight int `expr:"in_flight" toml:"in_flight"`
	// Limit is the number of calls that the targets may run at once.
	Limit int `expr:"limit" toml:"limit"`
	// FreeIn is after how many seconds room is expected, 0 where the node doesn't
	// know it.
	FreeIn float64 `expr:"free_in" toml:"free_in"`
}

// Outcome holds the variables of the last attempt, read as outcome.<name>.
type Outcome struct {
	// Status is the answer's HTTP status, 0 when there was no answer.
	Status int `expr:"status" toml:"status"`
	// Executed tells whether a target ran the call: one of the Executed names.
	Executed string `expr:"executed" toml:"executed"`
	// Attempt is the number of attempts made at this hop, 1 after the first.
	Attempt int `expr:"attempt" toml:"attempt"`
	// Reason is the problem.Reason of the refusal or failure, "" when the
	// target answered.
	Reason string `expr:"reason" toml:"reason"`
}

// The values of Outcome.Executed.
const (
	ExecutedNo      = string(problem.ExecutedNo)
	ExecutedUnknown = string(problem.ExecutedUnknown)
	// ExecutedYes means that a target answered the call.
	ExecutedYes = "yes"
)

// environment is what a compiled expression is evaluated against.
type environment struct {
	Call    Call    `expr:"call"`
	Load    Load    `expr:"load"`
	Outcome Outcome `expr:"outcome"`
}

// oversized reports whether a string is too long for the cost bound to hold.
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
