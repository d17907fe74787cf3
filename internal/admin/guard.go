package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// guarded lets only writers with the token through, and only so many at once.
func (s *Server) guarded(next http.HandlerFunc) http.HandlerFunc {
	bounded := s.bounded(next)
	return func(w http.ResponseWriter, r *http.Request) {
		if problem := s.authorize(r); problem != nil {
			s.answerProblem(w, problem)
			return
		}
		bounded(w, r)
	}
}

// bounded lets only so many requests that use the store through at once.
func (s *Server) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.writes <- struct{}{}:
			defer func() { <-s.writes }()
			next(w, r)
		default:
			s.answerProblem(w, newProblem(kindBusy, "too many requests to the store at once").retryLater())
		}
	}
}

// authorize compares digests, so that neither the time nor the length tells
// anything of the token.
func (s *Server) authorize(r *http.Request) *Problem {
	if s.options.Token == "" {
		return newProblem(kindForbidden, "this node takes no writes: its setting admin.token is empty")
	}
	shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(shown))
	if !ok || subtle.ConstantTimeCompare(digest[:], s.token[:]) != 1 {
		return newProblem(kindUnauthorized, "a write needs the header Authorization: Bearer TOKEN with the node's token")
	}
	return nil
}
