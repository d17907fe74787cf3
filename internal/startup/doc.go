// Package startup decides about errors of a process's start: which of them may pass by themselves,
// when a failed step is tried again, and when the process gives up.
//
// Many processes start within a short time, often at the address of a predecessor that is still
// ending: addresses are in use, settings are only partly written, and descriptors or memory are
// scarce for a moment. A process that ends at the first such error is not there for its target
// until something starts it again. The decision reads only the error of the latest try and the time
// since the first one. Delays grow exponentially up to a bound; they have no jitter, since what
// the steps compete for belongs to one machine.
package startup
