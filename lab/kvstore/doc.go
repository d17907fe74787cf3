// Package kvstore is the lab's stand-in for the platform's key-value service.
//
// It speaks the part of the etcd v3 API's JSON-over-HTTP form that package
// wire describes: ranges, puts, removals, transactions, compaction, leases and
// watches with progress notifications. It can limit the rate of requests and
// produces faults on demand: outages, latency, and answers that are dropped
// after their write took effect. Transactions hold puts and removals; ranges
// and transactions inside them are refused.
package kvstore
