// Package peering is what nodes say to each other: a node passes a call on to
// the node beside the target that is to run it, which answers with what became
// of the call. Messages are CBOR bodies of HTTP/1.1 exchanges; a connection
// carries one exchange at a time, and its end withdraws the call.
package peering

import (
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
)

// Paths of the exchanges: the version of the messages and what they are. They are
// short because they are sent with each one.
const (
	callPath  = "/3/c"
	pingPath  = "/3/p"
	queryPath = "/3/r"
	// noticePath takes notices of crashed targets.
	noticePath = "/3/q"
	// permitPath takes asks for permits of tenants.
	permitPath = "/3/t"
	// departurePath takes departures of targets.
	departurePath = "/3/d"
)

// Call is a request on its way to a home.
type Call struct {
	// Service is the service whose target is to run the request.
	Service   string
	RequestID string
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	// Remaining is the time left to answer; the two clocks are never compared.
	Remaining time.Duration
	// Caller is the service on whose machine the request began.
	Caller string
	Route  string
	// Rank is that of the request at the beginning of the chain; a lower key is
	// more important.
	Rank uint16
	// MaxWait is how long the call may wait for room at the target; zero leaves
	// it to the home.
	MaxWait time.Duration
	// AtMostOnce tells that the request must not run twice.
	AtMostOnce bool
	// Nested tells that a running request made the call.
	Nested bool
	// Retried tells that the request, or one that led to it, went to a target before.
	Retried bool
	// PriorCalls is the number of calls like this one that the request which makes it has
	// behind it.
	PriorCalls int
	// OfferIndex numbers the offers of a request by the node that it entered.
	OfferIndex int
	// Crashes is the number of targets in a row that crashed under the request, as far as
	// the node that it entered knows.
	Crashes int
	// Process is the home's process as the caller knows it, zero if it does not.
	Process uint32
	// Resumed tells that the same offer was sent to Process before, over a connection
	// that went silent. That process answers out of the one run, and another does not
	// run the call.
	Resumed bool
	// From is the address of the node that calls, and Digests say how far its
	// copies of the store reach.
	From    string
	Digests []replica.Digest
}

// Fingerprint returns the fingerprint of what the call asks for.
func (c *Call) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body})
}

// AntiEntropy is what nodes tell each other of their copies of the store beside calls.
type AntiEntropy interface {
	// Digests says how far the node's copies reach.
	Digests() []replica.Digest
	// HandleCallDigests takes the digests of a peer that called.
	HandleCallDigests(peer string, digests []replica.Digest)
	// HandleReplyDigests takes those on a reply to a call of the given moment.
	HandleReplyDigests(peer string, digests []replica.Digest, asked time.Time)
	// AnswerQuery answers a peer that asks for what its copies lack.
	AnswerQuery(query *replica.Query) *replica.Answer
}

// Notices takes what peers tell of requests that crash targets.
type Notices interface {
	Heard(notice *quarantine.Notice)
}

// Departures takes what peers tell of targets that leave.
type Departures interface {
	LearnDeparture(departure registry.Departure)
}

// Permits issues permits of tenants' limits.
type Permits interface {
	Issue(ask *ratelimit.PermitRequest) *ratelimit.Grant
}

// Outcome is what became of a call.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the target's answer follows, whole.
	Answered Outcome = iota + 1
	// Refused means that the call has not run and will not.
	Refused
	// Failed means that the call may have run and that no usable answer came.
	Failed
)

var outcomeNames = [...]string{"", "answered", "refused", "failed"}

// String returns the outcome's name as metrics write it.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return ""
	}
	return outcomeNames[o]
}

// Load is a home's report of its own state.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Latency is the usual time of a call of the route at the target; zero if it is
	// not known.
	Latency time.Duration
	// Threshold is the rank from which on the home wants calls of the route to be
	// refused where they begin.
	Threshold uint16
	// FailurePercent is the part of the calls that brought no usable answer, in percent.
	FailurePercent int
	// Stopping tells that the home is about to stop and that others do better.
	Stopping bool
	// ErrorPercent is the part of the answers in which the target says that it failed, in
	// percent, without those after a call that the request made had failed.
	ErrorPercent int
	// CallsPerRequest is the number of calls that one request of the route leads to, those
	// further down included.
	CallsPerRequest int
	// RetryBudgetLow tells that the calls of a repeated request could hardly be paid for out
	// of the retry budgets.
	RetryBudgetLow bool
}

// Reply is a home's answer to a call.
type Reply struct {
	Outcome Outcome
	// Reason says why a call was refused or failed.
	Reason Reason
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is when the home expects room again.
	RetryAfter time.Duration
	Load       Load
	// Crashes is the number of targets in a row that crashed under the request, with the
	// one that did so now.
	Crashes int
	// TargetError tells that the answer says that the target failed, and that no call
	// that the request made had failed before.
	TargetError bool
	// Digests say how far the home's copies of the store reach.
	Digests []replica.Digest
}

// Reason says why a call was refused or failed.
type Reason string

// The reasons of refusals and failures.
const (
	// NoTarget: the node has no ready target of the service.
	NoTarget Reason = "no-target"
	// TargetLeaving: the target said that it leaves.
	TargetLeaving Reason = "target-leaving"
	// Stopping: the home itself is about to stop.
	Stopping Reason = "stopping"
	// QueueFull, Evicted, Late and Waited: no room came in time.
	QueueFull    Reason = "queue-full"
	Evicted      Reason = "evicted"
	Late         Reason = "late"
	QueueTimeout Reason = "waited"
	// TargetFull: the target itself refused.
	TargetFull Reason = "target-full"
	// TargetFailed: the target answered that it failed, by no fault of another. No
	// reply has this reason; requests that go on after such an answer do.
	TargetFailed Reason = "target-failed"
	// ParentRepeated: the request that made the call had run before, so that its
	// calls repeat earlier ones. No reply has this reason.
	ParentRepeated Reason = "parent-repeated"
	// Misdirected: another target answers at the address.
	Misdirected Reason = "misdirected"
	// ConnectFailed: no connection to the target or to the home came about.
	ConnectFailed Reason = "unconnected"
	// ExchangeBroken: the exchange with the target or the home broke off.
	ExchangeBroken Reason = "broken"
	// TargetCrashed: the target ended while it ran the call.
	TargetCrashed Reason = "target-crashed"
	// Quarantined: the request crashed too many targets.
	Quarantined Reason = "quarantined"
	// InvalidResponse: the target's answer was not one that may be passed on.
	InvalidResponse Reason = "spoilt"
	// DeadlinePassed: the deadline came before the answer.
	DeadlinePassed Reason = "deadline"
	// CallerLeft: the caller left before the answer.
	CallerLeft Reason = "caller-left"
	// Suspected: the home was silent for too long.
	Suspected Reason = "suspected"
)

// HomeUnavailable reports whether the home has nothing for the service until it says
// otherwise.
func (r Reason) HomeUnavailable() bool {
	return r == NoTarget || r == TargetLeaving || r == Stopping || r == Misdirected
}

// MayHaveReachedTarget reports whether a call with this reply reached a target, or may have.
func (r *Reply) MayHaveReachedTarget() bool {
	if r.Outcome == Refused {
		return r.Reason == TargetFull || r.Reason == Misdirected
	}
	return true
}

func encode(message any) []byte {
	content, err := cbor.Marshal(message)
	if err != nil {
		// Messages hold only strings, numbers and bytes, which always have a form.
		panic(err)
	}
	return content
}
