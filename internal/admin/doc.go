// Package admin serves the administration API: operators read and change
// targets, services, policies and drains, and see what a node does.
//
// Every node serves it. Reads come from the node's replica of the
// configuration and may be a little behind the store. Writes go to the store,
// whose compare-and-swap is the only acceptance; a write whose answer was lost
// is answered with the outcome "unknown" and the URL at which to ask for it.
// docs/ADMIN-API.md lists every route.
package admin
