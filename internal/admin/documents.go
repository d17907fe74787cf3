package admin

import (
	"encoding/json"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Request and response headers and query parameters.
const (
	// ChangeIDHeader is the id of a write's change. A client that resends a
	// write uses the same id.
	ChangeIDHeader = "Lugspur-Change-Id"
	// AuthorHeader is the author of a change.
	AuthorHeader = "Lugspur-Author"
	// RevisionHeader is the revision of the object in a response.
	RevisionHeader = "X-Lugspur-Revision"
	// ExpectedRevisionParameter is the query parameter with the revision that a
	// write replaces; zero creates the object.
	ExpectedRevisionParameter = "expected_revision"
	// EmergencyParameter is the query parameter that allows a drain to be
	// propagated between nodes if the store can't accept it.
	EmergencyParameter = "emergency"
)

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

// MaxBodyBytes is the maximum size of a request body, in bytes.
const MaxBodyBytes = 64 << 10

// Outcome is the outcome of a write.
type Outcome string

// Outcomes of writes.
const (
	// OutcomeAccepted means that the change is stored.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeUnchanged means that the object already had the requested state.
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeRefused means that the change had no effect and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the change may or may not take effect.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEmergency means that the nodes propagate a drain that the store has
	// not accepted.
	OutcomeEmergency Outcome = "emergency"
)

// Object is the API representation of an object.
type Object struct {
	Kind     resource.Kind  `json:"kind"`
	Name     string         `json:"name"`
	Revision store.Revision `json:"revision"`
	// Deleted marks the tombstone of a deleted object, which has no Spec.
	Deleted bool `json:"deleted,omitempty"`
	// Spec is the JSON form of the target, service, policy or drain.
	Spec json.RawMessage `json:"spec,omitempty"`
	// LastChange is the change that created the revision.
	LastChange *resource.Change `json:"last_change,omitempty"`
}

// ObjectList lists the objects of a kind, ordered by name.
type ObjectList struct {
	Kind  resource.Kind `json:"kind"`
	Items []Object      `json:"items"`
}

// HistoryEntry is a change of an object with the revision that it created.
type HistoryEntry struct {
	Revision store.Revision `json:"revision"`
	resource.Change
}

// History lists the latest changes of an object, newest first.
type History struct {
	Kind    resource.Kind  `json:"kind"`
	Name    string         `json:"name"`
	Changes []HistoryEntry `json:"changes"`
}

// WriteResponse is the response to a write that was accepted or not needed.
type WriteResponse struct {
	Outcome  Outcome        `json:"outcome"`
	Kind     resource.Kind  `json:"kind"`
	Name     string         `json:"name"`
	Revision store.Revision `json:"revision,omitempty"`
	ChangeID string         `json:"change_id,omitempty"`
	// Warnings describe suspicious but valid objects.
	Warnings []string `json:"warnings,omitempty"`
}

// ChangeResponse is the response to a query for the outcome of a change.
type ChangeResponse struct {
	Outcome  Outcome        `json:"outcome"`
	Kind     resource.Kind  `json:"kind"`
	Name     string         `json:"name"`
	ChangeID string         `json:"change_id"`
	Revision store.Revision `json:"revision,omitempty"`
}

// Fault is a validation error of an object.
type Fault struct {
	// Expression is the name of the faulty policy expression, or empty.
	Expression string `json:"expression,omitempty"`
	// Line and Column are the position in the expression, counted from one.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
	// Allowed lists the valid alternatives.
	Allowed []string `json:"allowed,omitempty"`
}

// Problem is an RFC 9457 problem document, the body of every error response. It
// implements error.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// ChangeID is the id of the change that Outcome belongs to.
	ChangeID string `json:"change_id,omitempty"`
	// ResolveURL is the URL that resolves an unknown outcome, relative to the API.
	ResolveURL string `json:"ask_url,omitempty"`
	// CurrentRevision is the revision of the object that caused a conflict; zero
	// means that the object doesn't exist.
	CurrentRevision *store.Revision `json:"current_revision,omitempty"`
	// Current is the object that caused a conflict.
	Current *Object `json:"current,omitempty"`
	Faults  []Fault `json:"faults,omitempty"`
	// RetryAfterSeconds is the delay after which to retry, in seconds.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Step and Peer are the operation and the node that failed.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
}

// Error formats the problem on one line.
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
