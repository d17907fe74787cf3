// Package adminclient is a client of the administration API of one or more nodes.
//
// Reads are sent to the node that responded last and, if it fails, to the other
// nodes in turn. A write is sent to one node only, once: if its response is lost,
// the client looks up the change by its id, at any node, before it reports the
// outcome.
package adminclient
