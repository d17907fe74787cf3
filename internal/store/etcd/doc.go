// Package etcd implements store.Store with the JSON-over-HTTP form of the etcd
// v3 API.
//
// A token bucket keeps requests within the service's rate limit. A failed read
// is tried once at each endpoint. A write is sent at most once: it goes to the
// next endpoint only if no byte of it has left the process. If its response is
// lost, or does not establish that nothing took effect, the error is
// store.ErrUnknownOutcome.
package etcd
