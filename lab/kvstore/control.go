package kvstore

import (
	"encoding/json"
	"errors"
	"net/http"
)

// PathControl is the path of the control listener.
const PathControl = "/control"

var errInvalidControl = errors.New("invalid control request")

// ControlRequest changes the faults. Absent fields stay as they are.
type ControlRequest struct {
	// Clear ends all faults before the rest applies.
	Clear           bool     `json:"clear,omitempty"`
	Outage          *Outage  `json:"outage,omitempty"`
	LatencyMillis   *int64   `json:"latency_ms,omitempty"`
	DropAnswers     *int     `json:"drop_answers,omitempty"`
	DropProbability *float64 `json:"drop_probability,omitempty"`
	// CutWatches closes the connections of all open watches once.
	CutWatches bool `json:"cut_watches,omitempty"`
	// Compact forgets the history up to the newest revision.
	Compact bool `json:"compact,omitempty"`
}

// Status is the answer of the control listener.
type Status struct {
	Faults         Faults `json:"faults"`
	Revision       int64  `json:"revision"`
	Requests       int64  `json:"requests"`
	Writes         int64  `json:"writes"`
	RateLimited    int64  `json:"rate_limited"`
	AnswersDropped int64  `json:"answers_dropped"`
	OpenWatches    int64  `json:"open_watches"`
}

// Control applies a control request to the server.
func (s *Server) Control(request ControlRequest) error {
	faults, _ := s.faults.current()
	if request.Clear {
		faults = Faults{}
	}
	assign(&faults.Outage, request.Outage)
	assign(&faults.LatencyMillis, request.LatencyMillis)
	assign(&faults.DropAnswers, request.DropAnswers)
	assign(&faults.DropProbability, request.DropProbability)
	if !faults.Outage.valid() || faults.DropProbability < 0 || faults.DropProbability > 1 {
		return errInvalidControl
	}
	s.faults.set(faults)
	if request.CutWatches {
		s.faults.cutWatches()
	}
	if request.Compact {
		return s.Compact()
	}
	return nil
}

func assign[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// Status returns the faults in force and what was counted since the start.
func (s *Server) Status() Status {
	faults, _ := s.faults.current()
	return Status{
		Faults:         faults,
		Revision:       int64(s.versions.Revision()),
		Requests:       s.counters.requests.Load(),
		Writes:         s.counters.writes.Load(),
		RateLimited:    s.counters.rateLimited.Load(),
		AnswersDropped: s.counters.answersDropped.Load(),
		OpenWatches:    s.counters.watches.Load(),
	}
}

// ControlHandler returns the handler of the control listener: GET answers with
// Status, POST takes a ControlRequest and answers with Status.
func (s *Server) ControlHandler() http.Handler {
	return controlHandler(s, s.Control)
}

func controlHandler(s *Server, apply func(ControlRequest) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathControl, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Status())
	})
	mux.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		var request ControlRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, s.Status())
	})
	return mux
}
