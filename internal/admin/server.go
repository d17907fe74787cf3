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

// Writer writes objects to the store.
type Writer interface {
	// Write writes the object if its current revision is the expected one.
	// Errors have an unknown outcome unless package configuration defines them
	// as having no effect.
	Write(ctx context.Context, next resource.Envelope, expected store.Revision, change resource.Change) (resource.Versioned, error)
	// Resolve queries the store for the outcome of a change.
	Resolve(ctx context.Context, id resource.ID, changeID string, expected store.Revision) (configuration.Resolution, store.Revision, error)
}

// Replica is the node's copy of the configuration. It may contain tombstones of
// deleted objects.
type Replica interface {
	Get(id resource.ID) (resource.Versioned, bool)
	List(kind resource.Kind) []resource.Versioned
}

// StatusProvider provides the status of the node.
type StatusProvider interface {
	Status() Status
	Readiness() Readiness
}

// EmergencyDrainer propagates drains between nodes without the store. Names are
// those of drain objects.
type EmergencyDrainer interface {
	// EmergencyDrain drains the target or machine of the named drain for a
	// limited time.
	EmergencyDrain(name string) error
	// EmergencyDrained reports whether an emergency drain of that name is active.
	EmergencyDrained(name string) bool
}

// Timeouts and limits of the server.
const (
	// DefaultWriteTimeout is the time limit of a write, from request to response.
	DefaultWriteTimeout = 10 * time.Second
	// MaxConcurrentStoreRequests is the maximum number of concurrent requests to the
	// store.
	MaxConcurrentStoreRequests = 64
	// retryAfter is the Retry-After delay of requests that may be retried.
	retryAfter = 2 * time.Second
)

// Options configure a Server. All fields except WriteTimeout and Now are
// required.
type Options struct {
	// NodeName is the name of the node in problem documents.
	NodeName string
	// Token is the bearer token that writes require; if empty, all writes are
	// rejected.
	Token     string
	Writer    Writer
	Replica   Replica
	Status    StatusProvider
	Emergency EmergencyDrainer
	Log       logrus.FieldLogger
	// WriteTimeout is the time limit of a write; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Now returns the time of a change; nil means time.Now.
	Now func() time.Time
}

// Server serves the administration API. It is safe for concurrent use.
type Server struct {
	options     Options
	tokenDigest [sha256.Size]byte
	storeSlots  chan struct{}
}

// NewServer creates a Server from the options, with defaults applied.
func NewServer(options Options) *Server {
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Server{
		options:     options,
		tokenDigest: sha256.Sum256([]byte(options.Token)),
		storeSlots:  make(chan struct{}, MaxConcurrentStoreRequests),
	}
}

// Register registers the API's routes on a mux.
func (s *Server) Register(mux *http.ServeMux) {
	for _, kind := range resource.OperatorKinds() {
		s.registerKind(mux, kind)
	}
	mux.HandleFunc("GET /v1/changes/{kind}/{name}/{change_id}", s.limitStoreRequests(s.handleChange))
	for path, prefix := range drainPrefixes {
		mux.HandleFunc("POST /v1/drain/"+path+"/{name}", s.requireToken(s.handleDrain(prefix)))
		mux.HandleFunc("POST /v1/join/"+path+"/{name}", s.requireToken(s.handleJoin(prefix)))
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
	mux.HandleFunc("PUT "+collection+"/{name}", s.requireToken(s.handlePut(kind)))
	mux.HandleFunc("DELETE "+collection+"/{name}", s.requireToken(s.handleDelete(kind)))
}

// Plural returns the name of a kind's collection.
func Plural(kind resource.Kind) string {
	if kind == resource.KindPolicy {
		return "policies"
	}
	return string(kind) + "s"
}

// drainPrefixes maps the collections that can be drained to the prefixes of the
// names of their drains.
var drainPrefixes = map[string]string{
	"targets":  resource.DrainTargetPrefix,
	"machines": resource.DrainMachinePrefix,
}
