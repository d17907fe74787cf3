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
	// maxMessageBytes bounds what is quoted of an answer that is not understood.
	maxMessageBytes = 200
)

// errRefused means that the service refused the request itself; nothing took
// effect.
var errRefused = errors.New("request refused by the store")

// outcomes are the errors that say for certain what became of a call.
var outcomes = []error{store.ErrNotFound, store.ErrConflict, store.ErrCompacted, store.ErrLeaseLost, errRefused}

func isOutcome(err error) bool {
	for _, outcome := range outcomes {
		if errors.Is(err, outcome) {
			return true
		}
	}
	return false
}

// refusal judges an answer whose status is not 200.
func (c *Client) refusal(call call, answer reply) verdict {
	problem := problemOf(answer)
	switch {
	case answer.status == http.StatusTooManyRequests:
		return c.tooMany(problem, answer.header)
	case problem.Message == wire.MessageNoLeader:
		return verdict{err: fmt.Errorf("%w: %s", store.ErrUnavailable, problem.Message), leave: true, again: !call.write}
	case certainRefusal(answer.status):
		return verdict{err: certain(problem, answer.status)}
	case call.write:
		return verdict{err: described(store.ErrUnknownOutcome, problem, answer.status), leave: true}
	default:
		return verdict{err: described(store.ErrUnavailable, problem, answer.status), leave: true, again: true}
	}
}

// tooMany also stops the client for as long as the service asks.
func (c *Client) tooMany(problem wire.Error, header http.Header) verdict {
	if problem.Message == wire.MessageNoSpace {
		return verdict{err: fmt.Errorf("%w: %s", store.ErrUnavailable, problem.Message)}
	}
	pause := defaultRateLimitPause
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds >= 0 {
		pause = min(time.Duration(seconds)*time.Second, maxRateLimitPause)
	}
	c.bucket.Pause(time.Now().Add(pause))
	return verdict{err: fmt.Errorf("%w: retry after %s", store.ErrRateLimited, pause)}
}

// certainRefusal tells the statuses which say that nothing took effect. Those
// for timeouts, cancellations and failures inside the service do not.
func certainRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusNotImplemented:
		return true
	default:
		return false
	}
}

func certain(problem wire.Error, status int) error {
	switch problem.Message {
	case wire.MessageCompacted:
		return described(store.ErrCompacted, problem, status)
	case wire.MessageLeaseNotFound:
		return described(store.ErrLeaseLost, problem, status)
	default:
		return described(errRefused, problem, status)
	}
}

func described(outcome error, problem wire.Error, status int) error {
	return fmt.Errorf("%w: status %d: %s", outcome, status, problem.Message)
}

func problemOf(answer reply) wire.Error {
	var problem wire.Error
	if err := json.Unmarshal(answer.body, &problem); err == nil && problem.Message != "" {
		return problem
	}
	text := answer.body[:min(len(answer.body), maxMessageBytes)]
	return wire.Error{Message: strings.ToValidUTF8(string(text), "?")}
}
