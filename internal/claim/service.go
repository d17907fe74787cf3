package claim

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Paths of the peer listener.
const (
	PathClaim   = "/peer/claim"
	PathRelease = "/peer/claim/release"
	PathPage    = "/peer/claim/page"

	contentType = "application/cbor"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Self Identity
	// Capacity is the largest number of claims held; zero is DefaultCapacity.
	Capacity int
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// OnAdopt, if not nil, is called with each roster adopted, outside of locks.
	OnAdopt func(Roster)
}

// Service is a node's replica on the peer listener. It is safe for concurrent
// use.
type Service struct {
	self     Identity
	capacity int
	now      func() time.Time
	onAdopt  func(Roster)
	counters counters

	mutex   sync.Mutex
	replica *Replica
}

// NewService returns a service with an empty memory and no roster.
func NewService(config ServiceConfig) *Service {
	if config.Capacity <= 0 {
		config.Capacity = DefaultCapacity
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Service{
		self:     config.Self,
		capacity: config.Capacity,
		now:      config.Now,
		onAdopt:  config.OnAdopt,
		replica:  NewReplica(config.Self, config.Capacity),
	}
}

// Register adds the handlers to the peer listener's mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathClaim, serve(s.handle))
	mux.HandleFunc("POST "+PathRelease, serve(s.release))
	mux.HandleFunc("POST "+PathPage, serve(s.page))
}

// serve answers one message with another.
func serve[Q, A message](handle func(Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaximumMessageBytes))
		if err != nil {
			http.Error(w, "message not read", http.StatusBadRequest)
			return
		}
		request, err := decode[Q](body)
		if err != nil {
			http.Error(w, "message not understood", http.StatusBadRequest)
			return
		}
		answer, err := encode(handle(request))
		if err != nil {
			http.Error(w, "answer not encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(answer) // a lost answer is the asker's to notice
	}
}

// Adopt takes over a roster that is newer than the one known and reports
// whether it did.
func (s *Service) Adopt(roster Roster) bool {
	s.mutex.Lock()
	adopted := s.replica.Adopt(roster, s.now())
	s.mutex.Unlock()
	if adopted {
		s.announce(roster)
	}
	return adopted
}

func (s *Service) announce(roster Roster) {
	if s.onAdopt != nil {
		s.onAdopt(roster)
	}
}

// Roster returns the newest roster known and whether there is one.
func (s *Service) Roster() (Roster, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Roster()
}

func (s *Service) handle(q Request) Response {
	s.adoptAttached(q.Roster)
	q.Roster = nil
	s.mutex.Lock()
	response := s.replica.Handle(q, s.now())
	s.mutex.Unlock()
	s.counters.answers[response.Answer].Add(1)
	return response
}

func (s *Service) release(q ReleaseRequest) Response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replica.Release(q, s.now())
	return Response{From: s.self, Key: q.Key, Attempt: q.Attempt, Answer: AnswerReleased}
}

func (s *Service) page(q PageRequest) Page {
	s.adoptAttached(q.Roster)
	q.Roster = nil
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Page(q, s.now())
}

func (s *Service) adoptAttached(roster *Roster) {
	if roster != nil {
		s.Adopt(*roster)
	}
}

func (s *Service) pageRequests() []OutgoingPageRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.PageRequests()
}

func (s *Service) receivePage(page Page) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.ReceivePage(page, s.now())
}

// readyEpoch is Replica.Ready with zero for not ready.
func (s *Service) readyEpoch() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	epoch, _ := s.replica.Ready()
	return epoch
}
