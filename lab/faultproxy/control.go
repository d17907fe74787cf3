package faultproxy

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// maxControlBytes limits the size of a control request's body, in bytes.
const maxControlBytes = 64 << 10

// Route is the state of one proxy in responses of the control listener.
type Route struct {
	Index       int         `json:"index"`
	Listen      string      `json:"listen"`
	Upstream    string      `json:"upstream"`
	Connections int         `json:"connections"`
	Faults      RouteFaults `json:"faults"`
}

// Control returns the control API of the proxies: GET /routes, POST
// /routes/{index}/faults with both directions' faults, and POST /clear.
func Control(proxies []*Proxy) http.Handler {
	control := controlServer{proxies: proxies}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /routes", control.serveRoutes)
	mux.HandleFunc("POST /routes/{index}/faults", control.serveFaults)
	mux.HandleFunc("POST /clear", control.serveClear)
	return mux
}

type controlServer struct{ proxies []*Proxy }

func (c controlServer) listRoutes() []Route {
	routes := make([]Route, 0, len(c.proxies))
	for i, proxy := range c.proxies {
		routes = append(routes, Route{
			Index:       i,
			Listen:      proxy.Address(),
			Upstream:    proxy.Upstream(),
			Connections: proxy.Connections(),
			Faults:      proxy.Faults(),
		})
	}
	return routes
}

func (c controlServer) serveRoutes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.listRoutes())
}

func (c controlServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil || index < 0 || index >= len(c.proxies) {
		http.Error(w, "unknown route", http.StatusNotFound)
		return
	}
	var faults RouteFaults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.proxies[index].SetFaults(faults.ToUpstream, faults.ToClient); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c controlServer) serveClear(w http.ResponseWriter, _ *http.Request) {
	for _, proxy := range c.proxies {
		proxy.Clear()
	}
	w.WriteHeader(http.StatusNoContent)
}
