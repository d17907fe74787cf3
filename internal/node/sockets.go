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

// idleTimeout is how long a caller's idle connection is kept.
const idleTimeout = 90 * time.Second

// writeGrace is how long a caller may take to read an answer that came at the
// last moment.
const writeGrace = 10 * time.Second

// listener is one of the node's HTTP listeners.
type listener struct {
	name   string
	socket *drainlistener.Listener
	server *http.Server
}

// sockets are the node's listeners and its gossip socket.
type sockets struct {
	edge, mesh, peer, admin listener
	gossip                  *membership.UDPTransport
	errorLog                io.Closer
}

// handlers are what the listeners serve.
type handlers struct {
	edge, mesh, peer, admin http.Handler
}

func (s *sockets) all() []*listener { return []*listener{&s.edge, &s.mesh, &s.peer, &s.admin} }

// open opens the sockets; either all are open or none.
func (s *sockets) open(listen settings.Listen) error {
	s.edge.name, s.mesh.name, s.peer.name, s.admin.name = "edge", "mesh", "peer", "admin"
	for i, address := range []string{listen.Edge, listen.Mesh, listen.Peer, listen.Admin} {
		socket, err := drainlistener.Listen(address)
		if err != nil {
			s.close()
			return oops.In("node").With("step", "listen").With("peer", address).Wrapf(err, "listen on %s", address)
		}
		s.all()[i].socket = socket
	}
	gossip, err := membership.ListenUDP(listen.Peer)
	if err != nil {
		s.close()
		return oops.In("node").With("step", "listen").With("peer", listen.Peer).Wrapf(err, "listen on %s for gossip", listen.Peer)
	}
	s.gossip = gossip
	return nil
}

// serve makes the servers.
func (s *sockets) serve(limits settings.Limits, log *logrus.Entry, handlers handlers) {
	errorLog := log.WithField("step", "serve").WriterLevel(logrus.DebugLevel)
	s.errorLog = errorLog
	for i, handler := range []http.Handler{handlers.edge, handlers.mesh, handlers.peer, handlers.admin} {
		s.all()[i].server = &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: limits.ReadHeaderTimeout.Duration(),
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			IdleTimeout:       idleTimeout,
			// A call takes no longer than its longest timeout after its body;
			// profiles of the administration listener fit as well.
			WriteTimeout: limits.ReadBodyTimeout.Duration() + limits.MaxTimeout.Duration() + writeGrace,
			ErrorLog:     stdlog.New(errorLog, "", 0),
		}
	}
	// Calls have deadlines of their own for their bodies.
	s.admin.server.ReadTimeout = limits.ReadHeaderTimeout.Duration() + limits.ReadBodyTimeout.Duration()
}

// start serves all listeners and returns a channel of what made one end.
func (s *sockets) start() <-chan error {
	listeners := s.all()
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() {
			if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- oops.In("node").With("step", "serve").With("peer", l.name).Wrapf(err, "%s listener", l.name)
			}
		}()
	}
	return failed
}

// stopAccepting refuses new connections; those that are open, or wait to be
// accepted, are served on.
func (l *listener) stopAccepting() { l.socket.StopAccepting() }

// shutdown stops the listener and waits for its calls; those still there when
// the context ends are cut off.
func (l *listener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_ = l.server.Close()
		return oops.In("node").With("step", "stop").With("peer", l.name).Wrapf(err, "%s listener", l.name)
	}
	return nil
}

// close closes whatever is still open.
func (s *sockets) close() {
	for _, l := range s.all() {
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
