package node

import (
	"crypto/subtle"
	"net/http"
	"net/http/pprof"
)

// registerProfiling adds the pprof handlers to the administration listener. They
// require the token for write operations. If no token is configured, they refuse
// all requests.
func registerProfiling(mux *http.ServeMux, token string) {
	requireToken := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			authorization := r.Header.Get("Authorization")
			if token == "" || subtle.ConstantTimeCompare([]byte(authorization), []byte("Bearer "+token)) != 1 {
				http.Error(w, "the administration token is required", http.StatusUnauthorized)
				return
			}
			serve(w, r)
		}
	}
	mux.HandleFunc("GET /debug/pprof/", requireToken(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", requireToken(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", requireToken(pprof.Trace))
}
