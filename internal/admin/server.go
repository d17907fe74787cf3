package admin

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Writer changes objects in the store.
type Writer interface {
	// Write writes the object if its revision is expected. Every error but
	// those that package configuration names as having no effect is answered
	// as an unknown outcome.
	Write(ctx context.Context, next resource.Envelope, expected store.Revision, change resource.Change) (resource.Versioned, error)
	// Resolve asks the store what became of a change.
	Resolve(ctx context.Context, id resource.ID, changeID string, expected store.Revision) (configuration.Resolution, store.Revision, error)
}

// Replica is the node's copy of the configuration. Deleted objects may be in
// it, marked as such.
type Replica interface {
	Get(id resource.ID) (resource.Versioned, bool)
	List(kind resource.Kind) []resource.Versioned
}

// StatusSource tells what the node does.
type StatusSource interface {
	Status() Status
	Readiness() Readiness
}

// EmergencyDrainer spreads drains from node to node, without the store. Names
// are those of drain objects.
type EmergencyDrainer interface {
	// EmergencyDrain marks as leaving what the drain of that name marks, for a
	// while.
	EmergencyDrain(name string) error
	// EmergencyDrained reports whether such a mark holds.
	EmergencyDrained(name string) bool
}

// Times and bounds of the server.
const (
	// DefaultWriteTimeout bounds a write, from its request to its answer.
	DefaultWriteTimeout = 10 * time.Second
	// MaxConcurrentWrites bounds the requests that use the store at one time.
	MaxConcurrentWrites = 64
	// retryAfter is when a refused writer may come back.
	retryAfter = 2 * time.Second
)

// Options are what a Server works with. All but WriteTimeout and Now must be
// given.
type Options struct {
	// NodeName names the node in problem documents.
	NodeName string
	// Token is what writes must show; empty means that no write is taken.
	Token     string
	Writer    Writer
	Replica   Replica
	Status    StatusSource
	Emergency EmergencyDrainer
	Log       logrus.FieldLogger
	// WriteTimeout bounds a write; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Now is the clock of the changes' times; nil means time.Now.
	Now func() time.Time
}

// Server answers the administration API. It is safe for concurrent use.
type Server struct {
	options Options
	token   [sha256.Size]byte
	writes  chan struct{}
}

// NewServer returns a server.
func NewServer(options Options) *Server {
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Server{
		options: options,
		token:   sha256.Sum256([]byte(options.Token)),
		writes:  make(chan struct{}, MaxConcurrentWrites),
	}
}

// Register adds the API's routes to a mux.
func (s *Server) Register(mux *http.ServeMux) {
	for _, kind := range resource.OperatorKinds() {
		s.registerKind(mux, kind)
	}
	mux.HandleFunc("GET /v1/changes/{kind}/{name}/{change_id}", s.bounded(s.handleChange))
	for path, prefix := range drainPrefixes {
		mux.HandleFunc("POST /v1/drain/"+path+"/{name}", s.guarded(s.handleDrain(prefix)))
		mux.HandleFunc("POST /v1/join/"+path+"/{name}", s.guarded(s.handleJoin(prefix)))
	}
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	mux.HandleFunc("GET /livez", handleLive)
	mux.HandleFunc("GET /readyz", s.handleReady)
}

func (s *Server) registerKind(mux *http.ServeMux, kind resource.Kind) {
	collection := "/v1/" + Plural(kind)
	mux.HandleFunc("GET "+collection, s.handleList(kind))
	mux.HandleFunc("GET "+collection+"/{name}", s.handleGet(kind))
	mux.HandleFunc("GET "+collection+"/{name}/history", s.handleHistory(kind))
	mux.HandleFunc("PUT "+collection+"/{name}", s.guarded(s.handlePut(kind)))
	mux.HandleFunc("DELETE "+collection+"/{name}", s.guarded(s.handleDelete(kind)))
}

// Plural returns the name of a kind's collection.
func Plural(kind resource.Kind) string {
	if kind == resource.KindPolicy {
		return "policies"
	}
	return string(kind) + "s"
}

// drainPrefixes maps the collections of what can leave to the prefix of its
// drain's name.
var drainPrefixes = map[string]string{
	"targets":  resource.DrainTargetPrefix,
	"machines": resource.DrainMachinePrefix,
}
