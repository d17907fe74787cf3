// Package platformstub provides test stubs of the platform: its metadata store
// with faults, and a target that sends heartbeats, drains and deregisters. It
// implements the platform's protocol independently of the adapter, so that tests
// detect mistakes in the adapter.
package platformstub

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Faults are the faults of the store.
type Faults struct {
	// Down rejects every call with 503.
	Down bool
	// Throttled rejects every call with 429.
	Throttled bool
	// DropWriteResponses applies writes and closes the connection without a response.
	DropWriteResponses bool
	// WriteDelay closes the connection immediately and applies writes after this
	// delay; zero applies them normally.
	WriteDelay time.Duration
	// WatchesExpired rejects every watch with 410.
	WatchesExpired bool
	// OddItems are added, as they are, to the items of lists and to the events of watches.
	OddItems []json.RawMessage
}

// Backend is the store that a stub serves.
type Backend interface {
	store.Store
	// Epoch returns how often the store was restored from a backup, and Newest the
	// newest revision.
	Epoch() store.Epoch
	NewestRevision() store.Revision
}

// epochHeader is the response header with the store's epoch.
const epochHeader = "Store-Era"

// Store is the stub of the metadata store. It serves a backend store with the
// platform's protocol.
type Store struct {
	backend Backend

	// backendMutex is read-locked during all calls except watches, and locked while the
	// backend is replaced, so that each response has the epoch of its content.
	backendMutex sync.RWMutex

	mutex  sync.Mutex
	faults Faults
	calls  map[string]int
}

// NewStore returns a stub that serves the backend.
func NewStore(backend Backend) *Store { return &Store{backend: backend, calls: make(map[string]int)} }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[path]
}

// UpdateBackend changes the backend while no call is served, except for watches.
func (s *Store) UpdateBackend(change func()) {
	s.backendMutex.Lock()
	defer s.backendMutex.Unlock()
	change()
}

func (s *Store) countCall(path string) Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[path]++
	return s.faults
}

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	LeaseID  int64  `json:"lease-id"`
	Deleted  bool   `json:"compacted,omitempty"`
}

func wireItemOf(entry store.Entry) wireItem {
	return wireItem{Key: entry.Key, Value: entry.Value, Revision: entry.Revision.Number(), LeaseID: entry.Lease.Number, Deleted: entry.Deleted}
}

type rangeResponse struct {
	Items []any `json:"items"`
	More  bool  `json:"more"`
	At    int64 `json:"at-rev"`
}

type watchResponse struct {
	Events []any `json:"events"`
	At     int64 `json:"at-rev"`
}

// oddItems returns the odd items to add to a response.
func (s *Store) oddItems() []any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []any{}
	for _, item := range s.faults.OddItems {
		items = append(items, item)
	}
	return items
}

