// Package test runs lugspur, the targets and the store as separate processes and
// compares the answers that callers get with what the targets have executed.
package test
