// Package mvcc is an in-memory multi-version key-value engine with a bounded
// history of changes and with leases. The in-memory store uses it, and so does
// the lab's replacement for the platform's key-value service.
//
// Revisions start at one, as in etcd; the first write has revision two. All
// changes of one commit, and all removals by one expired lease, share one
// revision. Leases expire by the configured clock. An expiry takes effect at the
// next method call, so watchers must poll EventsAfter.
package mvcc
