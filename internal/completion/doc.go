// Package completion decides which requests may start at a home whose requests make calls of
// their own, so that the ones that start also complete.
//
// The load that it addresses is a service at the end of call chains that has too little
// capacity. Each request needs several of its calls, so that refusing single calls there fails
// many requests whose earlier calls were already served.
//
// # Inputs
//
// The controller of a home gets the rank of each call that arrives, and the result of each run
// that made calls: complete, failed for lack of capacity, or failed for another reason. A call
// lacks capacity if a queue refused, evicted or delayed it for too long. Rejections by targets,
// exhausted retry budgets, crashes and callers that disconnected are other reasons: admitting
// fewer requests would not help against them.
//
// Results are weighted by their age with a time constant of 250 ms. A result is known when
// its run ends, so a failure is at most as old as the run's timeout.
//
// # Algorithm
//
// The threshold over ranks follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat
// Microservices", SoCC 2018): it is derived from a histogram of arrivals by rank. The rate to
// admit follows CUBIC (Ha, Rhee, Xu, "CUBIC: A New TCP-Friendly High-Speed TCP Variant", SIGOPS
// 2008). When more than a twentieth of the recent runs fail for lack of capacity, it becomes
// 0.85 of the rate at which runs complete, but not less than a third of what arrives. Then it
// grows with each tick, first slowly and then faster, until nothing is refused. If no called
// service refuses calls any more, it grows by a quarter with each tick: a burst that is over
// needs no caution.
//
// Two delays determine the constants. A threshold takes about half a second to reach the nodes
// that refuse, so failures of runs that began before do not lower it again, while their
// completion shows the capacity. A run that was admitted in excess fails only after one of its
// calls has waited for its maximum time, so the rate must hardly grow for 2 s.
//
// The decision is local to a home. Thresholds reach the nodes where requests enter with
// replies, like those of the homes' queues (package pressure).
package completion
