// Package quarantine detects queries of death, requests that crash the targets that run
// them, and refuses them.
//
// A request is identified by the fingerprint of its content, because each attempt has an ID
// of its own and may start on any node. When a target crashes, its node reports the
// fingerprints of the calls that were open, each with a number of consecutive crashes: one
// more than was known when the call began. Attempts that ran concurrently thus count once,
// and the order in which reports arrive does not matter. A call that its target answers clears
// the fingerprint; a query of death is never answered.
//
//   - A request with one crash is a suspect and is served like any other request.
//   - A request with isolationCrashes runs isolated: at one home of the service (a node with a
//     target of it), which each node determines by itself, one suspect at a time. A further crash can then be attributed
//     to a single one of them.
//   - A request with quarantineCrashes is quarantined: all nodes refuse it, both where it
//     enters and at the targets.
//
// The node of the crashed target broadcasts reports to all other nodes immediately
// (Broadcaster). Quarantines are also recorded in the store (recordStore), where starting
// nodes find them. A quarantine ends when a target answers a trial run. A trial requires a
// store transaction, so that only one runs at a time in the cluster, and none while the
// store is unavailable.
package quarantine
