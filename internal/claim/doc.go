// Package claim lets a call that carries an idempotency key run at most once
// in the whole cluster.
//
// A coordinator, the node that a call entered, asks the replicas of a roster
// for the claim of the call's key and runs the call only when a majority of
// the roster granted it. Replicas hold claims in memory. The roster is kept in
// the platform's store and names each replica by its boot id, so that a
// process that restarted without memory is no longer a replica; it returns by
// copying the claims of a majority.
//
// Replica, Coordinator and Roster are pure state machines: they do no input
// or output, start no goroutines and take the time as an argument. Service,
// Claimer and Manager connect them to the network and the store.
//
// docs/decisions/0002-at-most-once.md has the algorithm and why it is safe.
package claim
