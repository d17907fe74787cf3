// Package linear records the operations of concurrent clients of the
// administration API, and checks the recorded history against the guarantees of
// the API.
//
// Writes are linearizable compare-and-swap operations. An accepted write took
// effect exactly once, between its call and its response; a refused write never
// took effect; a write of unknown outcome took effect at most once, at any time
// after its call. Reads are served from a node's replica and may be stale: each
// returns a version that was current at some time before the response, and
// within one run of a node's process, an object never goes back to an older
// version.
package linear
