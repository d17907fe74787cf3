// Package experiment measures the behavior of a mesh under overload: it starts a
// cluster, sends the load of a scenario, injects the scenario's faults, and
// computes goodput, recovery time, wasted work and retries from the responses
// that clients received and the executions that targets recorded.
//
// The same scenario and seed can be run with different systems: lugspur with its
// default settings, and baselines that are the same program with other settings.
package experiment
