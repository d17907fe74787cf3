// Package routing implements zone-aware load balancing.
//
// A Picker balances the calls to one service. It prefers targets in the caller's
// zone. Within the chosen zone it draws two targets at random, weighted by
// capacity, and picks the one with the lower load (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001). This avoids overloaded targets
// without the herding that occurs if all callers send to the target with the lowest
// load according to stale reports.
//
// # Capacity and load
//
// A target's capacity is slots × weight × warm-up share. The share rises linearly
// from 10% to 100% over the warm-up time. A target's load is the larger of two
// values: this node's own outstanding calls divided by capacity, and the load that
// the target's home node last reported. Reported loads decay linearly to zero over
// ReportDecay, so that the last report of a failed home does not persist.
//
// # Zones
//
// A zone's load is the capacity-weighted average of its targets' loads, each capped
// at 1. Up to SpillThreshold all calls stay in the caller's zone. Above it, a share
// of the calls spills over: it is distributed over all zones, weighted by their spare
// capacity. The share rises linearly from 0 at the threshold to 1 at full load.
// Because spare capacity accounts for the load of the other zones' own callers,
// spilled calls use only unused capacity, and spilling stops when there is none.
//
// Draining targets are never picked.
package routing
