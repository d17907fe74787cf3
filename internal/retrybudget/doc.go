// Package retrybudget bounds retries in three ways.
//
// Ledger bounds the retries of one request over its whole call chain. The node at
// which the request entered opens a budget, and each retry at any hop asks for one
// grant. Only the ledger counts, so the bound holds however many nodes retry
// concurrently. A request without a budget gets no retry.
//
// Allowance bounds the retries of all nodes together: each node earns budget for
// retries from the first attempts that it sends itself, so the sums over all nodes
// obey the same bound as each node.
//
// Ratio bounds the retries of one node to a share of its successes plus a small
// reserve, as in Finagle's RetryBudget and the per-client retry budget of
// "Handling Overload" (Site Reliability Engineering, 2016). When all calls fail
// there are no successes, so retries stop instead of multiplying the load.
package retrybudget
