// Package peering implements the protocol between nodes. A node forwards a call
// to the home, the node that serves the target, and the home replies with the
// outcome. Messages are CBOR-encoded bodies of HTTP/1.1 requests and responses. A
// connection carries one exchange at a time, and closing it cancels the call.
package peering

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/shortage"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// Paths of the exchanges. Each consists of the protocol version and the message type, and
// is short because every request carries one.
const (
	callPath  = "/3/c"
	pingPath  = "/3/p"
	queryPath = "/3/r"
	// noticePath receives notices of requests that crash targets.
	noticePath = "/3/q"
	// permitPath receives requests for permits under tenants' limits.
	permitPath = "/3/t"
	// departurePath receives notices of targets that leave.
	departurePath = "/3/d"
	// startPath receives notices of targets that started while the store could not be written.
	startPath = "/3/s"
)

// Call is a request that a node forwards to a home.
type Call struct {
	// Service is the service whose target runs the request.
	Service   string
	RequestID string
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	// Remaining is the time left until the deadline. It is relative, so that the nodes'
	// clocks need not be synchronized.
	Remaining time.Duration
	// RunLimit is the time that the target is given at most, if it is less than Remaining; zero
	// means that it is not.
	RunLimit time.Duration
	// Caller is the service on whose machine the request originated.
	Caller string
	Route  string
	// Rank is the priority of the request that started the call chain; a lower rank is
	// more important.
	Rank uint16
	// MaxWait is how long the call may be queued at the home; zero selects the
	// home's default.
	MaxWait time.Duration
	// AtMostOnce reports whether the request must not run twice.
	AtMostOnce bool
	// Nested reports whether the call was made by a running request.
	Nested bool
	// Retried reports whether the request, or one of its ancestors in the call chain, was
	// sent to a target before.
	Retried bool
	// PriorCalls is the number of calls of the same kind that the calling request made before
	// this one.
	PriorCalls int
	// OfferIndex is the index, starting at zero, of this attempt among those of the
	// request's entry node to have a home run it.
	OfferIndex int
	// Crashes is the number of consecutive targets that crashed while running the
	// request, as known to its entry node.
	Crashes int
	// Process identifies the home's process; zero if the caller does not know it.
	Process uint32
	// Resumed reports whether the same attempt was already sent to Process over a
	// connection that went silent. That process replies with the result of the run in
	// progress; any other process does not run the call.
	Resumed bool
	// Target is what the caller knows of the announcements of the home's target. A home
	// that was restarted may not know them.
	Target TargetAnnouncement
	// WantCost asks the home for the costs of the route's requests.
	WantCost bool
	// Alternative is the time within which the caller expects the call to complete at another
	// home. The home may give the call back if it would complete much later; zero forbids it.
	Alternative time.Duration
	// From is the address of the calling node. Digests state up to which store revision
	// its replicas are complete.
	From    string
	Digests []replica.Digest
	// ResponseMemory is this node's reservation for the response, which grows to its size; nil means
	// no bound. It is not sent.
	ResponseMemory *memorybudget.Reservation
}

// Fingerprint returns the fingerprint of the request's content.
func (c *Call) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body})
}

// AntiEntropy synchronizes the nodes' replicas of the store by anti-entropy. Digests are
// piggybacked on calls and replies.
type AntiEntropy interface {
	// Digests returns a digest of each of the node's replicas.
	Digests() []replica.Digest
	// HandleCallDigests handles the digests on a call from the peer.
	HandleCallDigests(peer string, digests []replica.Digest)
	// HandleReplyDigests handles the digests on a peer's reply to a call that was sent at the
	// given time.
	HandleReplyDigests(peer string, digests []replica.Digest, sentAt time.Time)
	// AnswerQuery returns the entries that the querying peer's replicas lack.
	AnswerQuery(query *replica.Query) *replica.Answer
}

// QuarantineHandler handles peers' notices of requests that crash targets.
type QuarantineHandler interface {
	HandleNotice(notice *quarantine.Notice)
}

// DepartureHandler handles peers' notices of targets that leave.
type DepartureHandler interface {
	HandleDeparture(departure registry.Departure)
}

// StartHandler handles peers' notices of targets that started while the store could not be
// written.
type StartHandler interface {
	HandleStart(notice registry.StartNotice)
}

// PermitIssuer issues permits under tenants' limits.
type PermitIssuer interface {
	Issue(request *ratelimit.PermitRequest) *ratelimit.Grant
}

// Outcome is the class of a call's result.
type Outcome uint8

// Outcomes of a call.
const (
	// Answered means that the reply holds the target's complete response.
	Answered Outcome = iota + 1
	// Refused means that the call did not run and will not.
	Refused
	// Failed means that the call may have run but returned no usable response.
	Failed
)

var outcomeNames = [...]string{"", "answered", "refused", "failed"}

// String returns the outcome's name as used in metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return ""
	}
	return outcomeNames[o]
}

// TargetAnnouncement is what a target announced in its responses. The zero value means that
// nothing is known to be announced.
type TargetAnnouncement struct {
	// Instance is the name of the target's incarnation.
	Instance string
	// Rate is the target's rate limit.
	Rate targetrate.Announcement
	// Leaving reports whether the target is about to shut down. An incarnation that is
	// leaving gets no more calls, even if it announces nothing later.
	Leaving bool
}

