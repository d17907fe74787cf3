// Package storetest is the conformance test of store implementations. Each
// implementation's own tests call Run.
package storetest
