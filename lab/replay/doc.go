// Package replay plays recorded traces against the product's decisions in
// virtual time and compares what happened with the outcomes that the trace
// states. The same trace gives the same report, byte for byte, every time.
//
// The player drives the product's own packages: policy, catalog, configuration,
// the gateway's router with its pickers and shed table, limit, scheduler, shed,
// retrybudget, resend and claim. What it repeats by itself is the order in which
// the gateway and the home call these packages, since both are bound to sockets;
// integration tests with real processes cover that part.
//
// Calls that wait in a queue sleep on the scheduler's own timers. Those follow
// a virtual clock only in a bubble of testing/synctest, which exists only in
// tests. The tests of this package therefore play all traces; the command
// plays those in which no call waits and tells of the others that it did not
// play them.
//
// docs/REPLAY.md describes the format.
package replay
