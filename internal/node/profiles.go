package node

import (
	"crypto/subtle"
	"net/http"
	"net/http/pprof"
)

// registerProfiles adds the runtime's profiles to the administration listener,
// for whoever shows the token of its writes. Without a token there are none.
func registerProfiles(mux *http.ServeMux, token string) {
	guarded := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			shown := r.Header.Get("Authorization")
			if token == "" || subtle.ConstantTimeCompare([]byte(shown), []byte("Bearer "+token)) != 1 {
				http.Error(w, "the administration token is required", http.StatusUnauthorized)
				return
			}
			serve(w, r)
		}
	}
	mux.HandleFunc("GET /debug/pprof/", guarded(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", guarded(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", guarded(pprof.Trace))
}
