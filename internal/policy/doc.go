// Package policy compiles and evaluates the policies of services.
//
// A policy is up to four short expressions: admit (may the call go ahead),
// rank (its criticality), retry (how many retries this hop may make) and
// refuse (the seconds told in Retry-After). The expressions are written in a
// subset of the expr language. Every fault is found when a policy is
// compiled: what passes is total. It has no loops, its cost is bounded by
// MaxNodes, MaxSourceBytes and MaxInputBytes, and it can't fail for any
// value of the variables inside MaxInputBytes.
//
// A policy only narrows what the engine allows: the retry budget, the rule for
// calls that are not repeatable and the limits of targets hold whatever a
// policy says.
package policy
