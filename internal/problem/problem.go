// Package problem defines the errors that callers receive: RFC 9457 problem
// documents that say whether the call was executed and when to retry.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// ExecutedHeader repeats the document's executed member, so that a target can
// forward it without parsing the body.
const ExecutedHeader = "Lugspur-Executed"

// Executed says whether a call may have been executed.
type Executed string

// The values of Executed.
const (
	// ExecutedNo means that no target has executed any part of the call.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means that a target may have executed the call, or part of it.
	ExecutedUnknown Executed = "unknown"
)

// Reason is the kind of a problem. It is the last component of the document's type.
type Reason string

// The reasons. Status returns the HTTP status of each.
const (
	BadRequest        Reason = "bad-request"
	BadContext        Reason = "bad-context"
	BodyTooLarge      Reason = "body-too-large"
	HeaderTooLarge    Reason = "header-too-large"
	UnknownService    Reason = "unknown-service"
	NotAdmitted       Reason = "not-admitted"
	Overloaded        Reason = "overloaded"
	NoTarget          Reason = "no-target"
	DeadlineExceeded  Reason = "deadline-exceeded"
	TooManyHops       Reason = "too-many-hops"
	Draining          Reason = "draining"
	NotReady          Reason = "not-ready"
	TargetFailed      Reason = "target-failed"
	IncompleteAnswer  Reason = "incomplete-answer"
	DuplicateRequest  Reason = "duplicate-request"
	ClaimsUnavailable Reason = "claims-unavailable"
	CallerGone        Reason = "caller-gone"
	RetriesSpent      Reason = "retries-spent"
	Quarantined       Reason = "quarantined"
	Unauthenticated   Reason = "unauthenticated"
	KeyUnproved       Reason = "key-unproved"
	LimitReached      Reason = "limit-reached"
	LimitUnknown      Reason = "limit-unknown"
	Internal          Reason = "internal"
)

var statuses = map[Reason]int{
	BadRequest:        http.StatusBadRequest,
	BadContext:        http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	UnknownService:    http.StatusNotFound,
	NotAdmitted:       http.StatusForbidden,
	Overloaded:        http.StatusServiceUnavailable,
	NoTarget:          http.StatusServiceUnavailable,
	DeadlineExceeded:  http.StatusGatewayTimeout,
	TooManyHops:       http.StatusLoopDetected,
	Draining:          http.StatusServiceUnavailable,
	NotReady:          http.StatusServiceUnavailable,
	TargetFailed:      http.StatusBadGateway,
	IncompleteAnswer:  http.StatusBadGateway,
	DuplicateRequest:  http.StatusConflict,
	ClaimsUnavailable: http.StatusServiceUnavailable,
	CallerGone:        499,
	RetriesSpent:      http.StatusServiceUnavailable,
	Quarantined:       http.StatusServiceUnavailable,
	Unauthenticated:   http.StatusUnauthorized,
	KeyUnproved:       http.StatusServiceUnavailable,
	LimitReached:      http.StatusTooManyRequests,
	LimitUnknown:      http.StatusServiceUnavailable,
	Internal:          http.StatusInternalServerError,
}

// Status returns the HTTP status of a reason.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Problem describes why a call was refused or failed. It implements error.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Executed  Executed `json:"executed"`
	RequestID string   `json:"request_id,omitempty"`
	// RetryAfterSeconds is the delay before a retry; zero means that retrying the
	// same call is useless.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Step is the processing step in which the problem arose.
	Step string `json:"step,omitempty"`
	// Peer is the node or target at which the problem arose.
	Peer string `json:"peer,omitempty"`

	Reason Reason `json:"-"`
	// RetryDelay is the delay before a retry with millisecond precision. If set, it
	// replaces the whole seconds in the Retry-After header.
	RetryDelay time.Duration `json:"-"`
	cause      error
}

// typePrefix is the prefix of the type member of every document.
const typePrefix = "urn:lugspur:problem:"

// documentTypes are the type members of the documents of all reasons.
var documentTypes = func() map[Reason]string {
	types := make(map[Reason]string, len(statuses))
	for reason := range statuses {
		types[reason] = typePrefix + string(reason)
	}
	return types
}()

