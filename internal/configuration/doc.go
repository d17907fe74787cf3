// Package configuration replicates the configuration objects that operators
// manage from the store to every node.
//
// Only the store accepts changes, by compare-and-swap. The Writer submits
// changes and reports a definite outcome only when it is certain. The Replica
// holds the newest known version of every object and applies only higher
// revisions; a deletion is a version too. The Syncer keeps the replica up to
// date: a few nodes in each zone watch the store, every node forwards new
// versions to random peers (push), and nodes compare constant-size digests and
// fetch missing versions from each other (pull). The number of watches on the
// store therefore depends on the number of zones, not on the number of nodes.
//
// The floor of a replica is the revision up to which it is complete: for every
// object it holds the version current at the floor or a later one, or nothing
// if the object did not exist.
package configuration
