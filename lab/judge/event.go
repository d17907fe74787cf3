package judge

import "time"

// EventKind is the type of an event.
type EventKind string

// Event kinds. Each comment lists the fields that are set in addition to At.
const (
	// NodeStarted means that a node's process was started: Node.
	NodeStarted EventKind = "node-started"
	// NodeKilled means that a node's process was killed: Node.
	NodeKilled EventKind = "node-killed"
	// NodeFrozen and NodeResumed mark the interval in which a node's process was
	// suspended: Node.
	NodeFrozen  EventKind = "node-frozen"
	NodeResumed EventKind = "node-resumed"
	// StopRequested marks the start of a graceful stop, before the signal is
	// sent: Node, Edge.
	StopRequested EventKind = "stop-asked"
	// StopEnded marks the end of a graceful stop: Node. Detail is empty if
	// the process exited by itself and without an error.
	StopEnded EventKind = "stop-ended"
	// NetworkFaultBegan and NetworkFaultEnded mark the interval in which a node
	// was unreachable from other nodes, or reachable only with packet loss: Node.
	NetworkFaultBegan EventKind = "node-cut"
	NetworkFaultEnded EventKind = "node-joined"
	// StoreFaultBegan and StoreFaultEnded mark the interval of a store fault.
	StoreFaultBegan EventKind = "store-faulty"
	StoreFaultEnded EventKind = "store-sound"
	// TargetFaultBegan and TargetFaultEnded mark the interval of a target fault:
	// Target.
	TargetFaultBegan EventKind = "target-faulty"
	TargetFaultEnded EventKind = "target-sound"
	// DrainAccepted means that an operator's request to drain a target was
	// accepted: Target.
	DrainAccepted EventKind = "drain-accepted"
	// JoinRequested is recorded just before an operator requests that a drained
	// target take calls again: Target.
	JoinRequested EventKind = "join-asked"
	// ChangeAccepted, ChangeRefused and ChangeUnknown are the outcomes of a
	// configuration change as reported to the operator: Node, Object, ChangeID,
	// and, for accepted changes, Revision. ChangeUnknown means that the client
	// could not determine the outcome.
	ChangeAccepted EventKind = "change-accepted"
	ChangeRefused  EventKind = "change-refused"
	ChangeUnknown  EventKind = "change-unknown"
	// RevisionObserved is the revision of an object that a ready node reported:
	// Node, Object, Revision, and QueriedAt, the time at which the query was
	// sent.
	RevisionObserved EventKind = "observed"
	// HistoryEntry is one entry of an object's change history as reported by a
	// node at the end of the run: Node, Object, Revision, ChangeID. The history
	// is limited in length, so the entries of one node are the newest changes of
	// the object.
	HistoryEntry EventKind = "history-entry"
)

// Event is one recorded event of a run.
type Event struct {
	At        time.Time `json:"at"`
	Kind      EventKind `json:"kind"`
	QueriedAt time.Time `json:"asked,omitzero"`
	Node      string    `json:"node,omitempty"`
	Edge      string    `json:"edge,omitempty"`
	Target    string    `json:"target,omitempty"`
	Object    string    `json:"object,omitempty"`
	Revision  int64     `json:"revision,omitempty"`
	ChangeID  string    `json:"change_id,omitempty"`
	// Detail is a human-readable description.
	Detail string `json:"detail,omitempty"`
}
