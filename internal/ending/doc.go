// Package ending decides which work a process that is stopping still starts, so that nothing is cut
// when it exits.
//
// It answers the end of a planned stop: the process was asked to stop, exits at a fixed time and is
// killed soon after, but requests go on arriving, as its callers may have no other process to turn
// to. Each request that is cut by the exit leaves its caller without an answer, and one that must not
// run twice with an unknown outcome. Each request that is refused too early is an outage.
//
// Work is admitted only while the duration that is safe to assume fits before the exit. That is asked
// again whenever time has passed: when the body is complete, before each attempt, and at the home
// right before the call is sent to the target. What is admitted is given a limit before the exit, so
// that even work that takes longer than expected ends with a response.
//
// The package reads the usual duration of the route, at most some seconds old, the tail of the
// durations and the largest response of the last two minutes, and the slowest pace of readers in that
// time.
//
// This is graceful draining with a fixed grace period, as in Envoy and Kubernetes, together with
// deadline propagation, as in gRPC. It departs from both in admitting by expected duration in place of
// closing the listener first, because the process may be the only one that its callers can reach.
package ending
