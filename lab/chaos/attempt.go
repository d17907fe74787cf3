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

// maxAnswerBytes bounds an answer, in bytes.
const maxAnswerBytes = 16 << 20

// attempt sends one request and looks at what comes back. For a refusal it
// also returns the service that refused, if the refusal tells.
func (c *callers) attempt(ctx context.Context, drawn request, to edge) (load.Attempt, string) {
	attempt := load.Attempt{Start: time.Now()}
	refusedBy := c.exchange(ctx, drawn, to, &attempt)
	attempt.End = time.Now()
	return attempt, refusedBy
}

func (c *callers) exchange(ctx context.Context, drawn request, to edge, attempt *load.Attempt) string {
	ctx, cancel := context.WithTimeout(ctx, drawn.kind.Deadline())
	defer cancel()
	message, err := newMessage(ctx, drawn, to)
	if err != nil {
		fail(attempt, err)
		return ""
	}
	response, err := c.transport.RoundTrip(message)
	if err != nil {
		fail(attempt, err)
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	attempt.Status = response.StatusCode
	attempt.RequestID = response.Header.Get(callcontext.RequestIDHeader)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		// The answer broke off: the caller knows that it has none.
		attempt.Status = 0
		fail(attempt, err)
		return ""
	}
	if response.StatusCode == http.StatusOK {
		c.verify(drawn, body, attempt)
		return ""
	}
	return c.refused(response, body, attempt)
}

func newMessage(ctx context.Context, drawn request, to edge) (*http.Request, error) {
	var body io.Reader
	if drawn.kind.Method != http.MethodGet {
		body = strings.NewReader(`{"nonce":"` + drawn.nonce + `"}`)
	}
	url := "http://" + to.address + "/" + drawn.kind.Service + drawn.kind.Path
	message, err := http.NewRequestWithContext(ctx, drawn.kind.Method, url, body)
	if err != nil {
		return nil, err
	}
	message.Header.Set(callcontext.CallerHeader, drawn.caller)
	message.Header.Set(callcontext.TimeoutHeader, strconv.FormatInt(drawn.kind.Deadline().Milliseconds(), 10))
	message.Header.Set(answer.NonceHeader, drawn.nonce)
	if drawn.key != "" {
		message.Header.Set(callcontext.IdempotencyKeyHeader, drawn.key)
	}
	return message, nil
}

func fail(attempt *load.Attempt, err error) {
	attempt.Verdict = load.VerdictError
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		attempt.Verdict = load.VerdictTimeout
	}
	attempt.Error = err.Error()
}

func (c *callers) verify(drawn request, body []byte, attempt *load.Attempt) {
	expected := c.expectations[drawn.kind.Name]
	expected.Nonce = drawn.nonce
	attempt.Faults = answer.Verify(body, expected)
	attempt.Verdict = load.VerdictComplete
	if len(attempt.Faults) > 0 {
		attempt.Verdict = load.VerdictWrong
	}
}

func (c *callers) refused(response *http.Response, body []byte, attempt *load.Attempt) string {
	document, err := problem.Parse(body)
	if err != nil {
		attempt.Verdict = load.VerdictError
		attempt.Error = "status " + strconv.Itoa(response.StatusCode) + " without a problem document: " + strings.TrimSpace(string(body))
		return c.chainRefuser(string(body))
	}
	attempt.Verdict = load.VerdictRefused
	attempt.Executed = document.Executed
	attempt.Reason = document.Reason
	attempt.Error = document.Error()
	attempt.RetryAfterSeconds, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	return c.refuser(document)
}

// refuser returns the service that refused: that of the target whose home did,
// or the one that an edge names as shedding.
func (c *callers) refuser(document *problem.Problem) string {
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

// chainRefuser returns the service at which a target's own call was refused for
// load, as the stand-in targets say: "call SERVICE in zone ZONE: status 503,
// overloaded".
func (c *callers) chainRefuser(body string) string {
	words := strings.Fields(body)
	if len(words) < 2 || words[len(words)-1] != string(problem.Overloaded) {
		return ""
	}
	if _, ok := c.mesh.Service(words[1]); words[0] != "call" || !ok {
		return ""
	}
	return words[1]
}
