package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/lugspur/lugspur/internal/store"
)

var errResponseTooLarge = errors.New("answer larger than the limit")

// call is one request of the API with a single answer.
type call struct {
	step    string
	path    string
	write   bool
	request any
	// decode reads the answer; an error counts as a lost answer.
	decode func(body []byte) error
}

// verdict is what became of one attempt of a call.
type verdict struct {
	err error
	// leave says that the endpoint is not well.
	leave bool
	// again says that the call may go to the next endpoint.
	again bool
}

// reply is an answer, whatever its status.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do runs a call, at each endpoint once if need be.
func (c *Client) do(ctx context.Context, call call) error {
	payload, err := json.Marshal(call.request)
	if err != nil {
		return wrap(call.step, c.endpoint(), err)
	}
	var last verdict
	for range c.config.Endpoints {
		endpoint := c.endpoint()
		last = c.attempt(ctx, endpoint, call, payload)
		last.err = wrap(call.step, endpoint, last.err)
		if last.leave {
			c.leave(endpoint)
		}
		if !last.again || c.usable(ctx) != nil {
			break
		}
	}
	return last.err
}

func (c *Client) attempt(ctx context.Context, endpoint string, call call, payload []byte) verdict {
	if err := c.awaitTurn(ctx); err != nil {
		return verdict{err: err}
	}
	answer, sent, err := c.exchange(ctx, endpoint, call.path, payload)
	if err != nil && !sent {
		return verdict{err: becauseOf(ctx, store.ErrUnavailable, err), leave: true, again: true}
	}
	if err == nil && answer.status != http.StatusOK {
		return c.refusal(call, answer)
	}
	if err == nil {
		err = call.decode(answer.body)
	}
	if err == nil || isOutcome(err) {
		return verdict{err: err}
	}
	return lost(ctx, call, err)
}

// lost is the verdict on a call that may have been carried out.
func lost(ctx context.Context, call call, cause error) verdict {
	if call.write {
		return verdict{err: becauseOf(ctx, store.ErrUnknownOutcome, cause), leave: true}
	}
	return verdict{err: becauseOf(ctx, store.ErrUnavailable, cause), leave: true, again: true}
}

// becauseOf joins an outcome with its cause. The causes' own timeouts do not
// show as the caller's context having ended.
func becauseOf(ctx context.Context, outcome, cause error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", outcome, err)
	}
	return fmt.Errorf("%w: %v", outcome, cause)
}

// exchange sends a request once. With an error, sent tells whether a byte of
// the request may have left.
func (c *Client) exchange(ctx context.Context, endpoint, path string, payload []byte) (answer reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	defer context.AfterFunc(c.lifetime, cancel)()
	response, sent, err := c.send(ctx, endpoint, path, payload)
	if err != nil {
		return reply{}, sent, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body}, true, err
}

func (c *Client) send(ctx context.Context, endpoint, path string, payload []byte) (response *http.Response, sent bool, err error) {
	var tracker sendTracker
	ctx = httptrace.WithClientTrace(ctx, tracker.trace())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+path, bytes.NewReader(payload))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err = c.http.Do(request)
	if err != nil {
		return nil, tracker.mayHaveSent(), err
	}
	return response, true, nil
}

func (c *Client) readBody(body io.Reader) ([]byte, error) {
	limit := c.config.MaxResponseBytes
	content, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(content) > limit {
		return nil, errResponseTooLarge
	}
	return content, nil
}
