// Package scheduler admits the calls of one target at its home node: a
// concurrency limit and in front of it a short, bounded priority queue.
//
// # Order
//
// A waiter of a more important criticality level always goes first. Inside a
// level the order depends on whether the target is overloaded:
//
//   - Not overloaded: by arrival.
//   - Overloaded: callers take turns, and each caller's newest call goes first.
//     Newest first (adaptive LIFO, Maurer, "Fail at Scale", ACM Queue 2015)
//     serves calls whose callers still wait. Turns over callers (fair queueing,
//     Demers, Keshav and Shenker, 1989) keep a caller that retries hard from
//     taking more than its share of the level. Round-robin was chosen over
//     "fewest in service first" because it needs no count per caller outside
//     the queue and therefore no memory beyond the queue's bound.
//
// The cohort inside a level plays no part here; it orders the upstream shed
// threshold (package shed), which cuts along callers on purpose.
//
// # Overload
//
// The target counts as overloaded when the age of the oldest waiter has stayed
// above Target for Interval, as in CoDel (Nichols and Jacobson, "Controlling
// Queue Delay", 2012). It stops counting as overloaded the moment that age is
// at or below Target or the queue is empty.
//
// # Dropping
//
// A call that can no longer finish is refused at once, on arrival and again
// when its turn comes: its deadline is nearer than the expected service time,
// a low quantile of the target's recent latencies, so that only calls which
// would almost surely fail are dropped. The estimate halves for each
// estimateStale without a completion, so that it cannot lock a target out.
// A waiter also leaves after MaxWait, at the last moment at which it could
// still finish, and when its context ends. One of the highest level may wait for
// a third of its remaining time if that is longer, since it is next in line.
//
// When the queue is full, the least important level queued gives way to a more
// important arrival; inside that level the caller with the most queued calls
// loses one: its oldest while overloaded, its newest otherwise. An arrival for
// the least important level itself competes in the same way, its own call
// counted, so that a caller with few queued displaces one with many.
package scheduler
