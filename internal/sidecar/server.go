package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/drainlistener"
)

const (
	// firstRequestTimeout is how long a server waits during shutdown for the first requests
	// on new connections. http.Server.Shutdown closes a connection whose request it has read
	// but not started to handle: of 100 callers that connected right before the shutdown, the
	// last one or two got no response.
	firstRequestTimeout      = 150 * time.Millisecond
	firstRequestPollInterval = 5 * time.Millisecond
	// minShutdownTimeout is the shortest time that a shutdown waits for requests in flight.
	// It is enough for requests that arrive after the deadline, which are refused at once.
	minShutdownTimeout = 100 * time.Millisecond
)

// server is an HTTP server of the node with its listener.
type server struct {
	http     *http.Server
	listener *drainlistener.Listener
	// accepting accepts the connections of the listener.
	accepting net.Listener
	// acceptDone is closed once the listener is closed and its accept queue is empty.
	acceptDone chan struct{}
	tracker    connectionTracker
}

// newServer starts to listen at an address. No connection is accepted before start.
func newServer(address string, handler http.Handler) (*server, error) {
	listener, err := drainlistener.Listen(address)
	if err != nil {
		return nil, oops.In("sidecar").With("step", "listen").With("peer", address).Wrapf(err, "listen at %s", address)
	}
	s := &server{listener: listener, accepting: listener, acceptDone: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.tracker.handler(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       s.tracker.track,
		ConnState:         s.tracker.stateChanged,
	}
	return s, nil
}

// start accepts and serves connections in the background.
func (s *server) start() {
	go func() {
		defer close(s.acceptDone)
		_ = s.http.Serve(s.accepting)
	}()
}

// shutDown accepts the connections in the accept queue, closes the listener and idle
// connections, and waits for requests in flight until the deadline, but at least for
// minShutdownTimeout.
func (s *server) shutDown(deadline time.Time) {
	s.listener.StopAccepting()
	<-s.acceptDone
	s.tracker.await(firstRequestTimeout)
	end := clock.Now().Add(minShutdownTimeout)
	if deadline.After(end) {
		end = deadline
	}
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	defer cancel()
	_ = s.http.Shutdown(ctx)
}

// connectionTracker counts the open connections on which no request has arrived yet.
type connectionTracker struct {
	unused      atomic.Int64
	connections sync.Map // of net.Conn to *trackedConnection
}

// trackedConnection records whether a request has arrived on a connection.
type trackedConnection struct{ used atomic.Bool }

// connectionKey is the context key of a request's *trackedConnection.
type connectionKey struct{}

func (t *connectionTracker) track(ctx context.Context, connection net.Conn) context.Context {
	tracked := &trackedConnection{}
	t.connections.Store(connection, tracked)
	t.unused.Add(1)
	return context.WithValue(ctx, connectionKey{}, tracked)
}

func (t *connectionTracker) stateChanged(connection net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if tracked, known := t.connections.LoadAndDelete(connection); known {
		t.markUsed(tracked.(*trackedConnection))
	}
}

// handler returns a handler that marks the connection of each request as used.
func (t *connectionTracker) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.unused.Load() > 0 {
			t.markRequest(r)
		}
		next.ServeHTTP(w, r)
	})
}

// markRequest marks the connection of a request as used.
func (t *connectionTracker) markRequest(r *http.Request) {
	if tracked, known := r.Context().Value(connectionKey{}).(*trackedConnection); known {
		t.markUsed(tracked)
	}
}

func (t *connectionTracker) markUsed(tracked *trackedConnection) {
	if !tracked.used.Load() && tracked.used.CompareAndSwap(false, true) {
		t.unused.Add(-1)
	}
}

// await waits until a request has arrived on every connection, or until the timeout.
func (t *connectionTracker) await(timeout time.Duration) {
	for end := time.Now().Add(timeout); t.unused.Load() > 0 && time.Now().Before(end); {
		time.Sleep(firstRequestPollInterval)
	}
}
