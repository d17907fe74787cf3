// Package test runs lugspur, the targets and the store as separate processes
// and checks what callers get against what the targets have executed.
package test
