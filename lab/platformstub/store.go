// Package platformstub stands in for the platform in tests: its metadata store
// with faults, and a target that sends heartbeats, drains and leaves. It speaks
// the platform's manner by itself, so that a mistake in the adapter shows.
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

// Faults are what goes wrong at the store.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Throttled answers every call with 429.
	Throttled bool
	// LoseWriteAnswers carries writes out and closes the connection.
	LoseWriteAnswers bool
	// LateWrites closes the connection at once and carries writes out so much
	// later; zero carries them out in time.
	LateWrites time.Duration
	// Forgotten answers every watch with 410.
	Forgotten bool
}

// Held is what a stand-in serves.
type Held interface {
	store.Store
	// Epoch returns how often what is held came back from a copy, and Newest the newest
	// revision.
	Epoch() store.Epoch
	NewestRevision() store.Revision
}

// epochHeader names the store's epoch in each answer.
const epochHeader = "Store-Era"

// Store is the stand-in of the metadata store. It serves what lies in another
// store in the platform's manner.
type Store struct {
	held Held

	// serving is held by calls that are carried out, but for watches, and by a change of
	// what is held, so that each answer names the epoch of what it tells.
	serving sync.RWMutex

	mutex  sync.Mutex
	faults Faults
	calls  map[string]int
}

// NewStore returns a stand-in that serves the store.
func NewStore(held Held) *Store { return &Store{held: held, calls: make(map[string]int)} }

// SetFaults puts faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Calls returns the number of calls of a path so far.
func (s *Store) Calls(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[path]
}

// Between changes what is held between two calls.
func (s *Store) Between(change func()) {
	s.serving.Lock()
	defer s.serving.Unlock()
	change()
}

func (s *Store) count(path string) Faults {
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
	Removed  bool   `json:"compacted,omitempty"`
}

func wireOf(entry store.Entry) wireItem {
	return wireItem{Key: entry.Key, Value: entry.Value, Revision: entry.Revision.Number(), LeaseID: entry.Lease.Number, Removed: entry.Deleted}
}

type rangeAnswer struct {
	Items []wireItem `json:"items"`
	More  bool       `json:"more"`
	At    int64      `json:"at-rev"`
}

type watchAnswer struct {
	Events []wireItem `json:"events"`
	At     int64      `json:"at-rev"`
}

type transactionCall struct {
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

type leaseAnswer struct {
	LeaseID    int64   `json:"lease-id,omitempty"`
	TTLSeconds float64 `json:"ttl-s"`
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.guarded(s.key))
	mux.HandleFunc("GET /kv-range", s.guarded(s.list))
	mux.HandleFunc("GET /kv-watch", s.guarded(s.watch))
	mux.HandleFunc("POST /kv-txn", s.guarded(s.losing(s.transact)))
	mux.HandleFunc("POST /kv-lease", s.guarded(s.losing(s.grant)))
	mux.HandleFunc("POST /kv-keep/{id}", s.guarded(s.keep))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.guarded(s.end))
	return mux
}

func (s *Store) guarded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		path := "/" + strings.SplitN(r.URL.Path, "/", 3)[1]
		faults := s.count(path)
		if path != "/kv-watch" {
			s.serving.RLock()
			defer s.serving.RUnlock()
		}
		w.Header().Set(epochHeader, strconv.FormatUint(uint64(s.held.Epoch()), 10))
		switch {
		case faults.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case faults.Throttled:
			w.WriteHeader(http.StatusTooManyRequests)
		case faults.Forgotten && path == "/kv-watch":
			w.WriteHeader(http.StatusGone)
		default:
			next(w, r)
		}
	}
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

// Header returns the header that nobody gets.
func (d discard) Header() http.Header { return d.header }

// Write drops the body.
func (d discard) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}

