// Package kvstore is a test server for the platform's key-value service.
//
// It implements the subset of the etcd v3 JSON gateway API that package wire
// defines: ranges, puts, deletes, transactions, compaction, leases and watches
// with progress notifications. It can limit the request rate and injects faults
// on demand: outages, latency, and dropped responses of applied writes.
// Transactions may contain puts and deletes; nested ranges and transactions are
// rejected.
package kvstore
