package admin

import "github.com/lugspur/lugspur/internal/store"

// Readiness says whether a node may be sent calls.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons say why a node is not ready.
	Reasons []string `json:"reasons,omitempty"`
}

// Status is what one node tells of itself and of what it knows.
type Status struct {
	Node     NodeStatus      `json:"node"`
	Store    StoreStatus     `json:"store"`
	Members  []MemberStatus  `json:"members"`
	Homes    []HomeStatus    `json:"homes"`
	Targets  []TargetStatus  `json:"targets"`
	Services []ServiceStatus `json:"services"`
	// Warnings say what is odd about the objects.
	Warnings []string `json:"warnings,omitempty"`
}

// NodeStatus is the node that answers.
type NodeStatus struct {
	Name    string `json:"name"`
	Cluster string `json:"cluster"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Readiness
	// Stopping means that the node finishes its calls and ends.
	Stopping bool `json:"stopping,omitempty"`
	// ConfigurationFloor is the revision up to which the node holds every
	// change.
	ConfigurationFloor store.Revision `json:"configuration_floor"`
	UptimeSeconds      int64          `json:"uptime_seconds"`
	// ClaimEpoch is the epoch of the roster of claim replicas that the node
	// knows; while it is zero, calls with an Idempotency-Key are refused.
	ClaimEpoch uint64 `json:"claim_epoch"`
	// InFlight is the number of calls in the node.
	InFlight int `json:"in_flight"`
}

// StoreStatus is how the node sees the store.
type StoreStatus struct {
	Reachable bool `json:"reachable"`
	// SilentSeconds is the time since the store last answered.
	SilentSeconds float64 `json:"silent_seconds"`
	// LastError is the last failure; empty when the last request succeeded.
	LastError string `json:"last_error,omitempty"`
}

// MemberStatus is another node as this one sees it.
type MemberStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is the membership's word for it, such as alive, suspect or left.
	State              string         `json:"state"`
	ConfigurationFloor store.Revision `json:"configuration_floor"`
}

// HomeStatus is which node guards a target.
type HomeStatus struct {
	Target string `json:"target"`
	Node   string `json:"node"`
}

// TargetStatus is a target as this node sees it. Limit, InFlight and Queued
// are those of the home node, and zero where this node is not the home.
type TargetStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Home     string `json:"home,omitempty"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// ShedLevel is the most important criticality that is refused; empty means
	// that none is.
	ShedLevel string `json:"shed_level,omitempty"`
	Draining  bool   `json:"draining,omitempty"`
	// DrainSources say who marked the target as leaving: operator, emergency or
	// machine-list.
	DrainSources []string `json:"drain_sources,omitempty"`
}

// ServiceStatus is a service as this node sees it.
type ServiceStatus struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	// ShedLevel is the most important criticality that is refused at the edge;
	// empty means that none is.
	ShedLevel string `json:"shed_level,omitempty"`
}
