// Package chaos runs a mesh with lugspur in front of it through a seeded
// schedule of faults, several at once, while callers go on, and has package
// judge look for broken promises in what was recorded.
//
// The same seed gives the same schedule and the same arrivals; what comes of
// them depends on the machine. Every run is bounded in time and count, and all
// child processes are ended, also on an interrupt. docs/CHAOS.md describes the
// faults and the files.
package chaos
