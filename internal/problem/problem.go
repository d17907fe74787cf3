// Package problem defines the refusals that callers receive: RFC 9457 problem
// documents that say whether the call was run and when to come back.
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
// pass it on without reading the body.
const ExecutedHeader = "Lugspur-Executed"

// Executed says what a caller may conclude about the call.
type Executed string

// The values of Executed.
const (
	// ExecutedNo means that no target has run any part of the call.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means that a target may have run the call, or a part.
	ExecutedUnknown Executed = "unknown"
)

// Reason is the kind of a problem; it is the last part of the document's type.
type Reason string

// The reasons, with the status each is answered with.
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

// Problem is a refusal or failure of one call. It is an error.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Executed  Executed `json:"executed"`
	RequestID string   `json:"request_id,omitempty"`
	// RetryAfterSeconds is when to come back; zero means that coming back with
	// the same call is of no use.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Step is the step of the call's way at which the problem arose.
	Step string `json:"step,omitempty"`
	// Peer is the node or target at which it arose.
	Peer string `json:"peer,omitempty"`

	Reason Reason `json:"-"`
	// RetryDelay is when to come back, to the millisecond; the header tells it in
	// place of the whole seconds where it is set.
	RetryDelay time.Duration `json:"-"`
	cause      error
}

// typePrefix starts the type member of every document.
const typePrefix = "urn:lugspur:problem:"

// New returns a problem. The step and the peer say where it arose.
func New(reason Reason, executed Executed, step, peer, detail string) *Problem {
	return &Problem{
		Type:     typePrefix + string(reason),
		Title:    http.StatusText(reason.Status()),
		Status:   reason.Status(),
		Detail:   detail,
		Executed: executed,
		Step:     step,
		Peer:     peer,
		Reason:   reason,
	}
}

// WithRetryAfter says when to come back, rounded up to a whole second of at
// least one.
func (p *Problem) WithRetryAfter(delay time.Duration) *Problem {
	seconds := int((delay + time.Second - 1) / time.Second)
	p.RetryAfterSeconds = max(seconds, 1)
	return p
}

// WithRetryDelay says when to come back, to the millisecond.
func (p *Problem) WithRetryDelay(delay time.Duration) *Problem {
	p.RetryDelay = delay
	return p.WithRetryAfter(delay)
}

// WithCause keeps the error that led to the problem, for logs and errors.Is.
func (p *Problem) WithCause(err error) *Problem {
	p.cause = err
	return p
}

// Error returns the problem in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s at %s (%s): %s, executed: %s", p.Reason, p.Step, p.Peer, p.Detail, p.Executed)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// Write answers a call with the problem.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set(ExecutedHeader, string(p.Executed))
	if p.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	if p.RetryDelay > 0 {
		header.Set("Retry-After", strconv.FormatFloat(p.RetryDelay.Seconds(), 'f', 3, 64))
	}
	body := p.Document()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// Document returns the problem document.
func (p *Problem) Document() []byte {
	document, err := json.Marshal(p)
	if err != nil {
		// A struct of strings and numbers always has a JSON form.
		panic(err)
	}
	return document
}

// MarkExecutionUnknown returns the document of an answer by which a target passes a problem
// on from further down its chain, corrected: the target itself has run, so
// that whatever was told of the call below, this call was not left unexecuted.
// It returns false for a body that does not claim to be ours or needs no
// correction.
func MarkExecutionUnknown(body []byte) ([]byte, bool) {
	var p Problem
	if json.Unmarshal(body, &p) != nil || !strings.HasPrefix(p.Type, typePrefix) || p.Executed == ExecutedUnknown {
		return nil, false
	}
	p.Executed = ExecutedUnknown
	return p.Document(), true
}

// Parse reads a problem document, as a node writes it. Whatever else claims to
// be one is an error.
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
