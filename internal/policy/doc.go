// Package policy compiles and evaluates the policies of services.
//
// A policy has up to four short expressions: admit (whether the call is
// admitted), rank (its criticality), retry (how many retries this hop may
// make) and refuse (the value of Retry-After, in seconds). The expressions are
// written in a subset of the expr language. All faults are reported at compile
// time, and every expression that compiles is total: it has no loops, its cost
// is bounded by MaxNodes, MaxSourceBytes and MaxInputBytes, and it can't fail
// for any value of the variables within MaxInputBytes.
//
// A policy can only restrict what the engine allows: the retry budget, the rule
// for calls that are not repeatable and the limits of targets apply whatever
// the policy returns.
package policy
