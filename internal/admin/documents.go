package admin

import (
	"encoding/json"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Headers of requests and answers.
const (
	// ChangeIDHeader names the change that a write makes. A writer that repeats
	// a write repeats its id.
	ChangeIDHeader = "Lugspur-Change-Id"
	// AuthorHeader names who makes a change.
	AuthorHeader = "Lugspur-Author"
	// RevisionHeader is the revision that an answer's object stands at.
	RevisionHeader = "X-Lugspur-Revision"
	// ExpectedRevisionParameter is the query parameter of a write that holds the
	// revision which the write replaces; zero creates.
	ExpectedRevisionParameter = "expected_revision"
	// EmergencyParameter is the query parameter that lets a drain be spread from
	// node to node when the store can't accept it.
	EmergencyParameter = "emergency"
)

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

// MaxBodyBytes bounds the body of a request, in bytes.
const MaxBodyBytes = 64 << 10

// Outcome says what became of a write.
type Outcome string

// The outcomes of writes.
const (
	// OutcomeAccepted means that the store holds the change.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeUnchanged means that the object was already as asked for.
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeRefused means that the change took no effect and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the change may or may not take effect.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEmergency means that nodes tell each other of a drain which the
	// store has not accepted.
	OutcomeEmergency Outcome = "emergency"
)

// Object is one object as the API shows it.
type Object struct {
	Kind     resource.Kind  `json:"kind"`
	Name     string         `json:"name"`
	Revision store.Revision `json:"revision"`
	// Deleted marks what a deleted object leaves behind; it has no Spec.
	Deleted bool `json:"deleted,omitempty"`
	// Spec is the JSON form of the target, service, policy or drain.
	Spec json.RawMessage `json:"spec,omitempty"`
	// LastChange is the change that led to the revision.
	LastChange *resource.Change `json:"last_change,omitempty"`
}

// ObjectList answers a list of one kind, ordered by name.
type ObjectList struct {
	Kind  resource.Kind `json:"kind"`
	Items []Object      `json:"items"`
}

// HistoryEntry is one change of an object, with the revision that it led to.
type HistoryEntry struct {
	Revision store.Revision `json:"revision"`
	resource.Change
}

// History answers the last changes of an object, newest first.
type History struct {
	Kind    resource.Kind  `json:"kind"`
	Name    string         `json:"name"`
	Changes []HistoryEntry `json:"changes"`
}

// WriteResponse answers a write that was accepted, or that was not needed.
type WriteResponse struct {
	Outcome  Outcome        `json:"outcome"`
	Kind     resource.Kind  `json:"kind"`
	Name     string         `json:"name"`
	Revision store.Revision `json:"revision,omitempty"`
	ChangeID string         `json:"change_id,omitempty"`
	// Warnings say what is odd and still allowed.
	Warnings []string `json:"warnings,omitempty"`
}

// ChangeResponse answers what became of a change.
type ChangeResponse struct {
	Outcome  Outcome        `json:"outcome"`
	Kind     resource.Kind  `json:"kind"`
	Name     string         `json:"name"`
	ChangeID string         `json:"change_id"`
	Revision store.Revision `json:"revision,omitempty"`
}

// Fault is one thing that is wrong with an object.
type Fault struct {
	// Expression is the policy's expression at fault, or empty.
	Expression string `json:"expression,omitempty"`
	// Line and Column are the place in the expression, from one.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
	// Allowed lists what could stand there instead.
	Allowed []string `json:"allowed,omitempty"`
}

// Problem is an RFC 9457 problem document: every answer that is not a success.
// It is an error.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// ChangeID names the change whose outcome the document tells.
	ChangeID string `json:"change_id,omitempty"`
	// ResolveURL is where to ask for an unknown outcome, relative to the API.
	ResolveURL string `json:"ask_url,omitempty"`
	// CurrentRevision is the object's revision in a conflict; zero means that
	// there is no such object.
	CurrentRevision *store.Revision `json:"current_revision,omitempty"`
	// Current is the object as it stands in a conflict.
	Current *Object `json:"current,omitempty"`
	Faults  []Fault `json:"faults,omitempty"`
	// RetryAfterSeconds is when to come back, in seconds.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Step and Peer say where the problem arose.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
}

// Error returns the problem in one line.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	for _, fault := range p.Faults {
		text += "; " + fault.String()
	}
	return text
}
