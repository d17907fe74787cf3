// Package retrybudget bounds retries in three ways.
//
// The Ledger bounds the retries of one request over its whole call chain. The
// node that the request entered opens a budget, and each retry at any hop asks
// for one grant. Only the ledger counts, so the bound holds however many nodes
// retry at the same time, and a request without a budget gets no retry.
//
// Allowance bounds the retries of all nodes together: each node pays for what it
// sends once more out of what it sends for the first time, so that the sums obey
// the bound that each node obeys.
//
// Ratio bounds the retries of one node to a share of its successes plus a small
// reserve, as in Finagle's RetryBudget and the per-client retry budget of
// "Handling Overload" (Site Reliability Engineering, 2016). When everything
// fails there are no successes, and retries stop by themselves instead of
// multiplying the load.
package retrybudget
