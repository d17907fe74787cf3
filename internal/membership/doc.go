// Package membership keeps each node's list of the nodes of its cluster and
// detects failed ones.
//
// The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002): every period a
// node probes one member, directly and then through others; a member that does
// not answer is suspected, and declared dead if it does not refute the
// suspicion in time by raising its incarnation. Changes of members ride on the
// datagrams of the probes, each sent a number of times that is logarithmic in
// the size of the cluster, so that the bytes a node sends in a period do not
// depend on that size. Full lists are exchanged over HTTP, and only between
// nodes whose lists differ.
//
// The state machine is deterministic: it is driven by [Membership.Step] and
// [Membership.HandlePacket] with the time as an argument, and [Membership.Run]
// is a thin driver with a real clock. It watches its own clock too: a process
// that was paused reports it before it acts on anything else, and
// [Membership.Confident] tells whether the node may still trust its list.
//
// The exported methods of Membership are safe for concurrent use, except that
// Step and HandlePacket belong to one goroutine.
package membership
