package etcd

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
)

const (
	// defaultRateLimitPause is the pause after a 429 without Retry-After.
	defaultRateLimitPause = time.Second
	// maxRateLimitPause bounds the pause that a 429 can ask for.
	maxRateLimitPause = 30 * time.Second
	// maxMessageBytes bounds the quoted part of an error body that cannot be parsed.
	maxMessageBytes = 200
)

// errRejected means that the service rejected the request itself; nothing took
// effect.
var errRejected = errors.New("request refused by the store")

// definiteOutcomes are the errors after which the outcome of a call is certain.
var definiteOutcomes = []error{store.ErrNotFound, store.ErrConflict, store.ErrCompacted, store.ErrLeaseLost, errRejected}

func isDefiniteOutcome(err error) bool {
	for _, outcome := range definiteOutcomes {
		if errors.Is(err, outcome) {
			return true
		}
	}
	return false
}

// classifyStatus returns the result of an attempt whose response status is not 200.
func (c *Client) classifyStatus(call call, raw rawResponse) attemptResult {
	apiErr := parseError(raw)
	switch {
	case raw.status == http.StatusTooManyRequests:
		return c.tooManyRequests(apiErr, raw.header)
	case apiErr.Message == wire.MessageNoLeader:
		return attemptResult{err: fmt.Errorf("%w: %s", store.ErrUnavailable, apiErr.Message), failOver: true, retry: !call.write}
	case isDefiniteRejection(raw.status):
		return attemptResult{err: rejectionError(apiErr, raw.status)}
	case call.write:
		return attemptResult{err: statusError(store.ErrUnknownOutcome, apiErr, raw.status), failOver: true}
	default:
		return attemptResult{err: statusError(store.ErrUnavailable, apiErr, raw.status), failOver: true, retry: true}
	}
}

// tooManyRequests also pauses the client for the time given in Retry-After.
func (c *Client) tooManyRequests(apiErr wire.Error, header http.Header) attemptResult {
	if apiErr.Message == wire.MessageNoSpace {
		return attemptResult{err: fmt.Errorf("%w: %s", store.ErrUnavailable, apiErr.Message)}
	}
	pause := defaultRateLimitPause
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds >= 0 {
		pause = min(time.Duration(seconds)*time.Second, maxRateLimitPause)
	}
	c.limiter.Pause(time.Now().Add(pause))
	return attemptResult{err: fmt.Errorf("%w: retry after %s", store.ErrRateLimited, pause)}
}

// isDefiniteRejection reports whether a status means that nothing took effect.
// The statuses of timeouts, cancellations and internal failures do not mean that.
func isDefiniteRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusNotImplemented:
		return true
	default:
		return false
	}
}

func rejectionError(apiErr wire.Error, status int) error {
	switch apiErr.Message {
	case wire.MessageCompacted:
		return statusError(store.ErrCompacted, apiErr, status)
	case wire.MessageLeaseNotFound:
		return statusError(store.ErrLeaseLost, apiErr, status)
	default:
		return statusError(errRejected, apiErr, status)
	}
}

func statusError(outcome error, apiErr wire.Error, status int) error {
	return fmt.Errorf("%w: status %d: %s", outcome, status, apiErr.Message)
}

func parseError(raw rawResponse) wire.Error {
	var apiErr wire.Error
	if err := json.Unmarshal(raw.body, &apiErr); err == nil && apiErr.Message != "" {
		return apiErr
	}
	text := raw.body[:min(len(raw.body), maxMessageBytes)]
	return wire.Error{Message: strings.ToValidUTF8(string(text), "?")}
}
