package replay

import (
	"time"

	"github.com/lugspur/lugspur/internal/resource"
)

// Millis is a time since the trace's start, or a duration, in milliseconds.
type Millis float64

// Duration returns the milliseconds as a duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Trace is a recorded trace.
type Trace struct {
	Header Header
	// Events are in order of time.
	Events []Event
}

// Header is the first line of a trace: its name and the configuration.
type Header struct {
	// Trace names the trace and Promise says what it guards.
	Trace   string `json:"trace,omitempty"`
	Promise string `json:"promise,omitempty"`
	// Zone is the zone of the node.
	Zone string `json:"zone,omitempty"`
	// MaxRetries is the retry budget of a request whose service states none.
	MaxRetries int `json:"max_retries,omitempty"`
	// DefaultTimeout bounds calls for which nothing else does; default 5000.
	DefaultTimeout Millis `json:"default_timeout_ms,omitempty"`
	// Queue bounds the queue in front of each target.
	Queue Queue `json:"queue,omitempty"`
	// FixedLimit keeps the limits of targets at their slots.
	FixedLimit bool `json:"fixed_limit,omitempty"`

	Services map[string]resource.Service `json:"services,omitempty"`
	Policies map[string]resource.Policy  `json:"policies,omitempty"`
	Targets  map[string]resource.Target  `json:"targets,omitempty"`
	// Answers says how the targets of a service answer calls that state nothing.
	Answers map[string]Answer `json:"answers,omitempty"`
	// Claims lists the claim replicas; without them keyed calls are refused.
	Claims *ClaimReplicas `json:"claims,omitempty"`
}

// ConfigurationRevision is the revision of all objects of the header.
const ConfigurationRevision = 10

// Queue bounds the queue in front of a target; zero fields take the defaults
// of package scheduler.
type Queue struct {
	MaxQueue int    `json:"max_queue,omitempty"`
	MaxWait  Millis `json:"max_wait_ms,omitempty"`
	Target   Millis `json:"target_ms,omitempty"`
	Interval Millis `json:"interval_ms,omitempty"`
}

// ClaimReplicas are the replicas of the first roster.
type ClaimReplicas struct {
	Replicas  []string `json:"replicas,omitempty"`
	Retention Millis   `json:"retention_ms,omitempty"`
}

// Event is one line after the header. Exactly one of its members is set.
type Event struct {
	// Line is the event's line in the file.
	Line int `json:"-"`
	// At is when it happens.
	At Millis `json:"at_ms,omitempty"`

	Call       *CallEvent    `json:"call,omitempty"`
	Answers    *AnswersEvent `json:"answers,omitempty"`
	Apply      *ApplyEvent   `json:"apply,omitempty"`
	Mark       *MarkEvent    `json:"mark,omitempty"`
	ShedReport *ShedReport   `json:"shed_report,omitempty"`
	Grant      *GrantEvent   `json:"grant,omitempty"`
	Claim      *ClaimEvent   `json:"claim,omitempty"`
	Deliver    *DeliverEvent `json:"deliver,omitempty"`
	Restart    *ReplicaEvent `json:"restart,omitempty"`
	Rejoin     *ReplicaEvent `json:"rejoin,omitempty"`
	Check      *Check        `json:"check,omitempty"`
}

// CallEvent is a call, or a group of like calls at equal distances.
type CallEvent struct {
	// ID names the call; the calls of a group are named ID-1, ID-2 and so on.
	ID    string `json:"id,omitempty"`
	Count int    `json:"count,omitempty"`
	Every Millis `json:"every_ms,omitempty"`

	Service string `json:"service,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`
	// Caller is the caller's name; a group of several Callers takes turns among Caller-1, Caller-2 and so on.
	Caller  string `json:"caller,omitempty"`
	Callers int    `json:"callers,omitempty"`
	// Timeout is the time that the caller allows.
	Timeout Millis `json:"timeout_ms,omitempty"`
	Key     string `json:"key,omitempty"`
	// Parent is the call whose target makes this one: it comes by the mesh
	// listener with the parent's context. Without it the call comes by the edge.
	Parent string `json:"parent,omitempty"`
	// Orphan marks a mesh call without context.
	Orphan bool `json:"orphan,omitempty"`
	// Does lists what targets do, one entry for each sending; the last one repeats.
	Does []Answer `json:"does,omitempty"`
	// Expect states the outcome of the call, or of each call of the group.
	Expect *CallExpectation `json:"expect,omitempty"`
}

// The outcomes of an Answer.
const (
	// OutcomeComplete is a complete answer with Status, 200 by default.
	OutcomeComplete = "complete"
	// OutcomeRefused is a refusal by the service's refusal header.
	OutcomeRefused = "refused"
	// OutcomeUnsent is a failure before the call was sent.
	OutcomeUnsent = "failed-unsent"
	// OutcomeSent is a failure after the call was sent.
	OutcomeSent = "failed-sent"
	// OutcomeIncomplete is an answer that was cut off.
	OutcomeIncomplete = "incomplete"
)

// Answer is what a target does with one call.
type Answer struct {
	Latency Millis `json:"latency_ms,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Status  int    `json:"status,omitempty"`
	// Load is the load that the target reports, if it does.
	Load float64 `json:"load,omitempty"`
	// GrantLost loses the answer to the question for a grant that follows.
	GrantLost bool `json:"grant_lost,omitempty"`
}

// AnswersEvent changes how the targets of a service answer from now on.
type AnswersEvent struct {
	Service string `json:"service,omitempty"`
	Answer  Answer `json:"answer,omitempty"`
}

// ApplyEvent is the arrival of versions of objects. With a Floor it is a
// complete view of the store at that revision.
type ApplyEvent struct {
	Objects []Object `json:"objects,omitempty"`
	Floor   int64    `json:"floor,omitempty"`
}

// Object is one version of an object; exactly one specification is set unless it is deleted.
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

// MarkEvent sets or lifts an emergency drain.
type MarkEvent struct {
	Drain string `json:"drain,omitempty"`
	Lift  bool   `json:"lift,omitempty"`
}

// ShedReport is the shed level of a target as another node tells it.
type ShedReport struct {
	Service   string  `json:"service,omitempty"`
	Target    string  `json:"target,omitempty"`
	Origin    string  `json:"origin,omitempty"`
	Threshold uint16  `json:"threshold,omitempty"`
	Weight    float64 `json:"weight,omitempty"`
	Version   uint64  `json:"version,omitempty"`
	Age       Millis  `json:"age_ms,omitempty"`
	// Taken states whether the report is news.
	Taken *bool `json:"taken,omitempty"`
}

// GrantEvent is another node's question for a retry of a request.
type GrantEvent struct {
	Call  string `json:"call,omitempty"`
	Token string `json:"token,omitempty"`
	// Granted states the answer.
	Granted *bool `json:"granted,omitempty"`
}

// ClaimEvent begins an attempt to claim a key; DeliverEvents carry its messages.
type ClaimEvent struct {
	Attempt string `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
}

// DeliverEvent takes an attempt's request to a replica and the answer back.
type DeliverEvent struct {
	Attempt string `json:"attempt,omitempty"`
	Replica string `json:"replica,omitempty"`
	// Copies is how often the request arrives, 1 by default.
	Copies int `json:"copies,omitempty"`
	// LoseAnswer drops the answers.
	LoseAnswer bool `json:"lose_answer,omitempty"`
}

// ReplicaEvent restarts a replica without its memory, or lets it join again.
type ReplicaEvent struct {
	Replica string `json:"replica,omitempty"`
}
