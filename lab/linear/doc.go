// Package linear records what concurrent clients of the administration API ask
// for and are told, and checks the recorded history against what the API
// promises.
//
// Writes are compare-and-swap operations and are linearizable: each accepted
// one took effect once, at a moment between its call and its answer; a refused
// one never did; one of unknown outcome took effect once, at any moment after
// its call, or never. Reads come from a node's replica and may be old: each
// shows a version that was in force before the answer, and within one run of a
// node's process an object never goes back to an older version.
package linear
