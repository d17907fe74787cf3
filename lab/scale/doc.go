// Package scale runs many nodes that act together on one machine and measures
// what a node spends on it and how fast news reaches the last one.
//
// Most nodes are hollow: they take part in the membership over UDP, replicate
// the configuration over HTTP and send the gossip of a real node, with the
// product's own packages, but they serve no calls, place no targets and hold
// no claims. Many hollow nodes share a process. Real nodes run beside them.
package scale
