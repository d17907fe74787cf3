// Package limit adapts the concurrency limit of one target.
//
// The limit moves between a minimum and a ceiling, which is the smaller of the
// target's declared slots and connections. The control law combines published
// ideas:
//
//   - Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of
//     the Increase and Decrease Algorithms for Congestion Avoidance in Computer
//     Networks", 1989). Success while the limit is in use raises it at one
//     ceiling per RampTime; an overload answer or a run of timeouts cuts it by a
//     factor, at most once a window.
//   - Delay gradient (Brakmo and Peterson, "TCP Vegas", 1994; Netflix
//     concurrency-limits, Gradient2). The minimum latency of recent calls is
//     compared with the minimum over the long term; minima are compared because
//     a mix of cheap and dear calls moves a mean but hardly a minimum.
//
// # A target that is merely slow
//
// Latency alone does not tell whether a target queues because of this limit or
// waits for a slow service below it. In the second case concurrency at the
// ceiling is right: throughput is concurrency divided by latency, so a cut
// loses goodput and shortens nothing. Three rules keep the limit from
// collapsing then.
//
//   - A gradient cut is an experiment. It is judged by calls which began after
//     it. If their minimum latency did not fall along with the concurrency, the
//     slowness has another cause: the new latency becomes the long-term
//     minimum, and the limit climbs again.
//   - Gradient cuts never go below GradientFloor of the ceiling.
//   - Timeouts which are mixed with successes never cut below TimeoutFloor of
//     the ceiling. Only when nothing succeeds any more, which is a long run of
//     timeouts without one success, may timeouts cut to the minimum: there is
//     no goodput to lose then, and slots held by a hung target cost callers
//     their deadlines.
//
// An overload answer names the target itself, so it may cut to the minimum.
package limit
