package replay

import (
	"time"

	"github.com/lugspur/lugspur/internal/resource"
)

// Millis is a duration in milliseconds. As a time it counts from the trace's start.
type Millis float64

// Duration converts the milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Trace is a recorded trace.
type Trace struct {
	Header Header
	// Events are sorted by time.
	Events []Event
}

// Header is the first line of a trace. It contains the trace's name and the
// configuration.
type Header struct {
	// Name is the trace's name. Guarantee describes the property that it verifies.
	Name      string `json:"trace,omitempty"`
	Guarantee string `json:"promise,omitempty"`
	// Zone is the zone of the simulated node.
	Zone string `json:"zone,omitempty"`
	// MaxRetries is the retry budget of requests whose service defines none.
	MaxRetries int `json:"max_retries,omitempty"`
	// DefaultTimeout is the timeout of calls for which neither the call nor the
	// service defines one; default 5000.
	DefaultTimeout Millis `json:"default_timeout_ms,omitempty"`
	// Queue configures the queue of each target.
	Queue QueueConfig `json:"queue,omitempty"`
	// FixedLimit disables the adaptive concurrency limit: each target's limit stays
	// at its ceiling, the smaller of its slots and connections.
	FixedLimit bool `json:"fixed_limit,omitempty"`

	Services map[string]resource.Service `json:"services,omitempty"`
	Policies map[string]resource.Policy  `json:"policies,omitempty"`
	Targets  map[string]resource.Target  `json:"targets,omitempty"`
	// DefaultResponses maps a service to the response of its targets to calls that
	// define none.
	DefaultResponses map[string]Response `json:"answers,omitempty"`
	// ClaimReplicas configures the claim replicas. If it is nil, calls with an
	// idempotency key are refused.
	ClaimReplicas *ClaimReplicas `json:"claims,omitempty"`
}

// HeaderRevision is the revision of all objects of the header.
const HeaderRevision = 10

// QueueConfig configures the queue of a target. Zero fields take the defaults of
// package scheduler.
type QueueConfig struct {
	MaxQueue int    `json:"max_queue,omitempty"`
	MaxWait  Millis `json:"max_wait_ms,omitempty"`
	Target   Millis `json:"target_ms,omitempty"`
	Interval Millis `json:"interval_ms,omitempty"`
}

// ClaimReplicas lists the claim replicas of the first roster, with their retention.
type ClaimReplicas struct {
	Replicas  []string `json:"replicas,omitempty"`
	Retention Millis   `json:"retention_ms,omitempty"`
}

// Event is one line after the header. Exactly one member besides the time is set.
type Event struct {
	// Line is the event's line number in the file.
	Line int `json:"-"`
	// At is the time of the event.
	At Millis `json:"at_ms,omitempty"`

	Call            *CallEvent            `json:"call,omitempty"`
	DefaultResponse *DefaultResponseEvent `json:"answers,omitempty"`
	Apply           *ApplyEvent           `json:"apply,omitempty"`
	EmergencyDrain  *EmergencyDrainEvent  `json:"mark,omitempty"`
	ShedReport      *ShedReport           `json:"shed_report,omitempty"`
	GrantRequest    *GrantRequestEvent    `json:"grant,omitempty"`
	Claim           *ClaimEvent           `json:"claim,omitempty"`
	Delivery        *DeliveryEvent        `json:"deliver,omitempty"`
	Restart         *ReplicaEvent         `json:"restart,omitempty"`
	Rejoin          *ReplicaEvent         `json:"rejoin,omitempty"`
	Check           *Check                `json:"check,omitempty"`
}

// CallEvent is a call, or a group of equal calls at a fixed interval.
type CallEvent struct {
	// ID names the call; the calls of a group are named ID-1, ID-2 and so on.
	ID       string `json:"id,omitempty"`
	Count    int    `json:"count,omitempty"`
	Interval Millis `json:"every_ms,omitempty"`

	Service string `json:"service,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`
	// Caller is the caller's name. If CallerCount is above 1, the calls of a group are
	// assigned in turn to callers named Caller-1, Caller-2 and so on.
	Caller      string `json:"caller,omitempty"`
	CallerCount int    `json:"callers,omitempty"`
	// Timeout is the timeout set by the caller.
	Timeout Millis `json:"timeout_ms,omitempty"`
	Key     string `json:"key,omitempty"`
	// Parent is the ID of the call whose target makes this one. Such a call arrives
	// at the mesh listener with the parent's context; a call without a parent arrives
	// at the edge listener.
	Parent string `json:"parent,omitempty"`
	// Orphan marks a call that arrives at the mesh listener without a context.
	Orphan bool `json:"orphan,omitempty"`
	// Responses lists the responses of targets, one for each attempt. The last one
	// is used for all further attempts.
	Responses []Response `json:"does,omitempty"`
	// Expect is the expected outcome of the call, or of each call of the group.
	Expect *CallExpectation `json:"expect,omitempty"`
}

