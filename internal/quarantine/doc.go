// Package quarantine finds requests that crash the targets which run them (queries of
// death) and keeps them from further targets.
//
// A request is known by the fingerprint of its content, because each try has an id of its
// own and may begin at any node. The node beside a target that crashed reports the
// fingerprints of the calls that broke off, and for each the crashes in a row: one more
// than were known when the call began. Runs that were under way side by side thus count
// once, and the order in which reports arrive does not matter. A call that ends with an
// answer of its target clears its fingerprint: a query of death never does so.
//
//   - A suspect of one crash goes on as any other request.
//   - A suspect of isolationCrashes runs alone: at one home of the service, which all nodes
//     find by themselves, one suspect after the other. So one crash blames one of them.
//   - A request with quarantineCrashes is refused by all nodes, where it begins and beside
//     the targets.
//
// Reports go from the node beside the target to all others at once (Spread). Verdicts lie
// in the store as well (Keeper), where nodes that start find them. A verdict ends after a
// trial run that brought an answer; a trial needs a transaction, so that all nodes together
// make one at a time, and none while the store is away.
package quarantine
