// Package limit adapts the concurrency limit of one target.
//
// The limit varies between a minimum and a ceiling, which is the smaller of the
// target's declared slots and connections. The control law combines two
// published algorithms:
//
//   - Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of
//     the Increase and Decrease Algorithms for Congestion Avoidance in Computer
//     Networks", 1989). Success while the limit is in use raises it at the rate
//     of one ceiling per RampTime. An overload answer or a series of timeouts
//     multiplies it by a factor below 1, at most once per window.
//   - Delay gradient (Brakmo and Peterson, "TCP Vegas", 1994; Netflix
//     concurrency-limits, Gradient2). The median latency of a batch of recent
//     calls is compared with a slow moving average of such medians. Medians are
//     compared because a mix of cheap and expensive calls changes a mean much
//     more, and because the minimum of a batch carries almost no information
//     where service times vary (see gradientBatch).
//
// # Slow dependencies
//
// Latency alone does not show whether a target queues calls because of this
// limit or waits for a slow dependency. In the second case concurrency at the
// ceiling is right: throughput is concurrency divided by latency, so a cut
// loses goodput without reducing latency. Three rules keep the limit from
// collapsing in that case.
//
//   - A gradient cut is an experiment, which is evaluated by calls that began
//     after it. If their median latency did not fall along with the
//     concurrency, the latency has another cause: the new latency becomes the
//     baseline, and the limit rises again.
//   - Gradient cuts never go below GradientFloor of the ceiling.
//   - Timeouts that are mixed with successes never cut below TimeoutFloor of
//     the ceiling. Timeouts may cut to the minimum only when no call succeeds
//     any more, which is a long series of timeouts without a success. There is
//     no goodput to lose then, and calls that occupy slots of a hung target
//     make callers miss their deadlines.
//
// An overload answer is an explicit signal from the target, so it may cut to
// the minimum.
package limit