// Values of Response.Outcome. An empty outcome means OutcomeComplete.
const (
	// OutcomeComplete is a complete response with Status, 200 by default.
	OutcomeComplete = "complete"
	// OutcomeRefused is a refusal that the target signals with the service's refusal
	// header.
	OutcomeRefused = "refused"
	// OutcomeFailedUnsent is a failure before the call was sent.
	OutcomeFailedUnsent = "failed-unsent"
	// OutcomeFailedSent is a failure after the call was sent.
	OutcomeFailedSent = "failed-sent"
	// OutcomeIncomplete is a truncated response.
	OutcomeIncomplete = "incomplete"
)

// Response is the simulated response of a target to one call.
type Response struct {
	Latency Millis `json:"latency_ms,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Status  int    `json:"status,omitempty"`
	// Load is the load in the target's load header. It is used only if the service
	// defines such a header.
	Load float64 `json:"load,omitempty"`
	// GrantResponseLost drops the response to the retry grant request that follows
	// this response.
	GrantResponseLost bool `json:"grant_lost,omitempty"`
}

// DefaultResponseEvent sets the default response of a service's targets for calls
// sent from now on.
type DefaultResponseEvent struct {
	Service  string   `json:"service,omitempty"`
	Response Response `json:"answer,omitempty"`
}

// ApplyEvent delivers versions of objects to the node. With a Floor it is a
// complete view of the store at that revision.
type ApplyEvent struct {
	Objects []Object `json:"objects,omitempty"`
	Floor   int64    `json:"floor,omitempty"`
}

// Object is one version of an object. Exactly one specification is set unless the
// object is deleted.
type Object struct {
	Kind     resource.Kind     `json:"kind,omitempty"`
	Name     string            `json:"name,omitempty"`
	Revision int64             `json:"revision,omitempty"`
	Deleted  bool              `json:"deleted,omitempty"`
	Service  *resource.Service `json:"service,omitempty"`
	Policy   *resource.Policy  `json:"policy,omitempty"`
	Target   *resource.Target  `json:"target,omitempty"`
	Drain    *resource.Drain   `json:"drain,omitempty"`
}

// EmergencyDrainEvent adds or removes an emergency drain.
type EmergencyDrainEvent struct {
	DrainName string `json:"drain,omitempty"`
	Remove    bool   `json:"lift,omitempty"`
}

// ShedReport is the shed level of a target as reported by another node.
type ShedReport struct {
	Service   string  `json:"service,omitempty"`
	Target    string  `json:"target,omitempty"`
	Origin    string  `json:"origin,omitempty"`
	Threshold uint16  `json:"threshold,omitempty"`
	Weight    float64 `json:"weight,omitempty"`
	Version   uint64  `json:"version,omitempty"`
	Age       Millis  `json:"age_ms,omitempty"`
	// Taken is whether the shed table is expected to accept the report.
	Taken *bool `json:"taken,omitempty"`
}

// GrantRequestEvent is a retry grant request from another node.
type GrantRequestEvent struct {
	Call  string `json:"call,omitempty"`
	Token string `json:"token,omitempty"`
	// Granted is whether the retry is expected to be granted.
	Granted *bool `json:"granted,omitempty"`
}

// ClaimEvent starts an attempt to claim a key. Its messages are delivered by
// DeliveryEvents.
type ClaimEvent struct {
	Attempt string `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
}

// DeliveryEvent delivers an attempt's request to a replica and the replica's response
// to the attempt.
type DeliveryEvent struct {
	Attempt string `json:"attempt,omitempty"`
	Replica string `json:"replica,omitempty"`
	// Copies is the number of times that the request is delivered; default 1.
	Copies int `json:"copies,omitempty"`
	// DropResponse drops the responses to all copies.
	DropResponse bool `json:"lose_answer,omitempty"`
}

// ReplicaEvent restarts a replica, which loses its state, or adds it to the roster
// again.
type ReplicaEvent struct {
	Replica string `json:"replica,omitempty"`
}
