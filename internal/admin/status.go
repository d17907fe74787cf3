package admin

import "github.com/lugspur/lugspur/internal/store"

// Readiness says whether a node is ready for calls.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons list why a node is not ready.
	Reasons []string `json:"reasons,omitempty"`
}

// Status is the status of a node and its view of the cluster.
type Status struct {
	Node     NodeStatus      `json:"node"`
	Store    StoreStatus     `json:"store"`
	Members  []MemberStatus  `json:"members"`
	Homes    []HomeStatus    `json:"homes"`
	Targets  []TargetStatus  `json:"targets"`
	Services []ServiceStatus `json:"services"`
	// Warnings describe suspicious objects.
	Warnings []string `json:"warnings,omitempty"`
}

// NodeStatus is the status of the responding node.
type NodeStatus struct {
	Name    string `json:"name"`
	Cluster string `json:"cluster"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Readiness
	// Stopping means that the node is finishing its calls before it exits.
	Stopping bool `json:"stopping,omitempty"`
	// ConfigurationFloor is the revision up to which the node has every change.
	ConfigurationFloor store.Revision `json:"configuration_floor"`
	UptimeSeconds      int64          `json:"uptime_seconds"`
	// ClaimEpoch is the epoch of the node's roster of claim replicas; while it
	// is zero, calls with an Idempotency-Key are refused.
	ClaimEpoch uint64 `json:"claim_epoch"`
	// InFlight is the number of calls in flight at the node.
	InFlight int `json:"in_flight"`
}

// StoreStatus is the state of the store as observed by the node.
type StoreStatus struct {
	Reachable bool `json:"reachable"`
	// SilentSeconds is the time since the last response of the store.
	SilentSeconds float64 `json:"silent_seconds"`
	// LastError is the error of the last request; empty if it succeeded.
	LastError string `json:"last_error,omitempty"`
}

// MemberStatus is the state of another node as observed by this one.
type MemberStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is the membership state, such as alive, suspect or left.
	State              string         `json:"state"`
	ConfigurationFloor store.Revision `json:"configuration_floor"`
}

// HomeStatus names the home node of a target.
type HomeStatus struct {
	Target string `json:"target"`
	Node   string `json:"node"`
}

// TargetStatus is the state of a target as observed by this node. Limit,
// InFlight and Queued are set only on the home node and zero elsewhere.
type TargetStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Home     string `json:"home,omitempty"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// ShedLevel is the most important criticality that is being shed; empty if
	// none is.
	ShedLevel string `json:"shed_level,omitempty"`
	Draining  bool   `json:"draining,omitempty"`
	// DrainSources list the sources of the target's drains: operator, emergency
	// or machine-list.
	DrainSources []string `json:"drain_sources,omitempty"`
}

// ServiceStatus is the state of a service as observed by this node.
type ServiceStatus struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	// ShedLevel is the most important criticality that is being shed at the
	// edge; empty if none is.
	ShedLevel string `json:"shed_level,omitempty"`
}
