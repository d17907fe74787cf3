package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/resource"
)

// maxDrainAttempts is the maximum number of attempts of a drain or join that
// fail with revision conflicts. Retrying is safe: the requested state doesn't
// depend on the previous one.
const maxDrainAttempts = 3

// handleDrain drains a target or a machine.
func (s *Server) handleDrain(prefix string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := s.readDrain(r, prefix)
		if problem != nil {
			s.writeProblem(w, problem)
			return
		}
		specification, problem := readReason(w, r)
		if problem != nil {
			s.writeProblem(w, problem)
			return
		}
		next := resource.Envelope{ID: request.id, Drain: specification}
		if faults := Check(next); len(faults) > 0 {
			problem = newProblem(kindInvalid, "the drain has faults")
			problem.Faults = faults
			s.writeProblem(w, problem)
			return
		}
		s.drain(w, r, next, request)
	}
}

func (s *Server) readDrain(r *http.Request, prefix string) (writeRequest, *Problem) {
	request := writeRequest{id: resource.ID{Kind: resource.KindDrain, Name: prefix + r.PathValue("name")}}
	if err := request.id.Validate(); err != nil {
		return request, newProblem(kindInvalid, "%v", err)
	}
	var problem *Problem
	request.change, problem = s.readChange(r)
	return request, problem
}

// readReason reads the optional body of a drain request.
func readReason(w http.ResponseWriter, r *http.Request) (*resource.Drain, *Problem) {
	body, problem := readBody(w, r)
	if problem != nil || len(body) == 0 {
		return &resource.Drain{}, problem
	}
	specification, err := decodeStrict[resource.Drain](body)
	if errors.Is(err, io.EOF) {
		return &resource.Drain{}, nil
	}
	if err != nil {
		return nil, newProblem(kindInvalid, "the body is not a drain in JSON: %v", err)
	}
	return specification, nil
}

// drain creates the drain. Only the store decides whether one exists already, as
// the replica may be stale.
func (s *Server) drain(w http.ResponseWriter, r *http.Request, next resource.Envelope, request writeRequest) {
	ctx, cancel := s.writeContext(r)
	defer cancel()
	warnings := s.objectWarnings(next)
	for attempt := 1; ; attempt++ {
		accepted, err := s.options.Writer.Write(ctx, next, 0, request.change)
		if err == nil {
			s.writeAccepted(w, r, request, accepted.Revision, warnings)
			return
		}
		var conflict *configuration.ConflictError
		isConflict := errors.As(err, &conflict)
		if isConflict && exists(conflict.Current) {
			s.writeUnchanged(w, request, conflict.Current, warnings)
			return
		}
		if isConflict && attempt < maxDrainAttempts {
			continue
		}
		s.handleFailedDrain(w, r, request, err, warnings)
		return
	}
}

func exists(version resource.Versioned) bool { return version.Revision != 0 && !version.Deleted }

func (s *Server) writeUnchanged(w http.ResponseWriter, request writeRequest, current resource.Versioned, warnings []string) {
	writeJSON(w, WriteResponse{
		Outcome:  OutcomeUnchanged,
		Kind:     request.id.Kind,
		Name:     request.id.Name,
		Revision: current.Revision,
		Warnings: warnings,
	})
}

// handleFailedDrain starts an emergency drain, which the nodes propagate, if the
// operator requested it and the store was unavailable or the outcome is unknown.
func (s *Server) handleFailedDrain(w http.ResponseWriter, r *http.Request, request writeRequest, err error, warnings []string) {
	problem := problemOfWrite(request, err)
	inconclusive := problem.Outcome == OutcomeUnknown || errors.Is(err, configuration.ErrUnavailable)
	if !inconclusive || r.URL.Query().Get(EmergencyParameter) != "true" {
		s.logWrite(r, request, problem.Outcome, 0, err)
		s.writeProblem(w, problem)
		return
	}
	if drainErr := s.options.Emergency.EmergencyDrain(request.id.Name); drainErr != nil {
		problem.Detail += fmt.Sprintf("; emergency drain: %v", drainErr)
		s.logWrite(r, request, problem.Outcome, 0, errors.Join(err, drainErr))
		s.writeProblem(w, problem)
		return
	}
	s.logWrite(r, request, OutcomeEmergency, 0, err)
	writeJSON(w, WriteResponse{
		Outcome:  OutcomeEmergency,
		Kind:     request.id.Kind,
		Name:     request.id.Name,
		ChangeID: request.change.ID,
		Warnings: append(warnings, "the store has not accepted the drain: it ends by itself unless it is drained again"),
	})
}

// handleJoin removes a drain.
func (s *Server) handleJoin(prefix string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := s.readDrain(r, prefix)
		if problem != nil {
			s.writeProblem(w, problem)
			return
		}
		s.join(w, r, request)
	}
}

// join deletes the drain. The first attempt expects the replica's revision, or
// an arbitrary one if the replica has none: a conflict returns the current one.
func (s *Server) join(w http.ResponseWriter, r *http.Request, request writeRequest) {
	ctx, cancel := s.writeContext(r)
	defer cancel()
	request.change.Deleted = true
	request.expected = 1
	if current, ok := s.options.Replica.Get(request.id); ok && exists(current) {
		request.expected = current.Revision
	}
	next := resource.Envelope{ID: request.id, Deleted: true}
	warnings := s.joinWarnings(request.id)
	for attempt := 1; ; attempt++ {
		request.change.Replaces = request.expected
		accepted, err := s.options.Writer.Write(ctx, next, request.expected, request.change)
		if err == nil {
			s.writeAccepted(w, r, request, accepted.Revision, warnings)
			return
		}
		var conflict *configuration.ConflictError
		isConflict := errors.As(err, &conflict)
		if isConflict && !exists(conflict.Current) {
			s.writeUnchanged(w, request, conflict.Current, warnings)
			return
		}
		if isConflict && attempt < maxDrainAttempts {
			request.expected = conflict.Current.Revision
			continue
		}
		problem := problemOfWrite(request, err)
		s.logWrite(r, request, problem.Outcome, 0, err)
		s.writeProblem(w, problem)
		return
	}
}

func (s *Server) joinWarnings(id resource.ID) []string {
	if !s.options.Emergency.EmergencyDrained(id.Name) {
		return nil
	}
	return []string{"an emergency drain holds as well: it can't be taken back and ends by itself"}
}
