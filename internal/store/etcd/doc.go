// Package etcd implements the store over the JSON-over-HTTP form of the etcd
// v3 API.
//
// Requests are paced with a token bucket, so that the service's rate limit
// holds. Reads that fail are tried once at each endpoint. A write is sent at
// most once: it goes to the next endpoint only when no byte of it has left the
// process. When its answer is lost, or does not say for certain that nothing
// took effect, the error is store.ErrUnknownOutcome.
package etcd
