// Package membership maintains each node's list of cluster members and detects failed members.
//
// The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002): in every period a node probes
// one member, directly and then through other members. A member that does not answer is
// suspected, and is declared dead if it does not refute the suspicion in time by raising its
// incarnation. Member updates are piggybacked on the probe datagrams. Each update is sent a
// number of times that is logarithmic in the cluster size, so the bytes that a node sends per
// period do not depend on that size. For anti-entropy, nodes whose lists differ also exchange
// full lists over HTTP.
//
// The state machine is deterministic: [Membership.Step] and [Membership.HandlePacket] drive it
// and take the time as an argument; [Membership.Run] is a thin driver with a real clock. The
// state machine also compares its clocks with those of the previous step to detect that its
// process was paused, and reports a pause before it does anything else.
// [Membership.ListReliable] reports whether the node may still act on its list.
//
// The exported methods of Membership are safe for concurrent use, except that Step and
// HandlePacket must be called from one goroutine.
package membership
