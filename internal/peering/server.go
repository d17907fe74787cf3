package peering

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/memorybudget"
)

// Home runs calls at this node's local target.
type Home interface {
	// Run runs the call and returns its reply. The context ends when the caller cancels
	// the call.
	Run(ctx context.Context, call *Call) *Reply
}

// DefaultMessageTimeout is the default of ServerConfig.MessageTimeout.
const DefaultMessageTimeout = 10 * time.Second

// loadReporter is a Home that reports its load.
type loadReporter interface {
	// Load returns the load that replies to calls of the route report.
	Load(route string) Load
}

// ServerConfig configures the Handler of a node's exchanges with its peers.
type ServerConfig struct {
	Home        Home
	AntiEntropy AntiEntropy
	// Quarantine, Departures, Starts and Permits may be nil.
	Quarantine QuarantineHandler
	Departures DepartureHandler
	Starts     StartHandler
	Permits    PermitIssuer
	Codec      *Codec
	// MaxMessageBytes bounds the size of a message.
	MaxMessageBytes int64
	// MessageTimeout bounds the time in which a large call must arrive; zero selects
	// DefaultMessageTimeout.
	MessageTimeout time.Duration
	// Process identifies this process among those that used the address; it is not zero.
	Process uint32
	// Memory bounds the bytes that received messages take; nil means no bound.
	Memory *memorybudget.Budget
}

// server handles the exchanges of peers.
type server struct {
	ServerConfig
	exchanges *exchangeTable
}

// Handler returns the HTTP handler for exchanges with peers.
func Handler(config ServerConfig) http.Handler {
	s := &server{ServerConfig: config, exchanges: newExchangeTable(clock.Now)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pingPath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST "+callPath, s.serveCall)
	mux.HandleFunc("POST "+queryPath, s.control(s.MaxMessageBytes, s.answerQuery))
	if s.Quarantine != nil {
		mux.HandleFunc("POST "+noticePath, s.control(s.MaxMessageBytes, s.handleNotice))
	}
	if s.Departures != nil {
		mux.HandleFunc("POST "+departurePath, s.control(s.MaxMessageBytes, s.handleDeparture))
	}
	if s.Starts != nil {
		mux.HandleFunc("POST "+startPath, s.control(min(maxStartNoticeBytes, s.MaxMessageBytes), s.handleStart))
	}
	if s.Permits != nil {
		mux.HandleFunc("POST "+permitPath, s.control(s.MaxMessageBytes, s.issuePermits))
	}
	return mux
}

// callMemory holds the reservations of a call.
type callMemory struct{ call, response memorybudget.Reservation }

func (m *callMemory) release() {
	m.call.Release()
	m.response.Release()
}

func (s *server) serveCall(w http.ResponseWriter, r *http.Request) {
	memory := &callMemory{call: s.Memory.Reservation(memorybudget.PeerCall), response: s.Memory.Reservation(memorybudget.PeerReply)}
	defer memory.release()
	call, err := s.readCall(w, r, &memory.call)
	if errors.Is(err, memorybudget.ErrExceeded) {
		s.refuseCall(w, r, &memory.call)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(call.Remaining)
	s.AntiEntropy.HandleCallDigests(call.From, call.Digests)
	call.ResponseMemory = &memory.response
	reply, completed := s.runWithInterims(r.Context(), w, call)
	// The call's body is no longer needed while the caller reads the response.
	memory.call.Release()
	if completed {
		writeMessage(w, reply, deadline)
	}
}

// runWithInterims sends interim responses while runOrResume runs, which may panic.
func (s *server) runWithInterims(ctx context.Context, w http.ResponseWriter, call *Call) (reply *encodedMessage, completed bool) {
	interim := startInterimWriter(w)
	// If the run panics, net/http recovers only this goroutine: a later interim response would write
	// to a response that has ended, and its panic would end the process.
	defer interim.stop()
	return s.runOrResume(ctx, call)
}

// refuseCall answers a call for which there is no memory. It reads the rest of the call first, as the
// caller reads no reply before it has sent the whole call.
func (s *server) refuseCall(w http.ResponseWriter, r *http.Request, memory *memorybudget.Reservation) {
	memory.Release()
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, s.MaxMessageBytes)); err != nil {
		return
	}
	reply := &Reply{Outcome: Refused, Reason: OutOfMemory, RetryAfter: s.Memory.RetryDelay()}
	if home, ok := s.Home.(loadReporter); ok {
		reply.Load = home.Load("")
	}
	writeResponse(w, s.encode(reply).envelope)
}

