// Package soak runs nodes of the platform's deployment as real processes, each
// with a target stub, and injects seeded faults from outside: signals; proxies
// that delay, reset, drop or cut in one direction the traffic to the store, to
// peers and to targets; and a store that is down, throttled, expires watches, or
// delays writes or loses their responses. Meanwhile callers send requests, targets
// drain and are replaced, and the configuration changes. The observations of
// callers and targets are then checked against the guarantees of lugspur.
package soak
