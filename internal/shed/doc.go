// Package shed computes and distributes shed levels: a threshold per target or
// service from which on calls are refused upstream, before work is wasted.
//
// A threshold is a rank key (package criticality): calls whose key is at or
// above it are refused, and criticality.RankCount refuses nothing. Because
// the rule is one comparison against one number, a more important call is never
// refused by a threshold that admits a less important one.
//
// # Controller
//
// The Controller follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat
// Microservices", SoCC 2018): it keeps a histogram of arrivals by rank and derives
// from it the threshold that admits a desired rate. It determines that rate
// differently.
//
//   - DAGOR cuts by a fixed share in each period of overload. Thresholds take some
//     hundred milliseconds to reach the nodes that refuse, and a target counts as
//     overloaded until its whole backlog is gone, so the cuts accumulate and the
//     target oscillates between idle and overloaded. Here the desired rate is the
//     rate that the target serves, corrected in proportion to the deviation of the
//     queue from its desired length.
//   - Calls refused upstream are not observed here, so the rates at and above the
//     threshold would read zero and the threshold would jump to None at once.
//     Those rates are therefore kept, and decay only while the target has spare
//     capacity.
//   - Where requests make several calls one after another, a readmitted rank reaches its
//     rate only after as long as its requests take. Its rate may therefore be kept for
//     Config.SettleTime; otherwise too many ranks are readmitted, again and again.
//     Requests that started before the threshold fell go on with their calls. These take
//     capacity as well, and may be deducted with Config.DeductStarted.
//   - With spare capacity, the admitted arrivals may grow by 1/utilization, at most
//     doubling each tick. The threshold thus returns to None as fast as the queue
//     empties instead of by a small step each tick, which determines the recovery
//     time.
//
// Ranks more important than Floor are never refused upstream: only the home's
// queue decides on them.
//
// # Table
//
// The Table holds the thresholds reported by the homes of each service's targets. A
// call can go to any target, so one overloaded target is no reason to refuse it. A
// rank is refused when targets that hold at least RefuseShare of the service's weight
// would refuse it; targets that report no shedding, and with SetWeight also targets
// that report nothing, count as accepting. The share is a little below 1 because
// otherwise a single target that sheds nothing would receive all the calls that the
// others shed. The weight of refusing targets grows with the rank key, so the rule
// yields one effective threshold and is monotone. An entry that is not refreshed
// expires, so the shed level of a failed home is valid for no longer than the expiry.
package shed
