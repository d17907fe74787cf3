package kvstore

import (
	"encoding/json"
	"errors"
	"net/http"
)

// PathControl is the path of the control listener.
const PathControl = "/control"

var errInvalidControl = errors.New("invalid control request")

// ControlRequest changes the faults. Absent fields leave the current values unchanged.
type ControlRequest struct {
	// Clear removes all faults before the other fields are applied.
	Clear           bool     `json:"clear,omitempty"`
	Outage          *Outage  `json:"outage,omitempty"`
	LatencyMillis   *int64   `json:"latency_ms,omitempty"`
	DropResponses   *int     `json:"drop_answers,omitempty"`
	DropProbability *float64 `json:"drop_probability,omitempty"`
	// CutWatches closes the connections of all open watches once.
	CutWatches bool `json:"cut_watches,omitempty"`
	// Compact compacts the history up to the newest revision.
	Compact bool `json:"compact,omitempty"`
}

// Status is the response of the control listener.
type Status struct {
	Faults           Faults `json:"faults"`
	Revision         int64  `json:"revision"`
	Requests         int64  `json:"requests"`
	Writes           int64  `json:"writes"`
	RateLimited      int64  `json:"rate_limited"`
	ResponsesDropped int64  `json:"answers_dropped"`
	OpenWatches      int64  `json:"open_watches"`
}

// Control applies a control request to the server.
func (s *Server) Control(request ControlRequest) error {
	faults, _ := s.faults.currentFaults()
	if request.Clear {
		faults = Faults{}
	}
	setIfPresent(&faults.Outage, request.Outage)
	setIfPresent(&faults.LatencyMillis, request.LatencyMillis)
	setIfPresent(&faults.DropResponses, request.DropResponses)
	setIfPresent(&faults.DropProbability, request.DropProbability)
	if !faults.Outage.valid() || faults.DropProbability < 0 || faults.DropProbability > 1 {
		return errInvalidControl
	}
	s.faults.setFaults(faults)
	if request.CutWatches {
		s.faults.cutWatches()
	}
	if request.Compact {
		return s.Compact()
	}
	return nil
}

func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// Status returns the current faults and the counters since the start.
func (s *Server) Status() Status {
	faults, _ := s.faults.currentFaults()
	return Status{
		Faults:           faults,
		Revision:         int64(s.store.Revision()),
		Requests:         s.counters.requests.Load(),
		Writes:           s.counters.writes.Load(),
		RateLimited:      s.counters.rateLimited.Load(),
		ResponsesDropped: s.counters.responsesDropped.Load(),
		OpenWatches:      s.counters.watches.Load(),
	}
}

// ControlHandler returns the handler of the control listener: GET returns Status,
// POST applies a ControlRequest and returns Status.
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
