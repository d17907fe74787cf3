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

// setBodyDeadline sets the deadline for reading the request body. The deadline stays in
// effect if the body is not fully read, so that the server does not wait for the rest.
func (g *Gateway) setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if expectsBody(r) {
		// If the connection does not support deadlines, the server's own timeouts apply.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.settings.ReadBodyTimeout))
	}
}

const (
	// maxDiscardBytes is the maximum size of the body of a refused call that is read so
	// that the connection can be reused.
	maxDiscardBytes = 64 << 10
	// discardTimeout is the timeout for reading such a body, which has usually
	// arrived together with the header.
	discardTimeout = time.Millisecond
)

// discardBody handles the body of a refused call. A small body that has already
// arrived is read, so that the connection can be reused. Otherwise the connection
// is closed after the response, because net/http would wait for the rest of the
// body before sending the response.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if !expectsBody(r) {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= maxDiscardBytes {
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = controller.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
}

// readBody reads the whole body within the limits of size and time. The caller must
// have called setBodyDeadline before.
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
		return nil, g.newProblem(problem.BadRequest, "receive", "the body could not be read whole in time").WithCause(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (g *Gateway) bodyTooLarge() *problem.Problem {
	return g.newProblem(problem.BodyTooLarge, "receive", "allowed are "+strconv.FormatInt(g.settings.MaxBodyBytes, 10)+" bytes")
}
