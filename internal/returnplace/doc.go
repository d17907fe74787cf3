// Package returnplace gives requests that an entry node refuses for lack of capacity a time to
// return, and admits those that return on time.
//
// Load: more requests of a route and level than its call chain has capacity for, so that a
// threshold refuses some of them. If all callers are told the same delay, they return at the
// same time, most of them are refused again, and their second refusal is final.
//
// Inputs: the requests of each route and level that the node admitted in the last 2 s, and the
// time of each refusal with the caller's deadline. Both are the node's own and current; no
// message is sent for them and nothing is stored.
//
// Algorithm: the times of places follow the virtual scheduling form of the Generic Cell Rate
// Algorithm (ITU-T recommendation I.371): the next place is one interval after the last, or as
// soon as permitted if that time has passed. The interval corresponds to half of the rate of
// admitted requests. Places are a reservation, so returning requests are admitted without
// regard to the threshold, each place one request.
package returnplace