func (s *Store) losing(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		faults := s.faults
		s.mutex.Unlock()
		switch {
		case faults.LateWrites > 0:
			writeLater(next, r, faults.LateWrites)
			panic(http.ErrAbortHandler)
		case faults.LoseWriteAnswers:
			next(discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// writeLater carries a write out after a delay. Nobody hears of it.
func writeLater(next http.HandlerFunc, r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { next(discard{header: make(http.Header)}, late) })
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, err error) {
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

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	entry, err := s.held.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		fail(w, err)
		return
	}
	write(w, wireOf(entry))
}

// pageItems is how many items one answer holds at most.
const pageItems = 100

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.held.List(r.Context(), r.URL.Query().Get("path-prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	answer := rangeAnswer{Items: []wireItem{}, At: snapshot.Revision.Number()}
	after := r.URL.Query().Get("after")
	for _, entry := range snapshot.Entries {
		if entry.Key <= after && after != "" {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, wireOf(entry))
	}
	write(w, answer)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	begun := w.Header().Get(epochHeader)
	place := store.NewRevision(s.held.Epoch(), after)
	if place > s.held.NewestRevision() {
		fail(w, store.ErrCompacted)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer cancel()
	answer, err := s.firstBatch(ctx, cancel, query.Get("path-prefix"), place)
	if errors.Is(err, store.ErrCompacted) {
		fail(w, err)
		return
	}
	if strconv.FormatUint(uint64(s.held.Epoch()), 10) != begun {
		// The store was away meanwhile, and its connections with it.
		panic(http.ErrAbortHandler)
	}
	write(w, answer)
}

// maxWatchWait is the longest that a watch may wait for events.
const maxWatchWait = 30 * time.Second

// firstBatch returns the first events under the prefix, or none when the context
// ends: changes elsewhere in the store answer no watch, as at the platform's store. It ends the context itself once it has what it returns.
func (s *Store) firstBatch(ctx context.Context, cancel context.CancelFunc, prefix string, after store.Revision) (watchAnswer, error) {
	answer := watchAnswer{Events: []wireItem{}, At: after.Number()}
	err := s.held.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
		for _, entry := range batch {
			answer.Events = append(answer.Events, wireOf(entry))
		}
		answer.At = max(answer.At, progress.Number())
		if len(batch) > 0 {
			cancel()
		}
	})
	return answer, err
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call transactionCall
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Expected) != 1 || len(call.Put)+len(call.Remove) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var revision store.Revision
	var err error
	expected := store.NewRevision(s.held.Epoch(), call.Expected[0].Revision)
	if len(call.Put) == 1 {
		put := call.Put[0]
		revision, err = s.held.CompareAndSwap(r.Context(), put.Key, expected, put.Value, s.lease(put.LeaseID))
	} else {
		revision, err = s.held.CompareAndDelete(r.Context(), call.Remove[0], expected)
	}
	if err != nil {
		fail(w, err)
		return
	}
	write(w, struct {
		Revision int64 `json:"revision"`
	}{revision.Number()})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var call leaseAnswer
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.held.GrantLease(r.Context(), time.Duration(call.TTLSeconds*float64(time.Second)))
	if err != nil {
		fail(w, err)
		return
	}
	write(w, leaseAnswer{LeaseID: id.Number, TTLSeconds: call.TTLSeconds})
}

// lease returns the lease that has the number in the present epoch: callers name no epoch.
func (s *Store) lease(number int64) store.LeaseID {
	if number == 0 {
		return store.NoLease
	}
	return store.LeaseID{Epoch: s.held.Epoch(), Number: number}
}

func (s *Store) leaseOf(r *http.Request) store.LeaseID {
	number, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return s.lease(number)
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	left, err := s.held.RenewLease(r.Context(), s.leaseOf(r))
	if err != nil {
		fail(w, err)
		return
	}
	write(w, leaseAnswer{TTLSeconds: left.Seconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	if err := s.held.RevokeLease(r.Context(), s.leaseOf(r)); err != nil {
		fail(w, err)
	}
}
