// Package load is an open-loop load generator for a mesh. Calls start at the
// arrival times of a seeded Poisson process, whether or not earlier calls have
// been answered, and latencies are measured from the intended start, so that a
// slow mesh can't slow the generator down.
//
// Every answer is checked to be the complete answer to its call. The generator
// measures the delay of its own starts and reports when it was the bottleneck; a
// run in which calls couldn't be sent is marked invalid.
package load
