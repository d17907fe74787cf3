package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/resource"
)

// maxDrainAttempts bounds how often a drain or join is tried against the
// revision that a conflict names. Trying again is right: both say how things
// shall be, whatever they were.
const maxDrainAttempts = 3

// handleDrain marks a target or a machine as leaving.
func (s *Server) handleDrain(prefix string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := s.readDrain(r, prefix)
		if problem != nil {
			s.answerProblem(w, problem)
			return
		}
		specification, problem := readReason(w, r)
		if problem != nil {
			s.answerProblem(w, problem)
			return
		}
		next := resource.Envelope{ID: request.id, Drain: specification}
		if faults := Check(next); len(faults) > 0 {
			problem = newProblem(kindInvalid, "the drain has faults")
			problem.Faults = faults
			s.answerProblem(w, problem)
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

// readReason reads the optional body of a drain.
func readReason(w http.ResponseWriter, r *http.Request) (*resource.Drain, *Problem) {
	body, problem := readBody(w, r)
	if problem != nil || len(body) == 0 {
		return &resource.Drain{}, problem
	}
	specification, err := decodeStrictly[resource.Drain](body)
	if errors.Is(err, io.EOF) {
		return &resource.Drain{}, nil
	}
	if err != nil {
		return nil, newProblem(kindInvalid, "the body is not a drain in JSON: %v", err)
	}
	return specification, nil
}

// drain creates the drain. Only the store tells that there is one already: the
// replica may be behind.
func (s *Server) drain(w http.ResponseWriter, r *http.Request, next resource.Envelope, request writeRequest) {
	ctx, cancel := s.writeContext(r)
	defer cancel()
	warnings := s.warningsFor(next)
	for attempt := 1; ; attempt++ {
		accepted, err := s.options.Writer.Write(ctx, next, 0, request.change)
		if err == nil {
			s.answerAccepted(w, r, request, accepted.Revision, warnings)
			return
		}
		var conflict *configuration.ConflictError
		isConflict := errors.As(err, &conflict)
		if isConflict && exists(conflict.Current) {
			s.answerUnchanged(w, request, conflict.Current, warnings)
			return
		}
		if isConflict && attempt < maxDrainAttempts {
			continue
		}
		s.answerFailedDrain(w, r, request, err, warnings)
		return
	}
}

func exists(version resource.Versioned) bool { return version.Revision != 0 && !version.Deleted }

func (s *Server) answerUnchanged(w http.ResponseWriter, request writeRequest, current resource.Versioned, warnings []string) {
	answerJSON(w, WriteResponse{
		Outcome:  OutcomeUnchanged,
		Kind:     request.id.Kind,
		Name:     request.id.Name,
		Revision: current.Revision,
		Warnings: warnings,
	})
}

// answerFailedDrain spreads the drain from node to node if the operator asked
// for it and the store has not decided.
func (s *Server) answerFailedDrain(w http.ResponseWriter, r *http.Request, request writeRequest, err error, warnings []string) {
	problem := writeProblem(request, err)
	undecided := problem.Outcome == OutcomeUnknown || errors.Is(err, configuration.ErrUnavailable)
	if !undecided || r.URL.Query().Get(EmergencyParameter) != "true" {
		s.logWrite(r, request, problem.Outcome, 0, err)
		s.answerProblem(w, problem)
		return
	}
	if failed := s.options.Emergency.EmergencyDrain(request.id.Name); failed != nil {
		problem.Detail += fmt.Sprintf("; emergency drain: %v", failed)
		s.logWrite(r, request, problem.Outcome, 0, errors.Join(err, failed))
		s.answerProblem(w, problem)
		return
	}
	s.logWrite(r, request, OutcomeEmergency, 0, err)
	answerJSON(w, WriteResponse{
		Outcome:  OutcomeEmergency,
		Kind:     request.id.Kind,
		Name:     request.id.Name,
		ChangeID: request.change.ID,
		Warnings: append(warnings, "the store has not accepted the drain: it ends by itself unless it is drained again"),
	})
}

// handleJoin takes a drain back.
func (s *Server) handleJoin(prefix string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := s.readDrain(r, prefix)
		if problem != nil {
			s.answerProblem(w, problem)
			return
		}
		s.join(w, r, request)
	}
}

// join deletes the drain. It starts from the revision that the replica holds,
// or from any other if it holds none: a conflict names the right one.
func (s *Server) join(w http.ResponseWriter, r *http.Request, request writeRequest) {
	ctx, cancel := s.writeContext(r)
	defer cancel()
	request.change.Deleted = true
	request.expected = 1
	if known, ok := s.options.Replica.Get(request.id); ok && exists(known) {
		request.expected = known.Revision
	}
	next := resource.Envelope{ID: request.id, Deleted: true}
	warnings := s.joinWarnings(request.id)
	for attempt := 1; ; attempt++ {
		request.change.Replaces = request.expected
		accepted, err := s.options.Writer.Write(ctx, next, request.expected, request.change)
		if err == nil {
			s.answerAccepted(w, r, request, accepted.Revision, warnings)
			return
		}
		var conflict *configuration.ConflictError
		isConflict := errors.As(err, &conflict)
		if isConflict && !exists(conflict.Current) {
			s.answerUnchanged(w, request, conflict.Current, warnings)
			return
		}
		if isConflict && attempt < maxDrainAttempts {
			request.expected = conflict.Current.Revision
			continue
		}
		problem := writeProblem(request, err)
		s.logWrite(r, request, problem.Outcome, 0, err)
		s.answerProblem(w, problem)
		return
	}
}

func (s *Server) joinWarnings(id resource.ID) []string {
	if !s.options.Emergency.EmergencyDrained(id.Name) {
		return nil
	}
	return []string{"an emergency drain holds as well: it can't be taken back and ends by itself"}
}
