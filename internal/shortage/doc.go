// Package shortage passes reports on services that are short of capacity from node to node.
//
// Load: the start of a burst that the last service of a call chain cannot serve. Entry nodes must
// refuse requests before any work has started, within 200 ms of the home's decision.
//
// Inputs: the threshold over rank of the local target's home, updated every 100 ms; reports of other
// homes, which arrive with replies to calls that are sent anyway; and the total weight of each
// service's homes according to the directory. A report is passed on for 500 ms and used for 1.5 s
// after its creation. Homes without a report count as accepting.
//
// The package follows the rumor-mongering variant of epidemic dissemination (Demers et al., Epidemic
// algorithms for replicated database maintenance, 1987), piggybacked on the application's own
// messages, with last-writer-wins state for each home. Thresholds over priority and cohort follow
// Zhou et al., Overload control for scaling WeChat microservices (2018).
package shortage
