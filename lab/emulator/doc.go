// Package emulator emulates the targets of a mesh: many HTTP servers in one
// process, each with slots, a bounded number of connections, sampled service
// times, downstream calls, cold starts, drains and faults.
//
// Every execution that starts is recorded, so that a test can compare the
// responses that callers received with the executions. A control listener
// changes faults while calls are running.
package emulator
