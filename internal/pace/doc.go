// Package pace decides where calls go by the current speed of targets.
//
// Load: the targets of a service differ in speed, some of them take several times as long as
// usual for a few hundred milliseconds, and the demand of zones changes within seconds.
//
// Inputs: a target reports its load with its responses: running and waiting calls, slots, and
// its pace, the current duration of work in percent of its usual duration. The home keeps the
// last pace in a Tracker and passes it on with its age in a Reading. The entry node knows the
// number of calls at the home and the usual duration of a call, which the home measures with each
// sample divided by the pace. A pace counts less the older it is, and as usual after MaxAge. A
// home that reports none counts as usual.
//
// Decision: an Estimate is the expected time until a call at a home is complete: wait for a slot,
// duration and distance. The entry node chooses the home where it is least. This is the
// "minimum completion time" heuristic of Ibarra and Kim ("Heuristic Algorithms for Scheduling
// Independent Tasks on Nonidentical Processors", 1977), applied to each call on arrival.
//
// Calls that already wait are moved too. The entry node sends the expected time at the best home but
// the chosen one with the call. Returns reviews the queue of a home and gives calls back that would
// complete much earlier there (jockeying with a threshold, Zhao and
// Grassmann, "The Shortest Queue Model with Jockeying", 1990). Inputs are the queue in the order of service, the limit and
// the current pace; the time elsewhere is as old as the wait of the call, and is not used from MaxAge.
package pace
