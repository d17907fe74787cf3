package replay

// CallExpectation is the expected outcome of a call. Absent members are not
// compared.
type CallExpectation struct {
	// Result is "answered" or "refused".
	Result string `json:"result,omitempty"`
	Status *int   `json:"status,omitempty"`
	// Reason, Step, Detail and Executed are the members of the problem document.
	Reason   string `json:"reason,omitempty"`
	Step     string `json:"step,omitempty"`
	Detail   string `json:"detail,omitempty"`
	Executed string `json:"executed,omitempty"`
	// Level is the name of the call's criticality level.
	Level string `json:"level,omitempty"`
	// Target is the last target to which the call was sent.
	Target string `json:"target,omitempty"`
	// SendCount is the number of times that the call was sent to a target.
	SendCount *int `json:"sent,omitempty"`
	// AdmittedAt is the time at which the call was first sent to a target, FinishedAt
	// the time at which its final outcome was known.
	AdmittedAt *Millis `json:"admitted_ms,omitempty"`
	FinishedAt *Millis `json:"finished_ms,omitempty"`
}

// Check is an expectation about the node's state at the time of the event. Exactly
// one member is set.
type Check struct {
	Limit          *LimitCheck          `json:"limit,omitempty"`
	Threshold      *ThresholdCheck      `json:"threshold,omitempty"`
	Overloaded     *OverloadedCheck     `json:"overloaded,omitempty"`
	Revision       *RevisionCheck       `json:"revision,omitempty"`
	GrantedRetries *GrantedRetriesCheck `json:"spent,omitempty"`
	Order          *OrderCheck          `json:"order,omitempty"`
	Count          *CountCheck          `json:"count,omitempty"`
	Claim          *ClaimCheck          `json:"claim,omitempty"`
	GrantedClaims  *GrantedClaimsCheck  `json:"claimed,omitempty"`
}

// LimitCheck is the expected range of a target's concurrency limit.
type LimitCheck struct {
	Target string `json:"target,omitempty"`
	Min    *int   `json:"min,omitempty"`
	Max    *int   `json:"max,omitempty"`
}

// ThresholdCheck is the expected range of the shed threshold of a target or a
// service. At threshold 512 nothing is shed.
type ThresholdCheck struct {
	Target  string `json:"target,omitempty"`
	Service string `json:"service,omitempty"`
	Min     *int   `json:"min,omitempty"`
	Max     *int   `json:"max,omitempty"`
}

// OverloadedCheck is whether a target's scheduler is expected to be overloaded.
type OverloadedCheck struct {
	Target string `json:"target,omitempty"`
	Is     *bool  `json:"is,omitempty"`
}

// RevisionCheck is the expected revision of an object in the node's replica.
type RevisionCheck struct {
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Equals  *int   `json:"equals,omitempty"`
	Deleted *bool  `json:"deleted,omitempty"`
}

// GrantedRetriesCheck is the expected range of the number of retries granted to a
// request.
type GrantedRetriesCheck struct {
	Call string `json:"call,omitempty"`
	Min  *int   `json:"min,omitempty"`
	Max  *int   `json:"max,omitempty"`
}

// OrderCheck expects that the calls were admitted in this order. A group stands for
// all of its calls that were admitted.
type OrderCheck struct {
	Calls []string `json:"calls,omitempty"`
}

// CountCheck is the expected range of the number of calls of the groups whose
// outcome matches all other members. Absent members match every call; Reason matches
// the problem's reason or its detail.
type CountCheck struct {
	Calls  []string `json:"calls,omitempty"`
	Result string   `json:"result,omitempty"`
	Reason string   `json:"reason,omitempty"`
	Step   string   `json:"step,omitempty"`
	Target string   `json:"target,omitempty"`
	Min    *int     `json:"min,omitempty"`
	Max    *int     `json:"max,omitempty"`
}

// ClaimCheck is the expected outcome of an attempt to claim a key.
type ClaimCheck struct {
	Attempt string `json:"attempt,omitempty"`
	Outcome string `json:"outcome,omitempty"`
}

// GrantedClaimsCheck is the expected number of attempts that have been granted a key.
type GrantedClaimsCheck struct {
	Key    string `json:"key,omitempty"`
	Equals *int   `json:"equals,omitempty"`
}
