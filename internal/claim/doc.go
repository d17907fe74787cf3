// Package claim ensures that a call with an idempotency key runs at most once
// in the whole cluster.
//
// The coordinator, which is the node that received the call, requests a claim
// of the call's key from the replicas in the roster and runs the call only if
// a majority of the roster grants the claim. Replicas hold claims in memory.
// The roster is stored in the platform's store and identifies each replica by
// its boot ID, so a process that restarted and lost its memory is no longer a
// replica. It becomes one again by copying the claims of a majority.
//
// Replica, Coordinator and Roster are pure state machines: they perform no
// I/O, start no goroutines and take the time as an argument. Service, Claimer
// and Manager connect them to the network and the store.
//
// docs/decisions/0002-at-most-once.md describes the algorithm and why it is
// safe.
package claim
