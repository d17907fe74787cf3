package kvstore

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/pace"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

const (
	// maxRequestBytes bounds the body of a request, in bytes.
	maxRequestBytes = 4 << 20
	// defaultProgressInterval is the time between progress notifications.
	defaultProgressInterval = time.Second
)

// Config holds the settings of a stand-in. The zero value does not limit the
// rate and keeps the default history.
type Config struct {
	// Now is the clock of leases and of the rate limit; nil is time.Now.
	Now func() time.Time
	// RequestsPerSecond limits the rate of all requests together, and Burst
	// what may come at once. A rate of zero does not limit.
	RequestsPerSecond float64
	Burst             int
	// ProgressInterval is the time between progress notifications of a watch
	// that has nothing else to send; zero is one second.
	ProgressInterval time.Duration
	// HistoryEvents is the number of changes kept for watches; zero is the
	// engine's default.
	HistoryEvents int
	// Seed makes the random choice of dropped answers repeatable.
	Seed uint64
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	config   Config
	versions *mvcc.Store
	bucket   *pace.Bucket
	faults   *faultState
	counters counters
	closing  chan struct{}
	close    sync.Once
}

// New returns a stand-in with an empty store.
func New(config Config) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.ProgressInterval <= 0 {
		config.ProgressInterval = defaultProgressInterval
	}
	return &Server{
		config:   config,
		versions: mvcc.New(mvcc.Config{Now: config.Now, HistoryEvents: config.HistoryEvents}),
		bucket:   pace.NewBucket(config.RequestsPerSecond, config.Burst),
		faults:   newFaultState(config.Seed),
		closing:  make(chan struct{}),
	}
}

// Close ends hanging requests and watches. The store's content stays.
func (s *Server) Close() {
	s.close.Do(func() { close(s.closing) })
}

// Compact forgets the history up to the newest revision.
func (s *Server) Compact() error {
	return s.versions.Compact(s.versions.Revision())
}

// Handler returns the handler of the store's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+wire.PathRange, unary(s, s.rangeKeys))
	mux.Handle("POST "+wire.PathPut, unary(s, s.put))
	mux.Handle("POST "+wire.PathDeleteRange, unary(s, s.deleteRange))
	mux.Handle("POST "+wire.PathTxn, unary(s, s.transact))
	mux.Handle("POST "+wire.PathCompact, unary(s, s.compact))
	mux.Handle("POST "+wire.PathLeaseGrant, unary(s, s.grantLease))
	mux.Handle("POST "+wire.PathLeaseRenew, unary(s, s.renewLease))
	mux.Handle("POST "+wire.PathLeaseRevoke, unary(s, s.revokeLease))
	mux.HandleFunc("POST "+wire.PathWatch, s.watch)
	return mux
}

// answer is what an operation returns: the response's body and whether a
// write took effect, so that a fault may drop the answer.
type answer[R any] struct {
	body    R
	changed bool
}

// unary makes a handler from an operation that has one request and one answer.
func unary[Q, R any](s *Server, apply func(Q) (answer[R], error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if !s.admit(w, r, &request) {
			return
		}
		result, err := apply(request)
		if err != nil {
			writeFailure(w, err)
			return
		}
		if result.changed {
			s.counters.writes.Add(1)
		}
		if result.changed && s.faults.dropAnswer() {
			s.counters.answersDropped.Add(1)
			abort()
		}
		writeJSON(w, http.StatusOK, result.body)
	})
}

// admit reads the request and applies outage, rate limit and latency. It
// reports whether the request goes ahead; otherwise it has been answered.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, request any) bool {
	s.counters.requests.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeFailure(w, mvcc.ErrValueTooLarge)
		return false
	}
	if !s.passOutage(w) || !s.passRateLimit(w) {
		return false
	}
	s.delay()
	if err := json.Unmarshal(body, request); err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// passOutage holds a request while the store hangs. It then goes ahead even if
// its caller has given up, as with a store process that was stopped for a
// while.
func (s *Server) passOutage(w http.ResponseWriter) bool {
	for {
		current, changed := s.faults.current()
		switch current.Outage {
		case OutageRefuse:
			abort()
		case OutageUnavailable:
			writeError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, wire.MessageNoLeader)
			return false
		case OutageHang:
			s.waitFor(changed)
		default:
			return true
		}
	}
}

// waitFor waits for a change of the faults; the connection is aborted when the
// server closes.
func (s *Server) waitFor(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-s.closing:
		abort()
	}
}

func (s *Server) passRateLimit(w http.ResponseWriter) bool {
	wait, ok := s.bucket.Reserve(s.config.Now(), 0)
	if ok {
		return true
	}
	s.counters.rateLimited.Add(1)
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	writeError(w, http.StatusTooManyRequests, wire.CodeResourceExhausted, wire.MessageTooMany)
	return false
}

func (s *Server) delay() {
	current, _ := s.faults.current()
	if current.LatencyMillis <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(current.LatencyMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
		abort()
	}
}

// abort closes the request's connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}

func header(revision store.Revision) wire.Header {
	return wire.Header{Revision: wire.Int64(revision)}
}
