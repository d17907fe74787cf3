// Package eventlog writes a structured log with one JSON line for each decision about a
// request and each change of the process's state or of its view of other processes.
// Recording an event never blocks: events are buffered in a bounded queue, and dropped events
// are counted.
//
// Under load, the log samples whole requests instead of single events. The hash of the request
// id alone selects them, so that all nodes keep the same requests: a node that keeps fewer
// keeps a subset of what the others keep. Successes are dropped first, then refusals, then
// failures.
package eventlog

import "time"

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	ProcessStarted Kind = iota
	StartDelayed
	StartResumed
	StartFailed
	ProcessStopping
	ProcessStopped
	HandlerPanicked
	ServerError
	MachineResumed
	ProcessStalled
	SettingsReloaded
	DependencyLost
	DependencyRegained
	StoreRestored
	EntryPassedOver
	RecordRewritten
	DepartureHeard
	DepartureUntold
	StartSent
	ConfigurationTaken
	ConfigurationRejected
	TargetChanged
	TargetEnded
	TargetRateChanged
	TargetRateMalformed
	TargetLoadMalformed
	TargetLeaving
	RequestQuarantined
	QuarantineTrial
	QuarantineLifted
	QuarantineRefused
	RecordRejected
	HeartbeatRefused
	HomeChanged
	HomeSuspected
	HomeTrusted
	LeaseGranted
	LeaseLost
	KeyRefused
	LimitRefused
	ShardChanged
	PolicyFailed
	LimitChanged
	AdmissionChanged
	ServiceThresholdChanged
	RequestAnswered
	RequestRefused
	RequestFailed
	RequestRetried
	RequestAbandoned
	CallRefused
	CallFailed
	CallResumed
	ResponseUnmatched
	ConnectionAvoided
	MemoryShort
	StoreCalls
	EventsLost
	kindCount
)

// class is a sampling class. Each class has its own limit of events per second.
type class uint8

const (
	// stateChange events report changes of the process's state and of its view of other
	// processes.
	stateChange class = iota
	// failure events report failed requests, and refused calls of requests that were
	// admitted.
	failure
	refusal
	success
	classCount
)

type kindInfo struct {
	name        string
	class       class
	description string
}

