package sidecar

import (
	"fmt"
	stdlog "log"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/platform"
)

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 1500

// recoverPanics returns a handler that logs a panic of the next one, and answers that the request
// may have run if no response was begun. A response that was begun ends incomplete.
func (n *Node) recoverPanics(address string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &beginTracker{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				n.logPanic(address, r, cause)
			}
			if cause == http.ErrAbortHandler || tracked.begun {
				panic(http.ErrAbortHandler)
			}
			n.answerPanic(w, r)
		}()
		next.ServeHTTP(tracked, r)
	})
}

func (n *Node) logPanic(address string, r *http.Request, cause any) {
	stack := string(debug.Stack())
	// The frames above the panic are those of this package and the runtime.
	if _, after, found := strings.Cut(stack, "\npanic("); found {
		stack = after
	}
	stack = strings.Join(strings.Fields(stack), " ")
	n.log.Record(eventlog.Event{Kind: eventlog.HandlerPanicked, Request: r.Header.Get(platform.Headers().RequestID), Peer: address,
		Reason: fmt.Sprint(cause), Detail: stack[:min(len(stack), maxStackBytes)]})
}

// answerPanic answers a request whose handler panicked before it began a response. Headers that the
// handler has set belong to another response.
func (n *Node) answerPanic(w http.ResponseWriter, r *http.Request) {
	clear(w.Header())
	name := platform.Headers().RequestID
	failure := problem.New(problem.Internal, problem.ExecutedUnknown, "handle request", n.settings.Name, "")
	if id := r.Header.Get(name); id != "" {
		w.Header().Set(name, id)
		failure.RequestID = id
	}
	failure.Write(w)
}

// beginTracker records whether a final response was begun.
type beginTracker struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (t *beginTracker) WriteHeader(status int) {
	t.ResponseWriter.WriteHeader(status)
	// The server panics at an invalid status, so that nothing was written.
	if status >= http.StatusOK {
		t.begun = true
	}
}

// Write implements http.ResponseWriter.
func (t *beginTracker) Write(content []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(content)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (t *beginTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// serverLog returns a logger of an HTTP server's errors, such as failures to accept connections.
func (n *Node) serverLog(address string) *stdlog.Logger {
	return stdlog.New(serverLogWriter{n.log, address}, "", 0)
}

// serverLogWriter records each line as an event.
type serverLogWriter struct {
	log     *eventlog.Log
	address string
}

// Write implements io.Writer.
func (s serverLogWriter) Write(line []byte) (int, error) {
	s.log.Record(eventlog.Event{Kind: eventlog.ServerError, Peer: s.address, Reason: strings.TrimSpace(string(line))})
	return len(line), nil
}
