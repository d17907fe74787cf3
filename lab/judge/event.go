package judge

import "time"

// EventKind is what an event tells.
type EventKind string

// The kinds of events. The comment names the fields that are set besides At.
const (
	// NodeStarted is a process that was started: Node.
	NodeStarted EventKind = "node-started"
	// NodeKilled is a process that was killed: Node.
	NodeKilled EventKind = "node-killed"
	// NodeFrozen and NodeResumed are a process that stood still: Node.
	NodeFrozen  EventKind = "node-frozen"
	NodeResumed EventKind = "node-resumed"
	// StopAsked is the beginning of a planned stop, before the signal was sent:
	// Node, Edge.
	StopAsked EventKind = "stop-asked"
	// StopEnded is the end of a process that was stopped as planned: Node; its
	// Detail is empty if the process ended by itself and without an error.
	StopEnded EventKind = "stop-ended"
	// NodeCut and NodeJoined bound the time in which other nodes could not
	// reach a node, or only with loss: Node.
	NodeCut    EventKind = "node-cut"
	NodeJoined EventKind = "node-joined"
	// StoreFaulty and StoreSound bound a fault of the store.
	StoreFaulty EventKind = "store-faulty"
	StoreSound  EventKind = "store-sound"
	// TargetFaulty and TargetSound bound a fault of a target: Target.
	TargetFaulty EventKind = "target-faulty"
	TargetSound  EventKind = "target-sound"
	// DrainAccepted is an operator who was told that a target leaves: Target.
	DrainAccepted EventKind = "drain-accepted"
	// JoinAsked is the moment before an operator asked for a target to take
	// calls again: Target.
	JoinAsked EventKind = "join-asked"
	// ChangeAccepted, ChangeRefused and ChangeUnknown are what an operator was
	// told of a change: Node, Object, ChangeID; accepted ones have a Revision.
	ChangeAccepted EventKind = "change-accepted"
	ChangeRefused  EventKind = "change-refused"
	ChangeUnknown  EventKind = "change-unknown"
	// Observed is an object as a node that takes calls showed it: Node, Object,
	// Revision. Asked is when the node was asked.
	Observed EventKind = "observed"
	// HistoryEntry is a change in an object's history at the end of the run:
	// Node, Object, Revision, ChangeID. All entries of one node are the newest
	// of the object.
	HistoryEntry EventKind = "history-entry"
)

// Event is one thing that happened in a run.
type Event struct {
	At       time.Time `json:"at"`
	Kind     EventKind `json:"kind"`
	Asked    time.Time `json:"asked,omitzero"`
	Node     string    `json:"node,omitempty"`
	Edge     string    `json:"edge,omitempty"`
	Target   string    `json:"target,omitempty"`
	Object   string    `json:"object,omitempty"`
	Revision int64     `json:"revision,omitempty"`
	ChangeID string    `json:"change_id,omitempty"`
	// Detail is for people.
	Detail string `json:"detail,omitempty"`
}
