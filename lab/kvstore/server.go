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
	// maxRequestBytes limits the size of a request body, in bytes.
	maxRequestBytes = 4 << 20
	// defaultProgressInterval is the time between progress notifications.
	defaultProgressInterval = time.Second
)

// Config configures a server. The zero value has no rate limit and the default
// history.
type Config struct {
	// Now is the clock of leases and of the rate limit; nil means time.Now.
	Now func() time.Time
	// RequestsPerSecond limits the rate of all requests and Burst their burst
	// size. A rate of zero means no limit.
	RequestsPerSecond float64
	Burst             int
	// ProgressInterval is the time between progress notifications of an idle
	// watch; zero means one second.
	ProgressInterval time.Duration
	// HistoryEvents is the number of changes retained for watches; zero means the
	// default of package mvcc.
	HistoryEvents int
	// Seed makes the random choice of dropped responses reproducible.
	Seed uint64
}

// Server serves the key-value API and injects faults. It is safe for concurrent use.
type Server struct {
	config   Config
	store    *mvcc.Store
	bucket   *pace.Bucket
	faults   *faultState
	counters counters
	closing  chan struct{}
	close    sync.Once
}

// New returns a server with an empty store.
func New(config Config) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.ProgressInterval <= 0 {
		config.ProgressInterval = defaultProgressInterval
	}
	return &Server{
		config:  config,
		store:   mvcc.New(mvcc.Config{Now: config.Now, HistoryEvents: config.HistoryEvents}),
		bucket:  pace.NewBucket(config.RequestsPerSecond, config.Burst),
		faults:  newFaultState(config.Seed),
		closing: make(chan struct{}),
	}
}

// Close aborts blocked requests and watches. The store keeps its content.
func (s *Server) Close() {
	s.close.Do(func() { close(s.closing) })
}

// Compact compacts the history up to the newest revision.
func (s *Server) Compact() error {
	return s.store.Compact(s.store.Revision())
}

// Handler returns the handler of the key-value API.
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

// operationResult is a response body and whether a write was applied, so that a
// fault may drop the response.
type operationResult[R any] struct {
	body    R
	changed bool
}

// unary returns the handler of an operation with one request and one response.
func unary[Q, R any](s *Server, apply func(Q) (operationResult[R], error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if !s.admit(w, r, &request) {
			return
		}
		result, err := apply(request)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		if result.changed {
			s.counters.writes.Add(1)
		}
		if result.changed && s.faults.shouldDropResponse() {
			s.counters.responsesDropped.Add(1)
			abort()
		}
		writeJSON(w, http.StatusOK, result.body)
	})
}

// admit reads the request and applies outage, rate limit and latency. It reports
// whether to process the request; otherwise it has sent an error response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, request any) bool {
	s.counters.requests.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeStoreError(w, mvcc.ErrValueTooLarge)
		return false
	}
	if !s.applyOutage(w) || !s.applyRateLimit(w) {
		return false
	}
	s.applyLatency()
	if err := json.Unmarshal(body, request); err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// applyOutage blocks a request during OutageHang. The request is processed
// afterwards even if its caller has timed out, as with a store process that was
// paused.
func (s *Server) applyOutage(w http.ResponseWriter) bool {
	for {
		current, changed := s.faults.currentFaults()
		switch current.Outage {
		case OutageRefuse:
			abort()
		case OutageUnavailable:
			writeError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, wire.MessageNoLeader)
			return false
		case OutageHang:
			s.waitForFaultChange(changed)
		default:
			return true
		}
	}
}

// waitForFaultChange waits until the faults change. It aborts the connection when
// the server closes.
func (s *Server) waitForFaultChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-s.closing:
		abort()
	}
}

func (s *Server) applyRateLimit(w http.ResponseWriter) bool {
	wait, ok := s.bucket.Reserve(s.config.Now(), 0)
	if ok {
		return true
	}
	s.counters.rateLimited.Add(1)
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	writeError(w, http.StatusTooManyRequests, wire.CodeResourceExhausted, wire.MessageTooMany)
	return false
}

func (s *Server) applyLatency() {
	current, _ := s.faults.currentFaults()
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

// abort closes the request's connection without a response.
func abort() {
	panic(http.ErrAbortHandler)
}

func header(revision store.Revision) wire.Header {
	return wire.Header{Revision: wire.Int64(revision)}
}
