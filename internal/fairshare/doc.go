// Package fairshare orders the requests of tenants so that a shed threshold divides the
// capacity of a service among them max-min fairly.
//
// # Load
//
// Within a level, thresholds refuse the highest cohorts first. With a cohort that is a hash of
// the request's ID, each tenant loses the same share of its requests, so that a tenant that
// sends six times its usual rate takes capacity from all others. Here the cohort is a monotone
// function of u * r, where u is a hash of the request's content, uniform in [0, 1), and r is
// the tenant's request rate on the route over all nodes. A threshold at u * r = s admits
// min(r, s) requests a second of each tenant. A tenant that sends less than s loses nothing,
// the others get s each, and what some do not use is available to the others.
//
// # Inputs and their age
//
//   - The node's own count of the tenant's requests on the route, admitted or not, times the
//     number of nodes that serve callers. It is a moving average over timeConstant, without
//     the request that is being ranked.
//   - The demand that the holders of the tenant's permits report with their grants, at most
//     some seconds old (ratelimit.Limiter.Demand). It covers all routes; the node's own counts
//     give the share of the route.
//
// Both may differ between nodes and be wrong without harm to the order of levels: they move a
// request only within its level. A factor that is common to all tenants has no effect, because
// the threshold moves with it.
//
// # Algorithm
//
// The target is max-min fairness (Bertsekas and Gallager, "Data Networks", section 6.5). Fair
// queueing (Demers, Keshav and Shenker, SIGCOMM 1989) attains it with a queue for each tenant
// at the point of service, after the work for a request has begun; here the entry node decides,
// before any work. DAGOR (see package shed) also compares a priority with one threshold that
// all nodes share, but its user priority is a hash of the user, so that overload excludes some
// users entirely. Core-stateless fair queueing (Stoica, Shenker and Zhang, SIGCOMM 1998) is the
// closest relative: the edge estimates the rate of each flow, and the core drops with the
// probability 1 - s/r without a state for each flow.
package fairshare
