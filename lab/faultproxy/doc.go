// Package faultproxy is a TCP and UDP proxy that injects faults between two
// processes: latency, jitter, loss, cuts, half-open connections, bandwidth
// limits, truncation, and traffic that is held and delivered later.
//
// A proxy listens for TCP and UDP on one port number, as a node does. The
// faults of its two directions are independent and may change during traffic.
package faultproxy