var kinds = [kindCount]kindInfo{
	ProcessStarted:          {"process-started", stateChange, "the process has started to serve; outcome is its build version"},
	StartDelayed:            {"start-delayed", stateChange, "the step of the start that outcome names cannot be completed yet and is tried again; peer is its address or file, reason the error"},
	StartResumed:            {"start-resumed", stateChange, "a step of the start that was delayed is completed; duration is the time since its first failure"},
	StartFailed:             {"start-failed", stateChange, "a step of the start failed for good and the process exits; reason is the error, duration the time since its first failure"},
	ProcessStopping:         {"process-stopping", stateChange, "a planned stop began; `request-refused` with \"the node is about to end\" then tells how long the request may take"},
	ProcessStopped:          {"process-stopped", stateChange, "the process exits; count is the number of requests and calls still in flight"},
	HandlerPanicked:         {"handler-panicked", failure, "the handler of a request at the address peer panicked, a fault of the program; reason is the panic and where it happened; the answer says that the request may have run, or is cut off"},
	ServerError:             {"server-error", stateChange, "the HTTP server at the address peer reports the error in reason, such as a connection that could not be accepted"},
	MachineResumed:          {"machine-resumed", stateChange, "the machine was suspended and has resumed; age is the total time suspended since the process started"},
	ProcessStalled:          {"process-stalled", stateChange, "the process did not run for duration, because it got no CPU time, waited for memory or was stopped; count is the number of requests in flight"},
	SettingsReloaded:        {"settings-reloaded", stateChange, "the settings were reloaded; outcome says what was applied, reason why the previous settings were kept"},
	DependencyLost:          {"dependency-lost", stateChange, "peer stopped responding; reason is the first error"},
	DependencyRegained:      {"dependency-regained", stateChange, "peer responds again; age is how long it did not"},
	StoreRestored:           {"store-restored", stateChange, "the store was restored from a backup; version is its new epoch, previous the one before, peer the source of the information"},
	EntryPassedOver:         {"entry-passed-over", stateChange, "the store listed the entry whose key is peer with the older revision version; the replica keeps revision previous, which it considers newer"},
	RecordRewritten:         {"record-rewritten", stateChange, "a record of the node, or its knowledge about target, was lost when the store was restored from a backup or would expire, and is written again; outcome is the result"},
	DepartureHeard:          {"departure-heard", stateChange, "a peer reported, before the store did, that target, the local target of the node at peer, is leaving"},
	DepartureUntold:         {"departure-untold", stateChange, "the node at peer could not be notified that its local target, target, has left; reason is the error"},
	StartSent:               {"start-sent", stateChange, "the state of the local target, target, was sent to count peers because the store is unavailable; reason is the error of one that it could not be sent to"},
	ConfigurationTaken:      {"configuration-taken", stateChange, "configuration version became active; previous is the version before, peer the source"},
	ConfigurationRejected:   {"configuration-rejected", stateChange, "a configuration from peer was rejected; reason says why"},
	TargetChanged:           {"target-changed", stateChange, "the local target is now in state outcome, or stopped accepting connections (unreachable) or accepts them again (reachable); version is the sequence number of its heartbeat"},
	TargetEnded:             {"target-ended", stateChange, "the local target terminated without announcing that it leaves; count is the number of calls that it interrupted, reason the evidence"},
	TargetRateChanged:       {"target-rate-changed", stateChange, "outcome is the rate limit in force that the local target announced, previously that in reason; request is the call whose response announced it, status that response's, age the time since the call was sent"},
	TargetRateMalformed:     {"target-rate-malformed", stateChange, "the local target announced a rate limit that is not a decimal number, so that the one in outcome stays in force; reason is the error"},
	TargetLoadMalformed:     {"target-load-malformed", stateChange, "the local target reported its load in a form that cannot be read, which is ignored; reason is the error; logged once for each start of the target"},
	TargetLeaving:           {"target-leaving", stateChange, "the local target announced in a response that it is leaving; request is the call, status that of the response, age the time since the call was sent"},
	RequestQuarantined:      {"request-quarantined", stateChange, "requests with the fingerprint are refused from now on, because count targets in a row crashed while running them; reason is the source of the information, wait the time until a trial run"},
	QuarantineTrial:         {"quarantine-trial", stateChange, "this node makes a trial run of the quarantined request; count is the number of trial runs at all nodes so far"},
	QuarantineLifted:        {"quarantine-lifted", stateChange, "requests with the fingerprint are no longer refused; reason says why"},
	QuarantineRefused:       {"quarantine-refused", refusal, "the request was refused because count targets in a row crashed while running requests with its fingerprint; wait is the retry delay, peer the home that refused it if this node did not know of the quarantine"},
	RecordRejected:          {"record-rejected", stateChange, "the store entry whose key is peer could not be read; reason says why"},
	HeartbeatRefused:        {"heartbeat-refused", stateChange, "a heartbeat was not acknowledged; reason says why"},
	HomeChanged:             {"home-changed", stateChange, "the record of the home at peer is now in state outcome; version is the revision of the record, reason the source of the information"},
	HomeSuspected:           {"home-suspected", stateChange, "the home at peer is suspected of having failed and gets no requests; reason says why"},
	HomeTrusted:             {"home-trusted", stateChange, "the home at peer gets requests again; age is how long it was suspected"},
	LeaseGranted:            {"lease-granted", stateChange, "a lease was granted; version is its number"},
	LeaseLost:               {"lease-lost", stateChange, "the lease ended without an action of this node; version is its number"},
	KeyRefused:              {"key-refused", refusal, "the request's API key was refused or could not be checked; age is the time since the configuration was verified, version the configuration version, wait the retry delay"},
	LimitRefused:            {"limit-refused", refusal, "the tenant named by outcome got no permit for the request, or no holder could be asked (reason); count is the number of holders asked, wait the retry delay"},
	ShardChanged:            {"shard-changed", stateChange, "this node acquired (outcome held) or lost (outcome lost) the shard count of tenants' rate limits; reason says why"},
	PolicyFailed:            {"policy-failed", stateChange, "the route's policy could not be evaluated; its fallback result applies"},
	LimitChanged:            {"limit-changed", stateChange, "count is the new concurrency limit of the local target"},
	AdmissionChanged:        {"admission-changed", stateChange, "count is the shed threshold as a percentage of all ranks; reason is the queueing delay that caused the change"},
	ServiceThresholdChanged: {"service-threshold-changed", stateChange, "requests that need service are refused where they enter if their rank is at or above count, a percentage of all ranks, according to the reports of its homes; 100 refuses none"},
	RequestAnswered:         {"request-answered", success, "a response of a target was returned to the caller"},
	RequestRefused:          {"request-refused", refusal, "the request was refused without having run; wait is the retry delay, and reason names the service without room, if that is why, and its return place if such places are given"},
	RequestFailed:           {"request-failed", failure, "the request failed and may have run"},
	RequestRetried:          {"request-retried", refusal, "the request is sent to another home; reason says why the previous home did not serve it"},
	RequestAbandoned:        {"request-abandoned", refusal, "the caller disconnected before the response, or closed its side of the connection; in the second case it receives 502 with an unknown outcome, or the refusal of a request that has not run"},
	CallRefused:             {"call-refused", refusal, "the local home refused a call; count is the queue length"},
	CallFailed:              {"call-failed", failure, "the call to the target yielded no usable response; reason says why and quotes the beginning of bytes that are no valid status line; fingerprint is set if the call was interrupted"},
	CallResumed:             {"call-resumed", failure, "the connection to the home at peer became silent; the call was resumed over a new connection"},
	ConnectionAvoided:       {"connection-avoided", refusal, "the call was not sent again over a connection on which the target rejected it; outcome is the one that it took: idle or new"},
	MemoryShort:             {"memory-short", stateChange, "a message was refused because messages take all the memory that they may; outcome is what it is held for, count the bytes that are held; at most one event a second"},
	ResponseUnmatched:       {"response-unmatched", failure, "the target sent a response without the ID of the call that waits for one; reason names its ID, status is its status, age the time since the call was sent"},
	StoreCalls:              {"store-calls", stateChange, "count calls to the store since the previous event; outcome lists them by purpose, call and outcome"},
	EventsLost:              {"events-lost", stateChange, "count events were dropped from the log since the previous event; outcome is the number of each kind"},
}

// String returns the name of the kind in log lines and metrics.
func (k Kind) String() string { return kinds[k].name }

// Event is a decision or state change with its inputs. Zero fields are omitted from the log
// line.
type Event struct {
	Kind Kind
	// Request is the id of the request that the event is about.
	Request string
	// Route, Service and Target are the subjects of the decision. Peer is the other process
	// involved, or the key of a store entry.
	Route, Service, Target, Peer string
	// Fingerprint identifies the content of a request. It is the same for all attempts.
	Fingerprint string
	// Reason is the decisive input, Outcome the result. Detail is appended to the reason of events
	// that are written, so that dropped ones cost no formatting.
	Reason, Detail, Outcome string
	Status                  int
	Attempt                 int
	Count                   int
	// Version and Previous are the numbers of configurations, records, leases or heartbeats.
	Version, Previous uint64
	// Age is the age of the decisive input, Wait a retry delay, and Duration the time that
	// the subject of the event took, such as the time since a request arrived.
	Age, Wait, Duration time.Duration
}
