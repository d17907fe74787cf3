// Package ending decides which work a process that is stopping still starts, so that nothing is cut
// when it exits.
//
// It answers the end of a planned stop: the process was asked to stop, exits at a fixed time and is
// killed soon after, but requests go on arriving, as its callers may have no other process to turn
// to. Each request that is cut by the exit leaves its caller without an answer, and one that must not
// run twice with an unknown outcome. Each request that is refused too early is an outage.
//
// Work is admitted only while the duration that is safe to assume fits before the exit. That is asked
// again whenever time has passed: when the body is complete, and before each attempt. It reads
// the usual duration of the route, at most some seconds old.
//
// This is graceful draining with a fixed grace period, as in Envoy and Kubernetes, with admission by
// expected duration in place of closing the listener first.
package ending