type transactionRequest struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected-rev"`
	Put []struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		LeaseID int64  `json:"lease-id"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

type leaseBody struct {
	LeaseID    int64   `json:"lease-id,omitempty"`
	TTLSeconds float64 `json:"ttl-s"`
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.withFaults(s.get))
	mux.HandleFunc("GET /kv-range", s.withFaults(s.list))
	mux.HandleFunc("GET /kv-watch", s.withFaults(s.watch))
	mux.HandleFunc("POST /kv-txn", s.withFaults(s.withWriteFaults(s.transact)))
	mux.HandleFunc("POST /kv-lease", s.withFaults(s.withWriteFaults(s.grantLease)))
	mux.HandleFunc("POST /kv-keep/{id}", s.withFaults(s.renewLease))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.withFaults(s.revokeLease))
	return mux
}

func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		path := "/" + strings.SplitN(r.URL.Path, "/", 3)[1]
		faults := s.countCall(path)
		if path != "/kv-watch" {
			s.backendMutex.RLock()
			defer s.backendMutex.RUnlock()
		}
		w.Header().Set(epochHeader, strconv.FormatUint(uint64(s.backend.Epoch()), 10))
		switch {
		case faults.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case faults.Throttled:
			w.WriteHeader(http.StatusTooManyRequests)
		case faults.WatchesExpired && path == "/kv-watch":
			w.WriteHeader(http.StatusGone)
		default:
			next(w, r)
		}
	}
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

// Header returns the discarded header.
func (d discardResponse) Header() http.Header { return d.header }

// Write discards the body.
func (d discardResponse) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader discards the status.
func (d discardResponse) WriteHeader(int) {}

func (s *Store) withWriteFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		faults := s.faults
		s.mutex.Unlock()
		switch {
		case faults.WriteDelay > 0:
			delayWrite(next, r, faults.WriteDelay)
			panic(http.ErrAbortHandler)
		case faults.DropWriteResponses:
			next(discardResponse{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// delayWrite applies a write after a delay and discards its response.
func delayWrite(next http.HandlerFunc, r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { next(discardResponse{header: make(http.Header)}, delayed) })
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrLeaseLost):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.backend.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, wireItemOf(entry))
}

// pageItems is the maximum number of items of one response.
const pageItems = 100

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.backend.List(r.Context(), r.URL.Query().Get("path-prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	response := rangeResponse{Items: s.oddItems(), At: snapshot.Revision.Number()}
	after := r.URL.Query().Get("after")
	for _, entry := range snapshot.Entries {
		if entry.Key <= after && after != "" {
			continue
		}
		if len(response.Items) >= pageItems {
			response.More = true
			break
		}
		response.Items = append(response.Items, wireItemOf(entry))
	}
	writeJSON(w, response)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	startEpoch := w.Header().Get(epochHeader)
	position := store.NewRevision(s.backend.Epoch(), after)
	if position > s.backend.NewestRevision() {
		writeError(w, store.ErrCompacted)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer cancel()
	response, err := s.firstBatch(ctx, cancel, query.Get("path-prefix"), position)
	if errors.Is(err, store.ErrCompacted) {
		writeError(w, err)
		return
	}
	if strconv.FormatUint(uint64(s.backend.Epoch()), 10) != startEpoch {
		// The store was restored during the watch, which closes its connections.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, response)
}

// maxWatchWait limits how long a watch waits for events.
const maxWatchWait = 30 * time.Second

// firstBatch returns the first events under the prefix, or none when the context
// ends: as in the platform's store, changes outside the prefix don't end a watch.
// It cancels the context once it has events.
func (s *Store) firstBatch(ctx context.Context, cancel context.CancelFunc, prefix string, after store.Revision) (watchResponse, error) {
	response := watchResponse{Events: []any{}, At: after.Number()}
	err := s.backend.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
		for _, entry := range batch {
			response.Events = append(response.Events, wireItemOf(entry))
		}
		response.At = max(response.At, progress.Number())
		if len(batch) > 0 {
			response.Events = append(response.Events, s.oddItems()...)
			cancel()
		}
	})
	return response, err
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var request transactionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Expected) != 1 || len(request.Put)+len(request.Remove) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var revision store.Revision
	var err error
	expected := store.NewRevision(s.backend.Epoch(), request.Expected[0].Revision)
	if len(request.Put) == 1 {
		put := request.Put[0]
		revision, err = s.backend.CompareAndSwap(r.Context(), put.Key, expected, put.Value, s.lease(put.LeaseID))
	} else {
		revision, err = s.backend.CompareAndDelete(r.Context(), request.Remove[0], expected)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct {
		Revision int64 `json:"revision"`
	}{revision.Number()})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var request leaseBody
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.backend.GrantLease(r.Context(), time.Duration(request.TTLSeconds*float64(time.Second)))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, leaseBody{LeaseID: id.Number, TTLSeconds: request.TTLSeconds})
}

// lease returns the ID of a lease of the current epoch: requests don't include an epoch.
func (s *Store) lease(number int64) store.LeaseID {
	if number == 0 {
		return store.NoLease
	}
	return store.LeaseID{Epoch: s.backend.Epoch(), Number: number}
}

func (s *Store) leaseOf(r *http.Request) store.LeaseID {
	number, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return s.lease(number)
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	remaining, err := s.backend.RenewLease(r.Context(), s.leaseOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, leaseBody{TTLSeconds: remaining.Seconds()})
}

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.RevokeLease(r.Context(), s.leaseOf(r)); err != nil {
		writeError(w, err)
	}
}
