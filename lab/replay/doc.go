// Package replay plays recorded traces against the decision logic of lugspur in
// virtual time and compares the results with the outcomes that the trace expects.
// Playing is deterministic: the same trace always gives the same report, byte for
// byte.
//
// The player uses the production packages: policy, catalog, configuration, the
// gateway's router with its pickers and shed table, limit, scheduler, shed,
// retrybudget, resend and claim. It reimplements only the order in which the
// gateway and the home call them, because both depend on sockets; integration
// tests with real processes cover that part.
//
// Queued calls wait for the scheduler's own timers, which follow a virtual clock
// only in a bubble of testing/synctest and thus only in tests. The tests of this
// package therefore play all traces. The command plays those in which no call is
// queued, and reports the others as not played.
//
// docs/REPLAY.md describes the format.
package replay
