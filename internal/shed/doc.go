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
// The Controller follows DAGOR (Zhou et al., "Overload Control for Scaling
// WeChat Microservices", SoCC 2018): it keeps a histogram of recent arrivals by
// rank, and at each tick moves the threshold so that the arrivals below it
// shrink by CutShare while the target is overloaded, and grow by at least
// RaiseShare otherwise. Two things differ.
//
//   - Calls refused upstream are no longer seen here, so counts at and above the
//     threshold would read zero and the threshold would jump to "none" at once.
//     Those counts are therefore kept, and fade with ShedMemory, since what was
//     shed a while ago says little about now.
//   - Raising also uses the utilization of the limit: with spare room the
//     admitted arrivals may grow by 1/utilization, at most doubling each tick.
//     The threshold thus falls back to "none" as fast as the queue empties
//     instead of by a small step a tick, which decides the recovery time.
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
