//go:build review

// Package stand holds the stand-ins of the review's scripts: a small deployment of the project's
// nodes on loopback addresses, started with the command and the template of the deploy file, with
// targets and clients that behave as the users' pages say.
package stand