// Load is a home's report of its load.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Latency is the typical duration of the route's calls at the target, at its usual pace;
	// zero if it is unknown.
	Latency time.Duration
	// Threshold is the lowest rank of the route's calls that entry nodes should shed on
	// the home's behalf.
	Threshold uint16
	// FailurePercent is the percentage of calls that returned no usable response.
	FailurePercent int
	// Stopping reports whether the home is shutting down, so that callers prefer others.
	Stopping bool
	// ErrorPercent is the percentage of responses that report a failure of the target itself.
	// Responses to requests that made a failed call themselves do not count.
	ErrorPercent int
	// CallsPerRequest is the number of calls, direct and indirect, that one request of the route
	// causes.
	CallsPerRequest int
	// RetryBudgetLow reports whether the retry budgets would barely cover the calls of a retried
	// request.
	RetryBudgetLow bool
	// Target is what the target announced.
	Target TargetAnnouncement
	// Room is the time after which the home expects to admit another call of the same rank
	// under the target's rate limit; zero if it would admit one now.
	Room time.Duration
	// Pace is the current pace of the target; the zero value if it is unknown.
	Pace pace.Reading
}

// Reply is a home's reply to a call.
type Reply struct {
	Outcome Outcome
	// Reason is why the call was refused or failed.
	Reason Reason
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is the time until the home expects to have capacity again.
	RetryAfter time.Duration
	Load       Load
	// Crashes is the number of consecutive targets that crashed while running the
	// request, including this one.
	Crashes int
	// TargetError reports whether the response reports a failure of the target itself: no
	// call that the request made had failed before.
	TargetError bool
	// Shortages are reports on homes that are or recently were short of capacity, which the
	// home created or received from other nodes.
	Shortages []shortage.Report
	// Costs is what one request of the call's route uses of each service; empty if it was not
	// asked for or is unknown.
	Costs []downstream.Cost
	// Digests state up to which store revision the home's replicas are complete.
	Digests []replica.Digest
}

// checked returns the reply of a peer with a response that callers can receive. A response with a
// status that is not a final one (RFC 9110, section 15) is invalid. A reply with an unknown outcome
// does not state whether the call may be sent again, and is an error.
func (r *Reply) checked() (*Reply, error) {
	switch {
	case r.Outcome < Answered || r.Outcome > Failed:
		return nil, fmt.Errorf("unknown outcome %d", r.Outcome)
	case r.Outcome == Answered && (r.Status < http.StatusOK || r.Status > maxStatus):
		r.Outcome, r.Reason = Failed, InvalidResponse
		r.Status, r.Header, r.Body = 0, nil, nil
	}
	return r, nil
}

// maxStatus is the largest status of a response.
const maxStatus = 599

// Reason is why a call was refused or failed.
type Reason string

// Reasons of refusals and failures.
const (
	// NoTarget: the node has no ready target of the service.
	NoTarget Reason = "no-target"
	// TargetLeaving: the target announced that it is leaving.
	TargetLeaving Reason = "target-leaving"
	// Stopping: the home itself is shutting down.
	Stopping Reason = "stopping"
	// QueueFull: the queue for the target was full.
	QueueFull Reason = "queue-full"
	// Evicted: a more important call replaced the call in the queue.
	Evicted Reason = "evicted"
	// WouldMissDeadline: the call could not finish before its deadline.
	WouldMissDeadline Reason = "late"
	// QueueTimeout: the call waited its maximum time for a slot, or for a lock under which it
	// may run alone.
	QueueTimeout Reason = "waited"
	// EarlierElsewhere: the queued call would complete much earlier at the home that the caller
	// names as its alternative.
	EarlierElsewhere Reason = "earlier-elsewhere"
	// RateLimited: the rate limit that the target announced was reached.
	RateLimited Reason = "rate-limited"
	// TargetFull: the target itself refused the call.
	TargetFull Reason = "target-full"
	// TargetFailed: the target reported a failure of its own. It is not used in replies,
	// only for requests that are retried after such a response.
	TargetFailed Reason = "target-failed"
	// ParentRetried: the calling request is a retry, so its calls repeat earlier ones. It is
	// not used in replies.
	ParentRetried Reason = "parent-repeated"
	// Misdirected: another target responded at the address.
	Misdirected Reason = "misdirected"
	// ConnectFailed: the connection to the target or the home could not be established.
	ConnectFailed Reason = "unconnected"
	// ExchangeBroken: the exchange with the target or the home ended before a complete reply.
	ExchangeBroken Reason = "broken"
	// TargetCrashed: the target exited while running the call.
	TargetCrashed Reason = "target-crashed"
	// Quarantined: the request is blocked because it crashed too many targets.
	Quarantined Reason = "quarantined"
	// InvalidResponse: the target's response was invalid and must not be passed on.
	InvalidResponse Reason = "spoilt"
	// OutOfMemory: a node had no memory left for the call or its response.
	OutOfMemory Reason = "out-of-memory"
	// DeadlinePassed: the deadline expired before the response.
	DeadlinePassed Reason = "deadline"
	// CallCanceled: the caller canceled the call or disconnected.
	CallCanceled Reason = "caller-left"
	// Suspected: the home was silent for too long and is suspected to be down.
	Suspected Reason = "suspected"
)

// HomeUnavailable reports whether the home cannot serve the service until it announces
// otherwise.
func (r Reason) HomeUnavailable() bool {
	return r == NoTarget || r == TargetLeaving || r == Stopping || r == Misdirected
}

// MayHaveReachedTarget reports whether the call reached a target or may have.
func (r *Reply) MayHaveReachedTarget() bool {
	if r.Outcome == Refused {
		return r.Reason == TargetFull || r.Reason == Misdirected
	}
	return true
}

func encode(message any) []byte {
	content, err := cbor.Marshal(message)
	if err != nil {
		// Messages consist of strings, numbers and bytes, which always encode.
		panic(err)
	}
	return content
}

// encodeInto appends the encoded message to the buffer.
func encodeInto(buffer *bytes.Buffer, message any) {
	if err := cbor.MarshalToBuffer(message, buffer); err != nil {
		// See encode.
		panic(err)
	}
}
