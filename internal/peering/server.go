package peering

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
)

// Home runs calls at this node's local target.
type Home interface {
	// Run runs the call and returns its reply. The context ends when the caller cancels
	// the call.
	Run(ctx context.Context, call *Call) *Reply
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
	// Process identifies this process among those that used the address; it is not zero.
	Process uint32
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
	mux.HandleFunc("POST "+queryPath, s.serveQuery)
	if s.Quarantine != nil {
		mux.HandleFunc("POST "+noticePath, s.serveNotice)
	}
	if s.Departures != nil {
		mux.HandleFunc("POST "+departurePath, s.serveDeparture)
	}
	if s.Starts != nil {
		mux.HandleFunc("POST "+startPath, s.serveStart)
	}
	if s.Permits != nil {
		mux.HandleFunc("POST "+permitPath, s.servePermits)
	}
	return mux
}

func (s *server) serveCall(w http.ResponseWriter, r *http.Request) {
	call, err := s.readCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.AntiEntropy.HandleCallDigests(call.From, call.Digests)
	reply, completed := s.runWithInterim(w, r, call)
	if completed {
		writeResponse(w, reply)
	}
}

// runWithInterim runs or resumes the call and sends interim responses meanwhile.
func (s *server) runWithInterim(w http.ResponseWriter, r *http.Request, call *Call) (reply []byte, completed bool) {
	interim := startInterimWriter(w)
	// If the run panics, net/http recovers only this goroutine: a later interim response would
	// write to a response that has ended, and its panic would end the process.
	defer interim.stop()
	return s.runOrResume(r.Context(), call)
}

// readCall reads a call. Its content is copied from the message.
func (s *server) readCall(r *http.Request) (*Call, error) {
	buffer := newBuffer()
	defer freeBuffer(buffer)
	content, err := readBodyInto(buffer, r, s.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	return s.Codec.decodeCall(content)
}

// runOrResume runs the call, or waits for the run that it resumes, and returns the
// encoded reply. It returns false if the caller disconnected first.
func (s *server) runOrResume(ctx context.Context, call *Call) (reply []byte, completed bool) {
	if call.Resumed && call.Process != s.Process {
		// The process that first received the call may have run it.
		return s.encode(&Reply{Outcome: Failed, Reason: ExchangeBroken}), true
	}
	// The call is canceled when any of its waiting callers disconnects.
	runCtx, cancel := clock.WithCancel(ctx)
	exchange, mustRun := s.exchanges.open(call, cancel)
	if mustRun {
		defer cancel()
		// If the run panics, the exchange ends without a reply.
		defer func() { s.exchanges.finish(exchange, reply) }()
		return s.encode(s.Home.Run(runCtx, call)), true
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

func (s *server) encode(reply *Reply) []byte {
	reply.Digests = s.AntiEntropy.Digests()
	return s.Codec.encodeReply(reply)
}

func (s *server) serveQuery(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(r, s.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var query replica.Query
	if err := cbor.Unmarshal(content, &query); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeResponse(w, encode(s.AntiEntropy.AnswerQuery(&query)))
}

func (s *server) serveNotice(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(r, s.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var notice quarantine.Notice
	if err := cbor.Unmarshal(content, &notice); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Quarantine.HandleNotice(&notice)
	writeResponse(w, nil)
}

func (s *server) serveDeparture(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(r, s.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var departure registry.Departure
	if err := cbor.Unmarshal(content, &departure); err != nil || departure.Validate() != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Departures.HandleDeparture(departure)
	writeResponse(w, nil)
}

// maxStartNoticeBytes is the maximum size of a notice of a started target. Records have a few
// hundred bytes.
const maxStartNoticeBytes = 4 << 10

func (s *server) serveStart(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(r, min(maxStartNoticeBytes, s.MaxMessageBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var notice registry.StartNotice
	if err := cbor.Unmarshal(content, &notice); err != nil || notice.Validate() != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Starts.HandleStart(notice)
	writeResponse(w, nil)
}

func (s *server) servePermits(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(r, s.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var request ratelimit.PermitRequest
	if err := request.Decode(content); err != nil || !request.Valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeResponse(w, encode(s.Permits.Issue(&request).Wire()))
}

func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	return readBodyInto(new(bytes.Buffer), r, maxBytes)
}

// readBodyInto returns the request's body, which is valid until the buffer is used again.
func readBodyInto(buffer *bytes.Buffer, r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, http.ErrContentLength
	}
	if r.ContentLength < 0 {
		_, err := buffer.ReadFrom(io.LimitReader(r.Body, maxBytes))
		return buffer.Bytes(), err
	}
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
