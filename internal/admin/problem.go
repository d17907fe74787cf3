package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// typePrefix starts the type member of every problem document.
const typePrefix = "urn:lugspur:admin:"

// problemKind is the last part of a document's type, with its status.
type problemKind struct {
	name    string
	status  int
	outcome Outcome
}

var (
	kindInvalid      = problemKind{"invalid", http.StatusBadRequest, OutcomeRefused}
	kindUnauthorized = problemKind{"unauthorized", http.StatusUnauthorized, OutcomeRefused}
	kindForbidden    = problemKind{"forbidden", http.StatusForbidden, OutcomeRefused}
	kindNotFound     = problemKind{"not-found", http.StatusNotFound, ""}
	kindConflict     = problemKind{"conflict", http.StatusConflict, OutcomeRefused}
	kindTooLarge     = problemKind{"too-large", http.StatusRequestEntityTooLarge, OutcomeRefused}
	kindNoRevision   = problemKind{"revision-required", http.StatusPreconditionRequired, OutcomeRefused}
	kindBusy         = problemKind{"busy", http.StatusServiceUnavailable, OutcomeRefused}
	kindTooMany      = problemKind{"too-many-objects", http.StatusInsufficientStorage, OutcomeRefused}
	kindUnavailable  = problemKind{"store-unavailable", http.StatusServiceUnavailable, OutcomeRefused}
	kindInternal     = problemKind{"internal", http.StatusInternalServerError, ""}
	kindUnknown      = problemKind{"outcome-unknown", http.StatusGatewayTimeout, OutcomeUnknown}
)

func newProblem(kind problemKind, format string, arguments ...any) *Problem {
	return &Problem{
		Type:    typePrefix + kind.name,
		Title:   http.StatusText(kind.status),
		Status:  kind.status,
		Detail:  fmt.Sprintf(format, arguments...),
		Outcome: kind.outcome,
	}
}

func (p *Problem) retryLater() *Problem {
	p.RetryAfterSeconds = int(retryAfter.Seconds())
	return p
}

func (p *Problem) at(step string) *Problem {
	p.Step = step
	return p
}

func (s *Server) answerProblem(w http.ResponseWriter, problem *Problem) {
	problem.Peer = s.options.NodeName
	if problem.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(problem.RetryAfterSeconds))
	}
	if problem.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	answer(w, problem.Status, ProblemContentType, problem)
}

func answerJSON[T any](w http.ResponseWriter, document T) {
	answer(w, http.StatusOK, "application/json", document)
}

func answer[T any](w http.ResponseWriter, status int, contentType string, document T) {
	body, err := json.Marshal(document)
	if err != nil {
		http.Error(w, "encode answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// String returns the fault in one line.
func (f Fault) String() string {
	text := f.Message
	if f.Expression != "" {
		text = fmt.Sprintf("%s:%d:%d: %s", f.Expression, f.Line, f.Column, f.Message)
	}
	if len(f.Allowed) > 0 {
		text += "; allowed: " + strings.Join(f.Allowed, ", ")
	}
	return text
}
