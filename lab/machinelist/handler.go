package machinelist

import (
	"encoding/json"
	"net/http"
	"time"
)

// URL paths of the list and of the control handler.
const (
	PathMachines = "/machines"
	PathControl  = "/control"
)

// maxControlBytes is the maximum size of a control request's body.
const maxControlBytes = 1 << 20

// Response is the body of the response to GET /machines.
type Response struct {
	Machines []Machine `json:"machines"`
}

// ControlRequest sets the machines, the lag or the availability. Absent fields
// change nothing.
type ControlRequest struct {
	Machines    *[]Machine `json:"machines,omitempty"`
	LagMillis   *int64     `json:"lag_ms,omitempty"`
	Unavailable *bool      `json:"unavailable,omitempty"`
}

// Handler returns the handler that serves the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMachines, func(w http.ResponseWriter, _ *http.Request) {
		machines, available := l.View()
		if !available {
			http.Error(w, "machine list unavailable", http.StatusServiceUnavailable)
			return
		}
		if machines == nil {
			machines = []Machine{}
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected, so the error can't be
		// reported to it.
		_ = json.NewEncoder(w).Encode(Response{Machines: machines})
	})
	return mux
}

// ControlHandler returns the handler that accepts a ControlRequest by POST.
func (l *List) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		var request ControlRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := l.Control(request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Control applies a control request.
func (l *List) Control(request ControlRequest) error {
	if request.LagMillis != nil {
		l.SetLag(time.Duration(*request.LagMillis) * time.Millisecond)
	}
	if request.Unavailable != nil {
		l.SetUnavailable(*request.Unavailable)
	}
	if request.Machines != nil {
		return l.Set(*request.Machines)
	}
	return nil
}
