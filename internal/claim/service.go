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
	// Capacity is the maximum number of claims; zero means DefaultCapacity.
	Capacity int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnAdopt, if not nil, is called with each adopted roster while no lock is
	// held.
	OnAdopt func(Roster)
}

// Service serves a node's replica on the peer listener. It is safe for
// concurrent use.
type Service struct {
	self     Identity
	capacity int
	now      func() time.Time
	onAdopt  func(Roster)
	counters counters

	mutex   sync.Mutex
	replica *Replica
}

// NewService returns a service without claims and without a roster.
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
	mux.HandleFunc("POST "+PathClaim, messageHandler(s.handleRequest))
	mux.HandleFunc("POST "+PathRelease, messageHandler(s.handleRelease))
	mux.HandleFunc("POST "+PathPage, messageHandler(s.handlePage))
}

// messageHandler decodes a request, calls handle and encodes its result.
func messageHandler[Req, Resp message](handle func(Req) Resp) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requestBody, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaximumMessageBytes))
		if err != nil {
			http.Error(w, "message not read", http.StatusBadRequest)
			return
		}
		request, err := decode[Req](requestBody)
		if err != nil {
			http.Error(w, "message not understood", http.StatusBadRequest)
			return
		}
		responseBody, err := encode(handle(request))
		if err != nil {
			http.Error(w, "answer not encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(responseBody) // the client detects a lost response
	}
}

// Adopt replaces the current roster if the given one is newer and of the same
// lineage, and reports whether it did.
func (s *Service) Adopt(roster Roster) bool {
	s.mutex.Lock()
	adopted := s.replica.Adopt(roster, s.now())
	s.mutex.Unlock()
	if adopted {
		s.notifyAdopted(roster)
	}
	return adopted
}

func (s *Service) notifyAdopted(roster Roster) {
	if s.onAdopt != nil {
		s.onAdopt(roster)
	}
}

// Roster returns the newest roster adopted and whether there is one.
func (s *Service) Roster() (Roster, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Roster()
}

func (s *Service) handleRequest(req Request) Response {
	s.adoptAttached(req.Roster)
	req.Roster = nil
	s.mutex.Lock()
	response := s.replica.Handle(req, s.now())
	s.mutex.Unlock()
	s.counters.answers[response.Answer].Add(1)
	return response
}

func (s *Service) handleRelease(req ReleaseRequest) Response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replica.Release(req, s.now())
	return Response{From: s.self, Key: req.Key, Attempt: req.Attempt, Answer: AnswerReleased}
}

func (s *Service) handlePage(req PageRequest) Page {
	s.adoptAttached(req.Roster)
	req.Roster = nil
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.Page(req, s.now())
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

// readyEpoch returns the epoch of Replica.Ready, or zero if it isn't ready.
func (s *Service) readyEpoch() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	epoch, _ := s.replica.Ready()
	return epoch
}
