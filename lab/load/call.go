package load

import (
	"time"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
)

// Verdict is the result of a call as its client observed it.
type Verdict string

// Values of Verdict.
const (
	// VerdictComplete means the complete answer before the deadline.
	VerdictComplete Verdict = "complete"
	// VerdictRefused means a problem document.
	VerdictRefused Verdict = "refused"
	// VerdictWrong means status 200 with an answer that isn't the complete one to
	// this call.
	VerdictWrong Verdict = "wrong"
	// VerdictError means another status, or no response.
	VerdictError Verdict = "error"
	// VerdictTimeout means no answer before the client's deadline.
	VerdictTimeout Verdict = "timeout"
	// VerdictNotSent means that the call wasn't sent as Plan.MaxInFlight calls
	// were open; the run is invalid.
	VerdictNotSent Verdict = "not-sent"
)

// Attempt is one attempt of a call.
type Attempt struct {
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	Status  int       `json:"status,omitempty"`
	Verdict Verdict   `json:"verdict"`
	// RequestID is the Lugspur-Request-Id header of the response.
	RequestID string `json:"request_id,omitempty"`
	// Executed, Reason and RetryAfterSeconds are set for a refusal.
	Executed          problem.Executed `json:"executed,omitempty"`
	Reason            problem.Reason   `json:"reason,omitempty"`
	RetryAfterSeconds int              `json:"retry_after_seconds,omitempty"`
	Faults            []answer.Fault   `json:"faults,omitempty"`
	Error             string           `json:"error,omitempty"`
}

// Call is one call of a client with all its attempts.
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

// Last returns the last attempt. For a call that wasn't sent it returns an
// attempt with VerdictNotSent.
func (c Call) Last() Attempt {
	if len(c.Attempts) == 0 {
		return Attempt{Verdict: VerdictNotSent}
	}
	return c.Attempts[len(c.Attempts)-1]
}

// Verdict returns the verdict of the last attempt.
func (c Call) Verdict() Verdict { return c.Last().Verdict }

// Latency returns the time from the intended start to the end of the last
// attempt.
func (c Call) Latency() time.Duration {
	if len(c.Attempts) == 0 {
		return 0
	}
	return c.Last().End.Sub(c.Intended)
}

// ReportedNotExecuted reports whether the response to every attempt stated that the call
// was not executed.
func (c Call) ReportedNotExecuted() bool {
	for _, attempt := range c.Attempts {
		if attempt.Executed != problem.ExecutedNo {
			return false
		}
	}
	return len(c.Attempts) > 0
}
