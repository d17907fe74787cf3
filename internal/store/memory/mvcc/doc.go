// Package mvcc keeps keys with revisions, a bounded history of changes and
// leases in memory. It is the engine below the in-memory store and below the
// lab's stand-in for the platform's key-value service.
//
// Revisions start at one, as in etcd; the first write has revision two. All
// changes of one commit, and all removals by one expired lease, share one
// revision. Leases expire by the clock that the configuration gives; expiry
// takes effect at the next method call, so watchers must call EventsAfter
// from time to time.
package mvcc
