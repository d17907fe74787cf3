// Package configuration keeps every node's replica of the operators' objects
// and carries accepted revisions from the store to all nodes.
//
// The store is the only place where a change is accepted, by compare-and-swap.
// The Writer makes such changes and never misstates their outcome. The Replica
// holds the newest known version of every object and takes only higher
// revisions; a deletion is a version too. The Spreader keeps the replica up to
// date: a few nodes in each zone watch the store, every node passes news on to
// random peers (push), and nodes compare constant-size digests and fetch what
// they miss from each other (pull). The store therefore serves a number of
// watches that depends on the number of zones and not on the number of nodes.
//
// The floor of a replica is the revision up to which it is known to be
// complete: of every object it then holds the version in force at the floor or
// a later one, or nothing when the object did not exist.
package configuration
