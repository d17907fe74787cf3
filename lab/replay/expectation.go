package replay

// CallExpectation states the outcome of a call; members left out aren't compared.
type CallExpectation struct {
	// Result is "answered" or "refused".
	Result string `json:"result,omitempty"`
	Status *int   `json:"status,omitempty"`
	// Reason, Step, Detail and Executed are those of the problem document.
	Reason   string `json:"reason,omitempty"`
	Step     string `json:"step,omitempty"`
	Detail   string `json:"detail,omitempty"`
	Executed string `json:"executed,omitempty"`
	// Level is the criticality by which the call was ranked.
	Level string `json:"level,omitempty"`
	// Target got the call last.
	Target string `json:"target,omitempty"`
	// Sent is how often the call was sent to a target.
	Sent *int `json:"sent,omitempty"`
	// Admitted is when a target got the call first, Finished when its outcome was certain.
	Admitted *Millis `json:"admitted_ms,omitempty"`
	Finished *Millis `json:"finished_ms,omitempty"`
}

// Check states something of the whole state at a time. Exactly one member is set.
type Check struct {
	Limit      *LimitCheck      `json:"limit,omitempty"`
	Threshold  *ThresholdCheck  `json:"threshold,omitempty"`
	Overloaded *OverloadedCheck `json:"overloaded,omitempty"`
	Revision   *RevisionCheck   `json:"revision,omitempty"`
	Spent      *SpentCheck      `json:"spent,omitempty"`
	Order      *OrderCheck      `json:"order,omitempty"`
	Count      *CountCheck      `json:"count,omitempty"`
	Claim      *ClaimCheck      `json:"claim,omitempty"`
	Claimed    *ClaimedCheck    `json:"claimed,omitempty"`
}

// LimitCheck states the range of a target's limit.
type LimitCheck struct {
	Target string `json:"target,omitempty"`
	Min    *int   `json:"min,omitempty"`
	Max    *int   `json:"max,omitempty"`
}

// ThresholdCheck states the range of a target's or a service's shed threshold;
// 512 sheds nothing.
type ThresholdCheck struct {
	Target  string `json:"target,omitempty"`
	Service string `json:"service,omitempty"`
	Min     *int   `json:"min,omitempty"`
	Max     *int   `json:"max,omitempty"`
}

// OverloadedCheck states whether a target's queue counts as overloaded.
type OverloadedCheck struct {
	Target string `json:"target,omitempty"`
	Is     *bool  `json:"is,omitempty"`
}

// RevisionCheck states the revision in force of an object.
type RevisionCheck struct {
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Equals  *int   `json:"equals,omitempty"`
	Deleted *bool  `json:"deleted,omitempty"`
}

// SpentCheck states the range of the retries granted to a request.
type SpentCheck struct {
	Call string `json:"call,omitempty"`
	Min  *int   `json:"min,omitempty"`
	Max  *int   `json:"max,omitempty"`
}

// OrderCheck states that calls, or all admitted calls of groups, were admitted in
// this order.
type OrderCheck struct {
	Calls []string `json:"calls,omitempty"`
}

// CountCheck states the range of the number of calls of groups that have an
// outcome; members left out select nothing.
type CountCheck struct {
	Calls  []string `json:"calls,omitempty"`
	Result string   `json:"result,omitempty"`
	Reason string   `json:"reason,omitempty"`
	Step   string   `json:"step,omitempty"`
	Target string   `json:"target,omitempty"`
	Min    *int     `json:"min,omitempty"`
	Max    *int     `json:"max,omitempty"`
}

// ClaimCheck states the outcome of an attempt.
type ClaimCheck struct {
	Attempt string `json:"attempt,omitempty"`
	Outcome string `json:"outcome,omitempty"`
}

// ClaimedCheck states how many attempts were granted a key so far.
type ClaimedCheck struct {
	Key    string `json:"key,omitempty"`
	Equals *int   `json:"equals,omitempty"`
}
