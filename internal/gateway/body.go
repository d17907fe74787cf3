package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/problem"
)

func expectsBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// boundBody bounds the time to read the call's body. The deadline stays when
// the body is not read whole, so that the server does not wait for its rest.
func (g *Gateway) boundBody(w http.ResponseWriter, r *http.Request) {
	if expectsBody(r) {
		// A connection that can't have a deadline is bounded by the server's own.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.settings.ReadBodyTimeout))
	}
}

const (
	// smallBody is the largest body, in bytes, that is read for the sake of its
	// connection after the call was refused.
	smallBody = 64 << 10
	// smallBodyWait is how long such a body is waited for; it has usually come
	// with the header.
	smallBodyWait = time.Millisecond
)

// leaveBody deals with the body of a call that is refused. A small one that is
// there is read, so that the connection can be used again. Otherwise the
// connection is closed after the answer: net/http would wait for the rest of
// the body before it sends the answer.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if !expectsBody(r) {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= smallBody {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(smallBodyWait))
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
}

// readBody reads the whole body, within its bounds of size and time. The caller
// has called boundBody.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	if !expectsBody(r) {
		return nil, nil
	}
	if r.ContentLength > g.settings.MaxBodyBytes {
		return nil, g.bodyTooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, g.bodyTooLarge()
	case err != nil:
		return nil, g.problem(problem.BadRequest, "receive", "the body could not be read whole in time").WithCause(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (g *Gateway) bodyTooLarge() *problem.Problem {
	return g.problem(problem.BodyTooLarge, "receive", "allowed are "+strconv.FormatInt(g.settings.MaxBodyBytes, 10)+" bytes")
}
