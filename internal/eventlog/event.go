// Package eventlog writes one JSON line for each decision that touches a
// request or changes what the process believes. Recording an event never
// blocks: events wait in a bounded buffer, and what is left out is counted.
//
// Under load the log keeps whole requests instead of events at random. Which ones
// follows from the hash of a request's id alone, so that all nodes keep the same:
// one that keeps fewer keeps a part of what the others keep. Failures are thinned
// later than refusals, and these later than successes.
package eventlog

import "time"

// Kind names what was decided.
type Kind uint8

// The kinds of events.
const (
	ProcessStarted Kind = iota
	ProcessStopping
	ProcessStopped
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
	ConfigurationTaken
	ConfigurationRejected
	TargetChanged
	TargetEnded
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
	RequestAnswered
	RequestRefused
	RequestFailed
	RequestRetried
	RequestAbandoned
	CallRefused
	CallFailed
	CallResumed
	StoreCalls
	EventsLost
	kindCount
)

// class is how early a kind of event is left out under load.
type class uint8

const (
	// belief events tell what the process believes of others and of itself.
	belief class = iota
	// failure events tell of requests that failed, and of refused calls of requests
	// that were admitted.
	failure
	refusal
	success
	classCount
)

type kindInfo struct {
	name  string
	class class
	about string
}

var kinds = [kindCount]kindInfo{
	ProcessStarted:        {"process-started", belief, "the process serves; version is its build"},
	ProcessStopping:       {"process-stopping", belief, "a planned stop began"},
	ProcessStopped:        {"process-stopped", belief, "the process ends; count is the requests still in flight"},
	MachineResumed:        {"machine-resumed", belief, "the machine was suspended; age is for how long in all since the process started"},
	ProcessStalled:        {"process-stalled", belief, "the process stood still for duration, as it got no processor, waited for memory or was stopped; count is the requests that waited for their answers"},
	SettingsReloaded:      {"settings-reloaded", belief, "the settings were read again; reason says what became of them"},
	DependencyLost:        {"dependency-lost", belief, "peer stopped answering; reason is its first error"},
	DependencyRegained:    {"dependency-regained", belief, "peer answers again; age is how long it did not"},
	StoreRestored:         {"store-restored", belief, "the store came back from a copy of an earlier state; version is its epoch, previous the one before, peer who told"},
	EntryPassedOver:       {"entry-passed-over", belief, "a list of the store told the entry that peer names with revision version, and the copy goes on with revision previous, which it takes to be newer"},
	RecordRewritten:       {"record-rewritten", belief, "what the node had written, or knew of target, was lost as the store came back from a copy and is written again; outcome says what became of it"},
	DepartureHeard:        {"departure-heard", belief, "a peer told that target, beside the node at peer, leaves, before the store did"},
	DepartureUntold:       {"departure-untold", belief, "the node at peer, beside target that left, could not be told of that; reason says why"},
	ConfigurationTaken:    {"configuration-taken", belief, "version is in force from now on; previous was before; peer is where it came from"},
	ConfigurationRejected: {"configuration-rejected", belief, "a configuration from peer was not taken; reason says why"},
	TargetChanged:         {"target-changed", belief, "the target beside the node is now in state outcome, or takes connections no longer (unreachable) or again (reachable); version is its heartbeat's sequence number"},
	TargetEnded:           {"target-ended", belief, "the target ended without having said that it leaves; count is the calls that broke off at it, reason how that shows"},
	RequestQuarantined:    {"request-quarantined", belief, "requests with the fingerprint are refused from now on, as count targets in a row crashed under them; reason says who told, wait when a trial run is due"},
	QuarantineTrial:       {"quarantine-trial", belief, "this node makes a trial run of the quarantined request, the count-th of all nodes"},
	QuarantineLifted:      {"quarantine-lifted", belief, "requests with the fingerprint are no longer refused; reason says why"},
	QuarantineRefused:     {"quarantine-refused", refusal, "the request was refused because count targets in a row crashed under its fingerprint; wait is when to come back, peer the home that said so if it was not known here"},
	RecordRejected:        {"record-rejected", belief, "the entry of the store that peer names could not be read; reason says why"},
	HeartbeatRefused:      {"heartbeat-refused", belief, "a heartbeat got no acknowledgement; reason says why"},
	HomeChanged:           {"home-changed", belief, "the record of the home at peer is now outcome; version is the record's revision, reason who told it"},
	HomeSuspected:         {"home-suspected", belief, "the home at peer is passed over; reason says why"},
	HomeTrusted:           {"home-trusted", belief, "the home at peer is used again; age is how long it was passed over"},
	LeaseGranted:          {"lease-granted", belief, "a lease was granted; version is its number"},
	LeaseLost:             {"lease-lost", belief, "the lease ended without this node's doing; version is its number"},
	KeyRefused:            {"key-refused", refusal, "the request's API key was turned away, or could not be checked; age is that of the verification of the configuration, version the configuration's, wait when to come back"},
	LimitRefused:          {"limit-refused", refusal, "the tenant that outcome names has no permit for the request, or no holder could be asked (reason); count is how many holders were asked, wait when to come back"},
	ShardChanged:          {"shard-changed", belief, "this node holds (outcome held) or no longer holds (lost) the shard of tenants' limits that count numbers; reason says why"},
	PolicyFailed:          {"policy-failed", belief, "the route's policy could not be evaluated; its safe result holds"},
	LimitChanged:          {"limit-changed", belief, "count is the new concurrency limit of the target"},
	AdmissionChanged:      {"admission-changed", belief, "count is the shed threshold as a share of all ranks, in percent; reason is the queueing delay that moved it"},
	RequestAnswered:       {"request-answered", success, "a target's answer went back to the caller"},
	RequestRefused:        {"request-refused", refusal, "the request was refused without having run; wait is when to come back"},
	RequestFailed:         {"request-failed", failure, "the request failed and may have run"},
	RequestRetried:        {"request-retried", refusal, "the request goes to another home; reason is why the one before did not do"},
	RequestAbandoned:      {"request-abandoned", refusal, "the caller left before the answer"},
	CallRefused:           {"call-refused", refusal, "the home beside the target refused a call; count is the queue's length"},
	CallFailed:            {"call-failed", failure, "the exchange with the target brought no usable answer; fingerprint is that of a call that broke off"},
	CallResumed:           {"call-resumed", failure, "the connection to the home at peer went silent; the call goes on over a new one"},
	StoreCalls:            {"store-calls", belief, "count calls to the store since the line before; outcome lists them by purpose, call and outcome"},
	EventsLost:            {"events-lost", belief, "count events were left out of the log since the line before; outcome tells how many of each kind"},
}

// String returns the name that log lines and metrics carry.
func (k Kind) String() string { return kinds[k].name }

// Event is one decision with the inputs that led to it. Zero fields are left
// out of the line.
type Event struct {
	Kind Kind
	// Request is the id of the request that the event touches.
	Request string
	// Route, Service and Target name what was decided about; Peer is the other
	// side.
	Route, Service, Target, Peer string
	// Fingerprint tells what the request asks for, the same in each try.
	Fingerprint string
	// Reason is the input that decided, Outcome the result.
	Reason, Outcome string
	Status          int
	Attempt         int
	Count           int
	// Version and Previous number configurations, records, leases, heartbeats.
	Version, Previous uint64
	// Age is how old the deciding input was, Wait a delay told or served,
	// Duration the time since the request arrived.
	Age, Wait, Duration time.Duration
}
