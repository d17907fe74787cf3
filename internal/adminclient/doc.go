// Package adminclient talks to the administration API of one or more nodes.
//
// Reads go to the node that answered last and, if it fails, to the others in
// turn. A write goes to one node only, once: if its answer is lost, the client
// asks for the change by its id, at any node, before it reports the outcome.
package adminclient
