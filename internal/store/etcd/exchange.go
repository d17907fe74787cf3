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

// call is one API request with a single response.
type call struct {
	step    string
	path    string
	write   bool
	request any
	// decode parses the response; unless its error is a definite outcome, the
	// response counts as lost.
	decode func(body []byte) error
}

// attemptResult is the result of one attempt of a call.
type attemptResult struct {
	err error
	// failOver reports that the endpoint failed and later requests should use another.
	failOver bool
	// retry reports that the call may be sent to the next endpoint.
	retry bool
}

// rawResponse is a response with any status.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
}

// do runs a call, trying each endpoint at most once.
func (c *Client) do(ctx context.Context, call call) error {
	payload, err := json.Marshal(call.request)
	if err != nil {
		return wrap(call.step, c.endpoint(), err)
	}
	var result attemptResult
	for range c.config.Endpoints {
		endpoint := c.endpoint()
		result = c.attempt(ctx, endpoint, call, payload)
		result.err = wrap(call.step, endpoint, result.err)
		if result.failOver {
			c.failOver(endpoint)
		}
		if !result.retry || c.checkUsable(ctx) != nil {
			break
		}
	}
	return result.err
}

func (c *Client) attempt(ctx context.Context, endpoint string, call call, payload []byte) attemptResult {
	if err := c.waitForRateLimit(ctx); err != nil {
		return attemptResult{err: err}
	}
	raw, sent, err := c.exchange(ctx, endpoint, call.path, payload)
	if err != nil && !sent {
		return attemptResult{err: withCause(ctx, store.ErrUnavailable, err), failOver: true, retry: true}
	}
	if err == nil && raw.status != http.StatusOK {
		return c.classifyStatus(call, raw)
	}
	if err == nil {
		err = call.decode(raw.body)
	}
	if err == nil || isDefiniteOutcome(err) {
		return attemptResult{err: err}
	}
	return lostResponse(ctx, call, err)
}

// lostResponse returns the result of a call that may have been executed.
func lostResponse(ctx context.Context, call call, cause error) attemptResult {
	if call.write {
		return attemptResult{err: withCause(ctx, store.ErrUnknownOutcome, cause), failOver: true}
	}
	return attemptResult{err: withCause(ctx, store.ErrUnavailable, cause), failOver: true, retry: true}
}

// withCause adds the cause to an outcome. It wraps a context error only if the
// caller's context has ended, so that an internal timeout is not mistaken for it.
func withCause(ctx context.Context, outcome, cause error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", outcome, err)
	}
	return fmt.Errorf("%w: %v", outcome, cause)
}

// exchange sends a request once. If it fails, sent reports whether a byte of the
// request may have been sent.
func (c *Client) exchange(ctx context.Context, endpoint, path string, payload []byte) (raw rawResponse, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	response, sent, err := c.send(ctx, endpoint, path, payload)
	if err != nil {
		return rawResponse{}, sent, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response.Body)
	return rawResponse{status: response.StatusCode, header: response.Header, body: body}, true, err
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
