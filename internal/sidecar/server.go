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
	// firstRequestWait is how long a server that ends waits for the first requests on
	// connections that were made lately. http.Server.Shutdown closes a connection whose
	// request it has read but not begun: of 100 callers that connected right before the end
	// the last one or two got no answer.
	firstRequestWait = 150 * time.Millisecond
	firstRequestPoll = 5 * time.Millisecond
	// lastAnswers is how long a server that ends waits at least for requests that it serves:
	// those of the last moment are refused at once.
	lastAnswers = 100 * time.Millisecond
)

// server is one of the node's HTTP servers with its listener.
type server struct {
	http   *http.Server
	socket *drainlistener.Listener
	// accepted is closed once the listener is closed and nothing waits to be accepted.
	accepted chan struct{}
	fresh    freshConnections
}

// newServer listens at an address and serves nothing yet.
func newServer(address string, handler http.Handler) (*server, error) {
	socket, err := drainlistener.Listen(address)
	if err != nil {
		return nil, oops.In("sidecar").With("step", "listen").With("peer", address).Wrapf(err, "listen at %s", address)
	}
	s := &server{socket: socket, accepted: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.fresh.handler(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       s.fresh.made,
		ConnState:         s.fresh.changed,
	}
	return s, nil
}

// start serves in the background.
func (s *server) start() {
	go func() {
		defer close(s.accepted)
		_ = s.http.Serve(s.socket)
	}()
}

// shutDown accepts what waits, closes the listener and idle connections, and waits for
// requests that are served until the deadline, or a moment longer where that has passed.
func (s *server) shutDown(deadline time.Time) {
	s.socket.StopAccepting()
	<-s.accepted
	s.fresh.await(firstRequestWait)
	end := clock.Now().Add(lastAnswers)
	if deadline.After(end) {
		end = deadline
	}
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	defer cancel()
	_ = s.http.Shutdown(ctx)
}

// freshConnections are those on which no request has come yet.
type freshConnections struct {
	count atomic.Int64
	all   sync.Map // of net.Conn to *freshConnection
}

// freshConnection tells whether a connection still counts as fresh.
type freshConnection struct{ used atomic.Bool }

type freshKey struct{}

func (f *freshConnections) made(ctx context.Context, connection net.Conn) context.Context {
	fresh := &freshConnection{}
	f.all.Store(connection, fresh)
	f.count.Add(1)
	return context.WithValue(ctx, freshKey{}, fresh)
}

func (f *freshConnections) changed(connection net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if fresh, known := f.all.LoadAndDelete(connection); known {
		f.use(fresh.(*freshConnection))
	}
}

// handler notes the first request of a connection.
func (f *freshConnections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fresh, known := r.Context().Value(freshKey{}).(*freshConnection); known {
			f.use(fresh)
		}
		next.ServeHTTP(w, r)
	})
}

func (f *freshConnections) use(fresh *freshConnection) {
	if !fresh.used.Load() && fresh.used.CompareAndSwap(false, true) {
		f.count.Add(-1)
	}
}

// await returns once no connection is fresh, or after a while.
func (f *freshConnections) await(patience time.Duration) {
	for end := time.Now().Add(patience); f.count.Load() > 0 && time.Now().Before(end); {
		time.Sleep(firstRequestPoll)
	}
}
