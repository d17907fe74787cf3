package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// typePrefix is the prefix of the type member of all problem documents.
const typePrefix = "urn:lugspur:admin:"

// problemKind is the last part of a problem type with its HTTP status and the
// outcome that it implies.
type problemKind struct {
	name    string
	status  int
	outcome Outcome
}

var (
	kindInvalid          = problemKind{"invalid", http.StatusBadRequest, OutcomeRefused}
	kindUnauthorized     = problemKind{"unauthorized", http.StatusUnauthorized, OutcomeRefused}
	kindForbidden        = problemKind{"forbidden", http.StatusForbidden, OutcomeRefused}
	kindNotFound         = problemKind{"not-found", http.StatusNotFound, ""}
	kindConflict         = problemKind{"conflict", http.StatusConflict, OutcomeRefused}
	kindTooLarge         = problemKind{"too-large", http.StatusRequestEntityTooLarge, OutcomeRefused}
	kindRevisionRequired = problemKind{"revision-required", http.StatusPreconditionRequired, OutcomeRefused}
	kindBusy             = problemKind{"busy", http.StatusServiceUnavailable, OutcomeRefused}
	kindTooManyObjects   = problemKind{"too-many-objects", http.StatusInsufficientStorage, OutcomeRefused}
	kindStoreUnavailable = problemKind{"store-unavailable", http.StatusServiceUnavailable, OutcomeRefused}
	kindInternal         = problemKind{"internal", http.StatusInternalServerError, ""}
	kindOutcomeUnknown   = problemKind{"outcome-unknown", http.StatusGatewayTimeout, OutcomeUnknown}
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

func (p *Problem) withRetryAfter() *Problem {
	p.RetryAfterSeconds = int(retryAfter.Seconds())
	return p
}

func (p *Problem) withStep(step string) *Problem {
	p.Step = step
	return p
}

func (s *Server) writeProblem(w http.ResponseWriter, problem *Problem) {
	problem.Peer = s.options.NodeName
	if problem.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(problem.RetryAfterSeconds))
	}
	if problem.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeDocument(w, problem.Status, ProblemContentType, problem)
}

func writeJSON[T any](w http.ResponseWriter, document T) {
	writeDocument(w, http.StatusOK, "application/json", document)
}

func writeDocument[T any](w http.ResponseWriter, status int, contentType string, document T) {
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

// String formats the fault on one line.
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
