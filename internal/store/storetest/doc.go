// Package storetest contains the conformance tests for implementations of
// store.Store. The tests of each implementation call Run.
package storetest
