// Package downstream learns what requests of a route use of each service, over the whole tree of
// calls that they make.
//
// Load: a shortage at a service that requests reach only through several other services. The entry
// node must know which requests need the service before it starts any work for them.
//
// Inputs: the complete runs at the local target with their calls, and the figures that other homes
// send with replies when they are asked. Figures are asked for again after 500 ms and dropped after a
// minute without use. Runs that failed are not counted, because they make fewer calls.
//
// A home adds what the routes that it calls report, weighted by its mean number of calls, as demand is
// propagated through the visit ratios of a queueing network (Denning and Buzen, The operational
// analysis of queueing network models, 1978).
package downstream
