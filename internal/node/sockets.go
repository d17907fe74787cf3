package node

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/drainlistener"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/settings"
)

// idleTimeout is how long an idle client connection is kept open.
const idleTimeout = 90 * time.Second

// writeGrace is the time that a caller has to read a response that is sent right
// at the call's deadline.
const writeGrace = 10 * time.Second

// listener is one of the node's HTTP listeners.
type listener struct {
	name   string
	socket *drainlistener.Listener
	server *http.Server
}

// sockets holds the node's listeners and its gossip socket.
type sockets struct {
	edge, mesh, peer, admin listener
	gossip                  *membership.UDPTransport
	errorLog                io.Closer
}

// handlers are the HTTP handlers of the listeners.
type handlers struct {
	edge, mesh, peer, admin http.Handler
}

func (s *sockets) listeners() []*listener { return []*listener{&s.edge, &s.mesh, &s.peer, &s.admin} }

// open opens all sockets, or none if it returns an error.
func (s *sockets) open(listen settings.Listen) error {
	s.edge.name, s.mesh.name, s.peer.name, s.admin.name = "edge", "mesh", "peer", "admin"
	for i, address := range []string{listen.Edge, listen.Mesh, listen.Peer, listen.Admin} {
		socket, err := drainlistener.Listen(address)
		if err != nil {
			s.close()
			return oops.In("node").With("step", "listen").With("peer", address).Wrapf(err, "listen on %s", address)
		}
		s.listeners()[i].socket = socket
	}
	gossip, err := membership.ListenUDP(listen.Peer)
	if err != nil {
		s.close()
		return oops.In("node").With("step", "listen").With("peer", listen.Peer).Wrapf(err, "listen on %s for gossip", listen.Peer)
	}
	s.gossip = gossip
	return nil
}

// createServers creates the HTTP servers of the listeners.
func (s *sockets) createServers(limits settings.Limits, log *logrus.Entry, handlers handlers) {
	errorLog := log.WithField("step", "serve").WriterLevel(logrus.DebugLevel)
	s.errorLog = errorLog
	for i, handler := range []http.Handler{handlers.edge, handlers.mesh, handlers.peer, handlers.admin} {
		s.listeners()[i].server = &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: limits.ReadHeaderTimeout.Duration(),
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			IdleTimeout:       idleTimeout,
			// A call ends within the maximum timeout after its body was read. The sum
			// is also long enough for profiles from the administration listener.
			WriteTimeout: limits.ReadBodyTimeout.Duration() + limits.MaxTimeout.Duration() + writeGrace,
			ErrorLog:     stdlog.New(errorLog, "", 0),
		}
	}
	// Only the administration listener has a ReadTimeout. On the others, the gateway
	// sets a read deadline for the body of each call.
	s.admin.server.ReadTimeout = limits.ReadHeaderTimeout.Duration() + limits.ReadBodyTimeout.Duration()
}

// start serves all listeners in the background and returns a channel that receives
// the error of each listener that fails.
func (s *sockets) start() <-chan error {
	listeners := s.listeners()
	serveErrors := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() {
			if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				serveErrors <- oops.In("node").With("step", "serve").With("peer", l.name).Wrapf(err, "%s listener", l.name)
			}
		}()
	}
	return serveErrors
}

// stopAccepting makes the listener refuse new connections. Open connections and
// those already in the accept queue are still served.
func (l *listener) stopAccepting() { l.socket.StopAccepting() }

// shutdown stops the listener and waits for its calls to complete. Calls that are
// still running when the context is done are aborted.
func (l *listener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_ = l.server.Close()
		return oops.In("node").With("step", "stop").With("peer", l.name).Wrapf(err, "%s listener", l.name)
	}
	return nil
}

// close closes all sockets that are still open.
func (s *sockets) close() {
	for _, l := range s.listeners() {
		if l.server != nil {
			_ = l.server.Close()
		}
		if l.socket != nil {
			_ = l.socket.Close()
		}
	}
	if s.gossip != nil {
		_ = s.gossip.Close()
	}
	if s.errorLog != nil {
		_ = s.errorLog.Close()
	}
}
