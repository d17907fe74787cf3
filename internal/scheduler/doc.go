// Package scheduler admits the calls to one target at its home node: it
// enforces a concurrency limit, with a short, bounded priority queue in front.
//
// # Order
//
// A waiter of a more important criticality level is always served first. The
// order within a level depends on whether the target is overloaded:
//
//   - Not overloaded: by arrival.
//   - Overloaded: round-robin over callers, each caller's newest call first.
//     Newest first (adaptive LIFO, Maurer, "Fail at Scale", ACM Queue 2015)
//     serves calls whose callers are still waiting. Round-robin over callers
//     (fair queueing, Demers, Keshav and Shenker, 1989) keeps a caller that
//     retries aggressively from taking more than its share of the level. It was
//     chosen over "fewest in service first" because it needs no per-caller count
//     outside the queue and therefore no memory beyond the queue's bound.
//
// The cohort does not affect the order within a level. It matters to the upstream
// shed threshold (package shed), which sheds by caller on purpose.
//
// # Overload
//
// The target counts as overloaded when the age of the oldest waiter has stayed
// above Target for Interval, as in CoDel (Nichols and Jacobson, "Controlling
// Queue Delay", 2012). It stops counting as overloaded as soon as that age is
// at or below Target or the queue is empty.
//
// # Dropping
//
// A call that can no longer meet its deadline is refused, both on arrival and when it
// reaches the head of the queue. This is assumed when less time remains than the
// expected service time, a low quantile of the target's recent latencies, so that
// only calls that would almost certainly fail are dropped. The estimate halves for
// each estimateHalfLife without a completion, so that a stale estimate cannot block a
// target forever. A waiter also leaves the queue after MaxWait, at the last moment at
// which it could still finish, and when its context ends. A waiter of the highest
// level may wait for a third of its remaining time if that is longer, since it is
// next in line.
//
// When the queue is full, a more important arrival evicts a waiter of the least
// important level queued. Within that level the caller with the most waiters
// loses one: its oldest while overloaded, its newest otherwise. An arrival of
// that same level competes by the same rule, with itself counted, so that a
// caller with few waiters displaces one with many.
//
// # Giving back
//
// A waiter whose request names an alternative is refused with EarlierElsewhere if it would complete
// much earlier there. Package pace decides this from the queue in the order of service, the limit and
// the current pace of the target.
package scheduler
