// Package judge checks the recording of a run for violated guarantees. A
// recording consists of the calls as seen by their callers, the executions at
// the targets, and the events: operator actions, injected faults, and the
// configuration revisions that the nodes reported.
//
// Judge is a pure function of its input, so a recorded run can be checked
// again. The checks are grouped by guarantee, one file for each group;
// docs/CHAOS.md defines the guarantees. All timestamps must come from the clock
// of one machine.
package judge
