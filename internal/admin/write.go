package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

func (s *Server) handlePut(kind resource.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := s.readWrite(r, kind)
		if problem != nil {
			s.writeProblem(w, problem)
			return
		}
		next, problem := readObject(w, r, request.id)
		if problem != nil {
			s.writeProblem(w, problem)
			return
		}
		s.write(w, r, next, request)
	}
}

// readObject reads and validates the object of a PUT, so that no invalid object
// is sent to the store.
func readObject(w http.ResponseWriter, r *http.Request, id resource.ID) (resource.Envelope, *Problem) {
	body, problem := readBody(w, r)
	if problem != nil {
		return resource.Envelope{}, problem
	}
	next, err := DecodeSpecification(id, body)
	if err != nil {
		return next, newProblem(kindInvalid, "the body is not a %s in JSON: %v", id.Kind, err)
	}
	if faults := Check(next); len(faults) > 0 {
		problem = newProblem(kindInvalid, "the %s has %d fault(s)", id.Kind, len(faults))
		problem.Faults = faults
		return next, problem
	}
	return next, nil
}

func (s *Server) handleDelete(kind resource.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := s.readWrite(r, kind)
		if problem == nil && request.expected == 0 {
			problem = newProblem(kindInvalid, "a deletion needs the revision that it deletes")
		}
		if problem != nil {
			s.writeProblem(w, problem)
			return
		}
		request.change.Deleted = true
		s.write(w, r, resource.Envelope{ID: request.id, Deleted: true}, request)
	}
}

// write sends a change to the store and responds with its outcome.
func (s *Server) write(w http.ResponseWriter, r *http.Request, next resource.Envelope, request writeRequest) {
	ctx, cancel := s.writeContext(r)
	defer cancel()
	request.change.Replaces = request.expected
	accepted, err := s.options.Writer.Write(ctx, next, request.expected, request.change)
	if err != nil {
		problem := problemOfWrite(request, err)
		s.logWrite(r, request, problem.Outcome, 0, err)
		s.writeProblem(w, problem)
		return
	}
	s.writeAccepted(w, r, request, accepted.Revision, s.objectWarnings(next))
}

func (s *Server) writeAccepted(w http.ResponseWriter, r *http.Request, request writeRequest, revision store.Revision, warnings []string) {
	s.logWrite(r, request, OutcomeAccepted, revision, nil)
	setRevisionHeaders(w, revision)
	writeJSON(w, WriteResponse{
		Outcome:  OutcomeAccepted,
		Kind:     request.id.Kind,
		Name:     request.id.Name,
		Revision: revision,
		ChangeID: request.change.ID,
		Warnings: warnings,
	})
}

func (s *Server) writeContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), s.options.WriteTimeout)
}

// problemOfWrite converts the error of a write to a problem. The outcome is
// unknown unless the error is defined as having no effect.
func problemOfWrite(request writeRequest, err error) *Problem {
	var conflict *configuration.ConflictError
	var invalid *configuration.InvalidError
	var problem *Problem
	switch {
	case errors.As(err, &conflict):
		problem = conflictProblem(request, conflict)
	case errors.As(err, &invalid):
		problem = newProblem(kindInvalid, "the %s has faults", request.id.Kind)
		problem.Faults = faultsOf(invalid.Cause)
	case errors.Is(err, configuration.ErrChangeIDReused):
		problem = newProblem(kindInvalid, "%s %s names another change", ChangeIDHeader, request.change.ID)
	case errors.Is(err, configuration.ErrTooManyObjects):
		problem = newProblem(kindTooManyObjects, "there are %d objects already", configuration.MaxObjects)
	case errors.Is(err, configuration.ErrUnavailable):
		problem = newProblem(kindStoreUnavailable, "%v", err).withRetryAfter()
	default:
		problem = unknownProblem(request, err)
	}
	problem.ChangeID = request.change.ID
	return problem.withStep("write " + request.id.String())
}

func conflictProblem(request writeRequest, conflict *configuration.ConflictError) *Problem {
	current := conflict.Current
	revision := current.Revision
	if current.Deleted {
		revision = 0
	}
	problem := newProblem(kindConflict, "%s is at revision %d, not at %d", request.id, revision, request.expected)
	problem.CurrentRevision = &revision
	if object, err := newObject(current); err == nil && current.Revision != 0 {
		problem.Current = &object
	}
	return problem
}

func unknownProblem(request writeRequest, err error) *Problem {
	expected := request.expected
	var unknown *configuration.UnknownError
	if errors.As(err, &unknown) {
		expected = unknown.Expected
	}
	problem := newProblem(kindOutcomeUnknown, "%v", err).withRetryAfter()
	problem.ResolveURL = ResolveURL(request.id, request.change.ID, expected)
	return problem
}

// ResolveURL returns the path and query that resolve the outcome of a change.
func ResolveURL(id resource.ID, changeID string, expected store.Revision) string {
	return fmt.Sprintf("/v1/changes/%s/%s/%s?%s=%d", id.Kind, url.PathEscape(id.Name), url.PathEscape(changeID), ExpectedRevisionParameter, expected)
}

// logWrite logs a write that was sent to the store.
func (s *Server) logWrite(r *http.Request, request writeRequest, outcome Outcome, revision store.Revision, err error) {
	entry := s.options.Log.WithFields(logrus.Fields{
		"object":   request.id.String(),
		"change":   request.change.ID,
		"author":   request.change.Author,
		"expected": request.expected,
		"outcome":  string(outcome),
		"revision": revision,
		"remote":   r.RemoteAddr,
	})
	if err != nil {
		entry.WithError(err).Warn("configuration change")
		return
	}
	entry.Info("configuration change")
}
