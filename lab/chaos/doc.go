// Package chaos runs fault-injection tests against a mesh behind lugspur. Faults
// from a seeded schedule, several of them concurrent, are injected under a
// continuous load of calls. Package judge then checks the recording of the run
// for violated guarantees.
//
// The same seed gives the same schedule and the same call arrivals; their
// effects depend on the machine. Every run is limited in duration and number of
// calls, and all child processes are terminated at its end, also on an
// interrupt. docs/CHAOS.md describes the faults and the output files.
package chaos
