package admin

import "net/http"

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	status := s.options.Status.Status()
	status.Warnings = append(status.Warnings, s.allWarnings()...)
	answerJSON(w, withoutNulls(status))
}

// withoutNulls lets empty lists be encoded as lists.
func withoutNulls(status Status) Status {
	status.Members = append([]MemberStatus{}, status.Members...)
	status.Homes = append([]HomeStatus{}, status.Homes...)
	status.Targets = append([]TargetStatus{}, status.Targets...)
	status.Services = append([]ServiceStatus{}, status.Services...)
	return status
}

// handleLive answers as long as the process answers anything.
func handleLive(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, liveness{Live: true})
}

// liveness answers /livez.
type liveness struct {
	Live bool `json:"live"`
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	readiness := s.options.Status.Readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	answer(w, status, "application/json", readiness)
}
