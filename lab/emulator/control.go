package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
)

// controlRoutes returns the handler of the control listener.
func (e *Emulator) controlRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /records", e.serveRecords)
	mux.HandleFunc("POST /mesh-addresses", e.serveMeshAddresses)
	mux.HandleFunc("POST /targets/{name}/faults", e.serveFaults)
	mux.HandleFunc("POST /targets/{name}/drain", e.serveDrain)
	mux.HandleFunc("POST /targets/{name}/restart", e.serveRestart)
	return mux
}

func (e *Emulator) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// serveRecords writes the executions as a JSON array. The query parameters
// request_id, service and idempotency_key filter them.
func (e *Emulator) serveRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	matches := func(name, value string) bool {
		filter := query.Get(name)
		return filter == "" || filter == value
	}
	selected := []Record{}
	for _, record := range e.Records() {
		if matches("request_id", record.RequestID) && matches("service", record.Service) &&
			matches("idempotency_key", record.IdempotencyKey) {
			selected = append(selected, record)
		}
	}
	writeJSON(w, http.StatusOK, selected)
}

func (e *Emulator) serveMeshAddresses(w http.ResponseWriter, r *http.Request) {
	addresses, ok := decodeControl[map[string]string](w, r)
	if !ok {
		return
	}
	writeControlResult(w, e.SetMeshAddresses(addresses))
}

func (e *Emulator) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := decodeControl[Faults](w, r)
	if !ok {
		return
	}
	writeControlResult(w, e.SetFaults(r.PathValue("name"), faults))
}

// serveDrain starts a drain, or ends it if the query is "off=true".
func (e *Emulator) serveDrain(w http.ResponseWriter, r *http.Request) {
	draining := r.URL.Query().Get("off") != "true"
	writeControlResult(w, e.SetDraining(r.PathValue("name"), draining))
}

func (e *Emulator) serveRestart(w http.ResponseWriter, r *http.Request) {
	writeControlResult(w, e.Restart(r.PathValue("name")))
}

func decodeControl[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var decoded T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return decoded, false
	}
	return decoded, true
}

func writeControlResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrUnknownTarget):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
