// Package emulator stands in for the targets of a mesh: many HTTP servers in
// one process, each with slots, a bounded number of connections, sampled
// service times, downstream calls, cold starts, drains and faults.
//
// Every execution that starts is recorded, so that a test can compare what
// callers were told with what was run. A control listener changes faults while
// calls are running.
package emulator
