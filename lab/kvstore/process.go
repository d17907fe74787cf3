package kvstore

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
)

// readHeaderTimeout is the timeout of reading a request header.
const readHeaderTimeout = 10 * time.Second

// Process is a server with its own listeners, so that OutageRefuse can refuse
// connections.
type Process struct {
	server      *Server
	address     string
	reservation *reservation

	mu      sync.Mutex
	api     *httpServer
	control *httpServer
	serving sync.WaitGroup
}

// Start starts the API and control listeners on the given addresses, whose ports
// may be zero.
func Start(config Config, listen, control string) (*Process, error) {
	reservation, apiListener, err := reserve(listen)
	if err != nil {
		return nil, err
	}
	controlListener, err := net.Listen("tcp", control)
	if err != nil {
		_ = apiListener.Close()
		reservation.release()
		return nil, oops.In("kvstore").With("step", "listen").With("peer", control).Wrapf(err, "listen on %s", control)
	}
	p := &Process{server: New(config), address: apiListener.Addr().String(), reservation: reservation}
	p.control = p.serve(controlListener, controlHandler(p.server, p.Control))
	p.api = p.serve(apiListener, p.server.Handler())
	return p, nil
}

// Address returns the address of the API listener.
func (p *Process) Address() string {
	return p.address
}

// ControlAddress returns the address of the control listener.
func (p *Process) ControlAddress() string {
	return p.control.listener.Addr().String()
}

// Status returns the current faults and the counters.
func (p *Process) Status() Status {
	return p.server.Status()
}

// Control applies a control request and closes or reopens the API listener as the
// outage requires.
func (p *Process) Control(request ControlRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.server.Control(request); err != nil {
		return err
	}
	refuse := p.server.Status().Faults.Outage == OutageRefuse
	if refuse && p.api != nil {
		_ = p.api.Close()
		p.api = nil
	}
	if !refuse && p.api == nil {
		return p.reopenListener()
	}
	return nil
}

func (p *Process) reopenListener() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return oops.In("kvstore").With("step", "reopen").With("peer", p.address).Wrapf(err, "listen on %s", p.address)
	}
	p.api = p.serve(listener, p.server.Handler())
	return nil
}

func (p *Process) serve(listener net.Listener, handler http.Handler) *httpServer {
	server := newHTTPServer(listener, handler)
	p.serving.Go(server.serve)
	return server
}

// httpServer serves HTTP on one listener.
type httpServer struct {
	http     *http.Server
	listener net.Listener
}

func newHTTPServer(listener net.Listener, handler http.Handler) *httpServer {
	return &httpServer{http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, listener: listener}
}

// serve accepts connections until the server is closed.
func (s *httpServer) serve() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		_ = s.listener.Close()
	}
}

// Close closes the listener and all connections. http.Server.Close alone leaves a listener open
// that Serve has not been called with yet.
func (s *httpServer) Close() error {
	return errors.Join(s.listener.Close(), s.http.Close())
}

// Close closes the listeners and all connections.
func (p *Process) Close() {
	p.server.Close()
	p.mu.Lock()
	if p.api != nil {
		_ = p.api.Close()
	}
	_ = p.control.Close()
	p.mu.Unlock()
	p.serving.Wait()
	p.reservation.release()
}
