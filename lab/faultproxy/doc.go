// Package faultproxy is a TCP and UDP proxy that puts faults between two
// processes: latency, jitter, loss, cuts, half-open connections, bandwidth
// limits, truncation, and bytes that are held back and come late.
//
// A proxy listens for TCP and UDP on one port number, as a node does. The
// faults of its two directions are independent and may change while traffic
// moves.
package faultproxy
