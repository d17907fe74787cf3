// Package judge finds broken promises in what was recorded of a run: the calls
// as their callers saw them, the executions at the targets, and the events,
// which are what operators did, which faults held and what the nodes showed of
// their configuration.
//
// Judge is a pure function of its input, so that a recorded run can be judged
// again. Each promise has its own file; docs/CHAOS.md gives the definitions.
// All moments come from the clock of one machine.
package judge
