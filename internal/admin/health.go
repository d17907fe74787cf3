package admin

import "net/http"

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	status := s.options.Status.Status()
	status.Warnings = append(status.Warnings, s.allWarnings()...)
	writeJSON(w, withEmptyLists(status))
}

// withEmptyLists replaces nil slices, which JSON encodes as null, by empty ones.
func withEmptyLists(status Status) Status {
	status.Members = append([]MemberStatus{}, status.Members...)
	status.Homes = append([]HomeStatus{}, status.Homes...)
	status.Targets = append([]TargetStatus{}, status.Targets...)
	status.Services = append([]ServiceStatus{}, status.Services...)
	return status
}

// handleLive always succeeds: a response proves that the process is alive.
func handleLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, liveness{Live: true})
}

// liveness is the response of /livez.
type liveness struct {
	Live bool `json:"live"`
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	readiness := s.options.Status.Readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	writeDocument(w, status, "application/json", readiness)
}
