// Package experiment measures how a mesh gets through an overload: it starts a
// cluster, sends the load of a scenario, injects the scenario's faults, and
// computes goodput, recovery time, wasted work and retries from what the
// clients were told and what the targets ran.
//
// The same scenario and seed can be run with different systems: lugspur as it
// is, and baselines made of the same program by settings.
package experiment
