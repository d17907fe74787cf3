// Package routing picks the target of a call.
//
// A Picker serves one service. It prefers targets in the caller's zone and,
// inside the chosen zone, draws two targets at random in proportion to capacity
// and takes the one with less outstanding work for its capacity (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001). Two random
// choices avoid both overloaded targets and the herd which would follow a single
// stale "least loaded" report.
//
// # Capacity and load
//
// A target's capacity is slots × weight × warm-up share; the share rises in a
// straight line from 10% to 100% over the warm-up time. Its load is the larger
// of two values: this node's own outstanding calls divided by capacity, and the
// load that the target's home last reported, which fades in a straight line to
// zero over ReportDecay, so that news of a dead home doesn't stick.
//
// # Zones
//
// A zone's load is the average of its targets' loads by capacity, each counted
// up to 1. Up to SpillThreshold all calls stay in the caller's zone. Above it a
// share of calls, which rises from nothing at the threshold to all at full
// load, chooses among all zones in proportion to their spare capacity. Spare
// capacity is shared with the other zones' own callers, so spilling never asks
// a zone for more than it has left, and stops by itself when nothing is left.
//
// A draining target is never picked.
package routing
