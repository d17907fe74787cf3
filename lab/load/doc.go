// Package load is an open-loop load generator for a mesh: calls start at
// moments drawn from a seeded Poisson process, whether or not earlier ones
// have been answered, and latencies count from the intended start, so that a
// slow mesh can't slow the generator down.
//
// Every answer is checked to be the complete one to its call. The generator
// measures its own lateness and says when it was the bottleneck; a run in
// which calls couldn't be sent is marked invalid.
package load
