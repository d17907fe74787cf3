package chaos

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/load"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

// attempt sends one request and classifies the outcome. If it was refused,
// attempt also returns the service that refused it, if the response names one.
func (c *callers) attempt(ctx context.Context, planned plannedCall, to edge) (load.Attempt, string) {
	attempt := load.Attempt{Start: time.Now()}
	refusedBy := c.exchange(ctx, planned, to, &attempt)
	attempt.End = time.Now()
	return attempt, refusedBy
}

func (c *callers) exchange(ctx context.Context, planned plannedCall, to edge, attempt *load.Attempt) string {
	ctx, cancel := context.WithTimeout(ctx, planned.kind.Deadline())
	defer cancel()
	request, err := newRequest(ctx, planned, to)
	if err != nil {
		recordError(attempt, err)
		return ""
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		recordError(attempt, err)
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	attempt.Status = response.StatusCode
	attempt.RequestID = response.Header.Get(callcontext.RequestIDHeader)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		// The response was truncated, and the caller can tell that it has no
		// complete response.
		attempt.Status = 0
		recordError(attempt, err)
		return ""
	}
	if response.StatusCode == http.StatusOK {
		c.verify(planned, body, attempt)
		return ""
	}
	return c.recordRefusal(response, body, attempt)
}

func newRequest(ctx context.Context, planned plannedCall, to edge) (*http.Request, error) {
	var body io.Reader
	if planned.kind.Method != http.MethodGet {
		body = strings.NewReader(`{"nonce":"` + planned.nonce + `"}`)
	}
	url := "http://" + to.address + "/" + planned.kind.Service + planned.kind.Path
	request, err := http.NewRequestWithContext(ctx, planned.kind.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(callcontext.CallerHeader, planned.caller)
	request.Header.Set(callcontext.TimeoutHeader, strconv.FormatInt(planned.kind.Deadline().Milliseconds(), 10))
	request.Header.Set(answer.NonceHeader, planned.nonce)
	if planned.key != "" {
		request.Header.Set(callcontext.IdempotencyKeyHeader, planned.key)
	}
	return request, nil
}

func recordError(attempt *load.Attempt, err error) {
	attempt.Verdict = load.VerdictError
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		attempt.Verdict = load.VerdictTimeout
	}
	attempt.Error = err.Error()
}

func (c *callers) verify(planned plannedCall, body []byte, attempt *load.Attempt) {
	expected := c.expectations[planned.kind.Name]
	expected.Nonce = planned.nonce
	attempt.Faults = answer.Verify(body, expected)
	attempt.Verdict = load.VerdictComplete
	if len(attempt.Faults) > 0 {
		attempt.Verdict = load.VerdictWrong
	}
}

func (c *callers) recordRefusal(response *http.Response, body []byte, attempt *load.Attempt) string {
	document, err := problem.Parse(body)
	if err != nil {
		attempt.Verdict = load.VerdictError
		attempt.Error = "status " + strconv.Itoa(response.StatusCode) + " without a problem document: " + strings.TrimSpace(string(body))
		return c.refusingDownstream(string(body))
	}
	attempt.Verdict = load.VerdictRefused
	attempt.Executed = document.Executed
	attempt.Reason = document.Reason
	attempt.Error = document.Error()
	attempt.RetryAfterSeconds, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	return c.refusingService(document)
}

// refusingService returns the service that refused the call: the service of the
// target whose home node refused it, or the service for which the edge reports
// that it is shedding load, which is the last word of the problem's detail.
func (c *callers) refusingService(document *problem.Problem) string {
	for _, target := range c.mesh.Targets {
		if target.Name == document.Peer {
			return target.Service
		}
	}
	words := strings.Fields(document.Detail)
	if document.Step != "shed" || len(words) == 0 {
		return ""
	}
	last := words[len(words)-1]
	if _, ok := c.mesh.Service(last); !ok {
		return ""
	}
	return last
}

// refusingDownstream returns the service that refused a target's downstream call
// because of overload. The emulated targets report it as "call SERVICE in zone
// ZONE: status 503, overloaded".
func (c *callers) refusingDownstream(body string) string {
	words := strings.Fields(body)
	if len(words) < 2 || words[len(words)-1] != string(problem.Overloaded) {
		return ""
	}
	if _, ok := c.mesh.Service(words[1]); words[0] != "call" || !ok {
		return ""
	}
	return words[1]
}
