package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// requireToken rejects requests without the token and limits the rest as
// limitStoreRequests does.
func (s *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	limited := s.limitStoreRequests(next)
	return func(w http.ResponseWriter, r *http.Request) {
		if problem := s.authorize(r); problem != nil {
			s.writeProblem(w, problem)
			return
		}
		limited(w, r)
	}
}

// limitStoreRequests limits the number of concurrent requests to the store.
func (s *Server) limitStoreRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.storeSlots <- struct{}{}:
			defer func() { <-s.storeSlots }()
			next(w, r)
		default:
			s.writeProblem(w, newProblem(kindBusy, "too many requests to the store at once").withRetryAfter())
		}
	}
}

// authorize compares digests in constant time, so that response times reveal
// neither the token nor its length.
func (s *Server) authorize(r *http.Request) *Problem {
	if s.options.Token == "" {
		return newProblem(kindForbidden, "this node takes no writes: its setting admin.token is empty")
	}
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(presented))
	if !ok || subtle.ConstantTimeCompare(digest[:], s.tokenDigest[:]) != 1 {
		return newProblem(kindUnauthorized, "a write needs the header Authorization: Bearer TOKEN with the node's token")
	}
	return nil
}
