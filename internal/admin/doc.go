// Package admin serves the administration API, with which operators read and
// change targets, services, policies and drains and read the status of a node.
//
// Every node serves the API. Reads use the node's replica of the configuration,
// which may lag behind the store. Writes go to the store; a change is accepted
// if and only if its compare-and-swap succeeds. If the store's response is lost,
// the outcome is "unknown" and the response has the URL that resolves it.
// docs/ADMIN-API.md lists every route.
package admin