// readCall reads a call. Its content is copied from the message unless the message is large.
func (s *server) readCall(w http.ResponseWriter, r *http.Request, memory *memorybudget.Reservation) (*Call, error) {
	if r.ContentLength < 0 || r.ContentLength > maxPooledBytes {
		return s.readLargeCall(w, r, memory)
	}
	if !memory.Grow(r.ContentLength) {
		return nil, memorybudget.ErrExceeded
	}
	buffer := newBuffer()
	defer freeBuffer(buffer)
	content, err := readInto(buffer, r)
	if err != nil {
		return nil, err
	}
	return s.Codec.decodeCall(content)
}

// readLargeCall reads a call, which must arrive in time, as it takes memory from others.
func (s *server) readLargeCall(w http.ResponseWriter, r *http.Request, memory *memorybudget.Reservation) (*Call, error) {
	controller := http.NewResponseController(w)
	// A connection without deadlines is served all the same.
	_ = controller.SetReadDeadline(time.Now().Add(cmp.Or(s.MessageTimeout, DefaultMessageTimeout)))
	content, err := memorybudget.Read(r.Body, r.ContentLength, s.MaxMessageBytes, memory)
	if err != nil {
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return s.Codec.decodeCallInPlace(content)
}

// runOrResume runs the call, or waits for the run that it resumes, and returns the
// encoded reply. It returns false if the caller disconnected first.
func (s *server) runOrResume(ctx context.Context, call *Call) (reply *encodedMessage, completed bool) {
	if call.Resumed && call.Process != s.Process {
		// The process that first received the call may have run it.
		return s.encode(&Reply{Outcome: Failed, Reason: ExchangeBroken}), true
	}
	// The call is canceled when any of its waiting callers disconnects.
	runCtx, cancel := clock.WithCancel(ctx)
	exchange, mustRun := s.exchanges.open(call, cancel)
	if mustRun {
		defer cancel()
		// After a panic, the reply is empty.
		defer func() { s.exchanges.finish(exchange, reply) }()
		result := s.Home.Run(runCtx, call)
		if result.Outcome == Answered {
			s.Memory.RecordResponse(call.Route, len(result.Body))
		}
		return s.encode(result), true
	}
	cancel()
	cancel = func() { s.exchanges.cancel(exchange) }
	defer context.AfterFunc(ctx, cancel)()
	select {
	case <-exchange.done:
	case <-ctx.Done():
		// The deferred stop function may remove the AfterFunc above before it has run.
		cancel()
		return nil, false
	}
	if reply = s.exchanges.reply(exchange); reply == nil {
		return s.encode(&Reply{Outcome: Failed, Reason: ExchangeBroken}), true
	}
	return reply, true
}

func (s *server) encode(reply *Reply) *encodedMessage {
	reply.Digests = s.AntiEntropy.Digests()
	return s.Codec.encodeReplyMessage(reply)
}

// readInto returns the body of a request with a Content-Length, which is valid until the buffer is
// used again.
func readInto(buffer *bytes.Buffer, r *http.Request) ([]byte, error) {
	buffer.Grow(int(r.ContentLength))
	content := buffer.AvailableBuffer()[:r.ContentLength]
	_, err := io.ReadFull(r.Body, content)
	return content, err
}

// implicitLengthBytes is the size up to which net/http adds Content-Length to a response that the
// handler has written completely.
const implicitLengthBytes = 2000

// writeResponse writes the complete response. Setting Content-Type and Date to nil keeps
// net/http from adding them.
func writeResponse(w http.ResponseWriter, content []byte) {
	header := w.Header()
	header["Content-Type"] = nil
	header["Date"] = nil
	if len(content) > implicitLengthBytes {
		header.Set("Content-Length", strconv.Itoa(len(content)))
	}
	_, _ = w.Write(content)
}

// writeMessage writes a reply. The caller is cut off if it has not read a large one by the deadline.
func writeMessage(w http.ResponseWriter, reply *encodedMessage, deadline time.Time) {
	if len(reply.body) == 0 {
		writeResponse(w, reply.envelope)
		return
	}
	controller := http.NewResponseController(w)
	// The connection has no deadline without an error, so that the reply is written in any case.
	_ = controller.SetWriteDeadline(deadline)
	header := w.Header()
	header["Content-Type"] = nil
	header["Date"] = nil
	header.Set("Content-Length", strconv.Itoa(reply.size()))
	_, err := w.Write(reply.envelope)
	if err == nil {
		_, err = w.Write(reply.body)
	}
	if err == nil {
		_ = controller.SetWriteDeadline(time.Time{})
	}
}
