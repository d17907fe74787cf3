package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/mesh"
)

// client makes calls. It is safe for concurrent use.
type client struct {
	plan         *Plan
	transport    *http.Transport
	latency      time.Duration
	expectations []answer.Expectation // by index of the kind, without nonce
}

func newClient(plan *Plan) *client {
	c := &client{
		plan: plan,
		transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerEdge,
			IdleConnTimeout:     30 * time.Second,
		},
	}
	if plan.EmulateClientLatency {
		c.latency = plan.Mesh.ClientLatency()
	}
	for _, kind := range plan.Mesh.Kinds {
		c.expectations = append(c.expectations, expectationFor(plan.Mesh, kind.Service, kind.Method, kind.Path))
	}
	return c
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// expectationFor returns the complete answer to a call, including those of its
// required downstream calls.
func expectationFor(m *mesh.Mesh, name, method, path string) answer.Expectation {
	expected := answer.Expectation{Service: name}
	service, _ := m.Service(name)
	work, _ := service.Work(method, path)
	for _, call := range work.Calls {
		if !call.Optional {
			expected.Required = append(expected.Required, expectationFor(m, call.Service, call.Method, call.Path))
		}
	}
	return expected
}

// run makes a call, with retries as the plan allows.
func (c *client) run(ctx context.Context, a arrival, intended time.Time) Call {
	kind := c.plan.Mesh.Kinds[a.kind]
	call := Call{
		Kind:           kind.Name,
		Caller:         a.caller,
		Nonce:          a.nonce,
		IdempotencyKey: a.key,
		Zone:           a.zone,
		Edge:           a.address,
		Intended:       intended,
	}
	for {
		attempt := c.attempt(ctx, a, kind)
		call.Attempts = append(call.Attempts, attempt)
		if !c.shouldRetry(ctx, call) {
			return call
		}
		pause.For(ctx, c.plan.Retry.Delay)
	}
}

func (c *client) shouldRetry(ctx context.Context, call Call) bool {
	if len(call.Attempts) >= c.plan.Retry.Attempts || ctx.Err() != nil {
		return false
	}
	last := call.Last()
	if last.Verdict == VerdictComplete {
		return false
	}
	if last.Verdict == VerdictRefused && last.RetryAfterSeconds == 0 {
		return c.plan.Retry.IgnoreRefusals
	}
	return true
}

func (c *client) attempt(ctx context.Context, a arrival, kind mesh.Kind) Attempt {
	attempt := Attempt{Start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, kind.Deadline())
	defer cancel()
	pause.For(ctx, c.latency)
	c.exchange(ctx, a, kind, &attempt)
	pause.For(ctx, c.latency)
	if ctx.Err() != nil && attempt.Verdict != VerdictTimeout {
		attempt.Verdict = VerdictTimeout
		attempt.Error = "the answer came after the deadline"
	}
	attempt.End = time.Now()
	return attempt
}

// exchange sends one request and sets the attempt's verdict.
func (c *client) exchange(ctx context.Context, a arrival, kind mesh.Kind, attempt *Attempt) {
	request, err := c.request(ctx, a, kind)
	if err != nil {
		attempt.setError(err)
		return
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		attempt.setError(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	attempt.Status = response.StatusCode
	attempt.RequestID = response.Header.Get(callcontext.RequestIDHeader)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		attempt.setError(err)
		return
	}
	if response.StatusCode == http.StatusOK {
		c.verify(a, body, attempt)
		return
	}
	attempt.setRefusal(response, body)
}

func (c *client) request(ctx context.Context, a arrival, kind mesh.Kind) (*http.Request, error) {
	var body io.Reader
	if kind.Method != http.MethodGet {
		body = strings.NewReader(`{"nonce":"` + a.nonce + `"}`)
	}
	url := "http://" + a.address + "/" + kind.Service + kind.Path
	request, err := http.NewRequestWithContext(ctx, kind.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(callcontext.CallerHeader, a.caller)
	request.Header.Set(callcontext.TimeoutHeader, strconv.FormatInt(kind.Deadline().Milliseconds(), 10))
	request.Header.Set(answer.NonceHeader, a.nonce)
	if a.key != "" {
		request.Header.Set(callcontext.IdempotencyKeyHeader, a.key)
	}
	return request, nil
}

func (c *client) verify(a arrival, body []byte, attempt *Attempt) {
	expected := c.expectations[a.kind]
	expected.Nonce = a.nonce
	attempt.Faults = answer.Verify(body, expected)
	attempt.Verdict = VerdictComplete
	if len(attempt.Faults) > 0 {
		attempt.Verdict = VerdictWrong
	}
}

func (a *Attempt) setError(err error) {
	a.Verdict = VerdictError
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		a.Verdict = VerdictTimeout
	}
	a.Error = err.Error()
}

func (a *Attempt) setRefusal(response *http.Response, body []byte) {
	document, err := problem.Parse(body)
	if err != nil {
		a.Verdict = VerdictError
		a.Error = "status " + strconv.Itoa(response.StatusCode) + " without a problem document"
		return
	}
	a.Verdict = VerdictRefused
	a.Executed = document.Executed
	a.Reason = document.Reason
	a.RetryAfterSeconds, _ = strconv.Atoi(response.Header.Get("Retry-After"))
}
