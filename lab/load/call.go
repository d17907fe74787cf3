package load

import (
	"time"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
)

// Verdict is how a call ended for its client.
type Verdict string

// The verdicts.
const (
	// VerdictComplete calls got the complete answer in time.
	VerdictComplete Verdict = "complete"
	// VerdictRefused calls got a problem document.
	VerdictRefused Verdict = "refused"
	// VerdictWrong calls got an answer that isn't the complete one to them.
	VerdictWrong Verdict = "wrong"
	// VerdictError calls got another status or none at all.
	VerdictError Verdict = "error"
	// VerdictTimeout calls got nothing before the client's deadline.
	VerdictTimeout Verdict = "timeout"
	// VerdictNotSent calls exceeded the calls in flight; the run is invalid.
	VerdictNotSent Verdict = "not-sent"
)

// Attempt is one try of a call.
type Attempt struct {
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	Status  int       `json:"status,omitempty"`
	Verdict Verdict   `json:"verdict"`
	// RequestID is the answer's Lugspur-Request-Id.
	RequestID string `json:"request_id,omitempty"`
	// Executed, Reason and RetryAfterSeconds are a refusal's.
	Executed          problem.Executed `json:"executed,omitempty"`
	Reason            problem.Reason   `json:"reason,omitempty"`
	RetryAfterSeconds int              `json:"retry_after_seconds,omitempty"`
	Faults            []answer.Fault   `json:"faults,omitempty"`
	Error             string           `json:"error,omitempty"`
}

// Call is one call of a client with all its tries. The verdict is that of the
// last one.
type Call struct {
	Kind           string    `json:"kind"`
	Caller         string    `json:"caller"`
	Nonce          string    `json:"nonce"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Zone           string    `json:"zone"`
	Edge           string    `json:"edge"`
	Intended       time.Time `json:"intended"`
	Attempts       []Attempt `json:"attempts"`
}

// Last returns the last try; a call that wasn't sent has the zero one.
func (c Call) Last() Attempt {
	if len(c.Attempts) == 0 {
		return Attempt{Verdict: VerdictNotSent}
	}
	return c.Attempts[len(c.Attempts)-1]
}

// Verdict returns how the call ended.
func (c Call) Verdict() Verdict { return c.Last().Verdict }

// Latency is the time from the intended start to the end.
func (c Call) Latency() time.Duration {
	if len(c.Attempts) == 0 {
		return 0
	}
	return c.Last().End.Sub(c.Intended)
}

// ReportedNotExecuted reports whether the client was told on every try that nothing of
// the call had been run.
func (c Call) ReportedNotExecuted() bool {
	for _, attempt := range c.Attempts {
		if attempt.Executed != problem.ExecutedNo {
			return false
		}
	}
	return len(c.Attempts) > 0
}