func (r Reason) documentType() string {
	if known, ok := documentTypes[r]; ok {
		return known
	}
	return typePrefix + string(r)
}

// New returns a problem that arose in the given step at the given peer.
func New(reason Reason, executed Executed, step, peer, detail string) *Problem {
	status := reason.Status()
	return &Problem{
		Type:     reason.documentType(),
		Title:    http.StatusText(status),
		Status:   status,
		Detail:   detail,
		Executed: executed,
		Step:     step,
		Peer:     peer,
		Reason:   reason,
	}
}

// WithRetryAfter sets the delay before a retry, rounded up to whole seconds and
// at least one second.
func (p *Problem) WithRetryAfter(delay time.Duration) *Problem {
	seconds := int((delay + time.Second - 1) / time.Second)
	p.RetryAfterSeconds = max(seconds, 1)
	return p
}

// WithRetryDelay sets the delay before a retry with millisecond precision.
func (p *Problem) WithRetryDelay(delay time.Duration) *Problem {
	p.RetryDelay = delay
	return p.WithRetryAfter(delay)
}

// WithCause sets the error that caused the problem, for logs and errors.Is.
func (p *Problem) WithCause(err error) *Problem {
	p.cause = err
	return p
}

// Error returns a one-line description of the problem.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s at %s (%s): %s, executed: %s", p.Reason, p.Step, p.Peer, p.Detail, p.Executed)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// Write writes the problem as the HTTP response to a call.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	body := p.Document()
	// The names are canonical, so that http.Header.Set is not needed. One array holds the values.
	values := [...]string{ContentType, "no-store", string(p.Executed), strconv.Itoa(len(body)), p.retryAfter()}
	header["Content-Type"] = values[0:1:1]
	header["Cache-Control"] = values[1:2:2]
	header[ExecutedHeader] = values[2:3:3]
	header["Content-Length"] = values[3:4:4]
	if values[4] != "" {
		header["Retry-After"] = values[4:5:5]
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// retryAfter returns the value of the Retry-After header, empty if there is none.
func (p *Problem) retryAfter() string {
	switch {
	case p.RetryDelay > 0:
		return strconv.FormatFloat(p.RetryDelay.Seconds(), 'f', 3, 64)
	case p.RetryAfterSeconds > 0:
		return strconv.Itoa(p.RetryAfterSeconds)
	}
	return ""
}

// Document returns the JSON problem document.
func (p *Problem) Document() []byte {
	document, err := json.Marshal(p)
	if err != nil {
		// A struct of strings and numbers can always be encoded.
		panic(err)
	}
	return document
}

// MarkExecutionUnknown corrects the problem document in a target's response that forwards a
// problem of one of the target's own downstream calls. Even if the downstream
// call was not executed, the target itself was, so executed becomes unknown. It
// returns false if the body is not a lugspur problem document or needs no
// correction.
func MarkExecutionUnknown(body []byte) ([]byte, bool) {
	var p Problem
	if json.Unmarshal(body, &p) != nil || !strings.HasPrefix(p.Type, typePrefix) || p.Executed == ExecutedUnknown {
		return nil, false
	}
	p.Executed = ExecutedUnknown
	return p.Document(), true
}

// Parse parses a problem document as written by a node. It returns an error for
// any other document.
func Parse(body []byte) (*Problem, error) {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("parse problem document: %w", err)
	}
	if len(p.Type) <= len(typePrefix) || p.Type[:len(typePrefix)] != typePrefix {
		return nil, fmt.Errorf("parse problem document: type %q is not ours", p.Type)
	}
	if p.Status < 400 || p.Status > 599 {
		return nil, fmt.Errorf("parse problem document: status %d", p.Status)
	}
	if p.Executed != ExecutedNo && p.Executed != ExecutedUnknown {
		return nil, fmt.Errorf("parse problem document: executed %q", p.Executed)
	}
	p.Reason = Reason(p.Type[len(typePrefix):])
	return &p, nil
}
