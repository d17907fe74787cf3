// Package shed computes and spreads shed levels: a threshold per target or
// service from which on calls are refused upstream, before work is wasted.
//
// A threshold is a rank key (package criticality): calls whose key is at or
// above it are refused, and criticality.RankCount refuses nothing. Because
// the rule is one comparison against one number, a more important call is never
// refused by a threshold that lets a less important one pass.
//
// # Controller
//
// The Controller takes from DAGOR (Zhou et al., "Overload Control for Scaling
// WeChat Microservices", SoCC 2018) the histogram of arrivals by rank, from which
// a threshold follows that lets a wanted rate in. It differs in how that rate
// is found.
//
//   - DAGOR cuts by a fixed share in each period of overload. Thresholds take some
//     hundred milliseconds to reach the nodes that refuse, and a target counts as
//     overloaded until its whole backlog is gone, so that such steps add up: the
//     target runs empty, then full again. Here the wanted rate is what the target
//     serves, corrected in proportion to how far the queue is from its wanted
//     length.
//   - Calls refused upstream are no longer seen here, so the rates at and above the
//     threshold would read zero and the threshold would jump to "none" at once.
//     Those rates are therefore kept, and fade only while the target has room.
//   - With room, the admitted arrivals may grow by 1/utilization, at most doubling
//     each tick. The threshold thus falls back to "none" as fast as the queue
//     empties instead of by a small step a tick, which decides the recovery time.
//
// Ranks more important than Floor are never refused upstream: the home's
// queue alone decides on them.
//
// # Table
//
// The Table holds the thresholds which the homes of each service's targets
// report. A call can go to any target, so one overloaded target is no reason to
// refuse it. A rank is refused when targets that hold at least RefuseShare of
// the service's weight would refuse it; targets that report no shedding, and
// with SetWeight also targets that report nothing, count as accepting. The share is a little below 1 because otherwise
// a single quiet target would draw everything the others shed. The weight of
// refusing targets grows with the rank key, so the rule yields one effective
// threshold and stays monotone. An entry that is not refreshed expires: the
// level of a dead home does not outlive it by more than the expiry.
package shed
