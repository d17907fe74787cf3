// Package mesh loads the file that describes a service call graph for the lab: its
// zones, latencies, services, targets and the kinds of client calls.
//
// A loaded Mesh is read-only and safe for concurrent use.
package mesh

import "time"

// Mesh is a service call graph with the targets that serve it.
type Mesh struct {
	Name     string    `toml:"name" validate:"required"`
	Latency  Latency   `toml:"latency"`
	Zones    []Zone    `toml:"zones" validate:"required,min=1,unique=Name,dive"`
	Services []Service `toml:"services" validate:"required,min=1,unique=Name,dive"`
	Targets  []Target  `toml:"targets" validate:"required,min=1,unique=Name,dive"`
	Kinds    []Kind    `toml:"kinds" validate:"required,min=1,unique=Name,dive"`
}

// Zone is a failure domain inside a region.
type Zone struct {
	Name   string `toml:"name" validate:"required"`
	Region string `toml:"region" validate:"required"`
}

// Latency holds one-way network latencies in milliseconds.
type Latency struct {
	// BetweenZonesMs applies between two zones that aren't listed in Pairs.
	BetweenZonesMs float64 `toml:"between_zones_ms" validate:"gte=0"`
	// ToClientsMs applies between a zone and external clients.
	ToClientsMs float64 `toml:"to_clients_ms" validate:"gte=0"`
	// Pairs override BetweenZonesMs, in both directions.
	Pairs []ZonePair `toml:"pairs" validate:"dive"`
}

// ZonePair is the one-way latency between two zones.
type ZonePair struct {
	From     string  `toml:"from" validate:"required"`
	To       string  `toml:"to" validate:"required"`
	OneWayMs float64 `toml:"one_way_ms" validate:"gte=0"`
}

// Service is a set of targets that serve the same calls.
type Service struct {
	Name string `toml:"name" validate:"required"`
	// Time is the distribution of the duration of a call's own work.
	Time ServiceTime `toml:"time"`
	// AnswerBytes is the size of the padding of an answer.
	AnswerBytes int `toml:"answer_bytes" validate:"gte=0,lte=1048576"`
	// Calls are the downstream calls, which are made before the own work starts.
	Calls []Call `toml:"calls" validate:"dive"`
	// Operations are the accepted methods and paths. Without operations every
	// method and path is accepted, with the service's own settings.
	Operations []Operation `toml:"operations" validate:"unique=Name,dive"`
	// ReleaseWhileCalling makes targets release the slot during downstream calls.
	ReleaseWhileCalling bool `toml:"release_while_calling"`
	// ShedWaiting is the number of waiting calls above which a target refuses
	// calls by itself; 0 means no limit.
	ShedWaiting int `toml:"shed_waiting" validate:"gte=0"`
	// IgnoresCancellation makes targets complete executions after their callers
	// have disconnected or their deadlines have passed.
	IgnoresCancellation bool `toml:"ignores_cancellation"`
	// ReportLagMs is the lag of health and load reports.
	ReportLagMs float64 `toml:"report_lag_ms" validate:"gte=0"`
}

// Operation is a method and path prefix of a service. Fields that aren't set default
// to the service's values.
type Operation struct {
	Name        string       `toml:"name" validate:"required"`
	Method      string       `toml:"method" validate:"required,oneof=GET POST PUT DELETE"`
	Path        string       `toml:"path" validate:"required,startswith=/"`
	Time        *ServiceTime `toml:"time"`
	AnswerBytes *int         `toml:"answer_bytes" validate:"omitempty,gte=0,lte=1048576"`
	// Calls replace the service's calls; an empty list means no calls.
	Calls *[]Call `toml:"calls" validate:"omitempty,dive"`
}

// Call is a downstream call that a service makes for each call that it serves.
type Call struct {
	Service string `toml:"service" validate:"required"`
	Method  string `toml:"method" validate:"required,oneof=GET POST PUT DELETE"`
	Path    string `toml:"path" validate:"required,startswith=/"`
	// Optional calls may fail without failing the parent call.
	Optional bool `toml:"optional"`
	// Parallel calls are made concurrently, after the sequential ones.
	Parallel bool `toml:"parallel"`
}

// Target is one instance of a service.
type Target struct {
	Name    string `toml:"name" validate:"required"`
	Service string `toml:"service" validate:"required"`
	Zone    string `toml:"zone" validate:"required"`
	// Address is the listen address, an IP address and a port; port 0 selects a free
	// port.
	Address string `toml:"address" validate:"required"`
	// Slots is the maximum number of calls that execute concurrently.
	Slots int `toml:"slots" validate:"gte=1"`
	// Connections is the maximum number of open connections; the target refuses
	// connections above it.
	Connections int       `toml:"connections" validate:"gte=1"`
	ColdStart   ColdStart `toml:"cold_start"`
	// ConnectMs is the delay of a new connection before its first call.
	ConnectMs float64 `toml:"connect_ms" validate:"gte=0"`
}

// ColdStart increases service times after a target's start by a factor that
// decreases linearly to one over the duration.
type ColdStart struct {
	DurationMs float64 `toml:"duration_ms" validate:"gte=0"`
	SlowFactor float64 `toml:"slow_factor" validate:"omitempty,gte=1"`
}

// Kind is a kind of call that clients make.
type Kind struct {
	Name    string `toml:"name" validate:"required"`
	Service string `toml:"service" validate:"required"`
	Method  string `toml:"method" validate:"required,oneof=GET POST PUT DELETE"`
	Path    string `toml:"path" validate:"required,startswith=/"`
	// Callers are groups of callers. Each has CallersEach callers, named
	// <group>-<number>.
	Callers     []string `toml:"callers" validate:"required,min=1,dive,required"`
	CallersEach int      `toml:"callers_each" validate:"gte=1,lte=100000"`
	// Criticality is the level that the operator's policy is expected to assign.
	Criticality string `toml:"criticality" validate:"required,oneof=critical-plus critical sheddable-plus sheddable"`
	// Repeatable calls may be executed more than once.
	Repeatable bool `toml:"repeatable"`
	// Keyed calls have an Idempotency-Key header.
	Keyed bool `toml:"keyed"`
	// Share is the weight of the kind among all client calls.
	Share float64 `toml:"share" validate:"gte=0"`
	// DeadlineMs is the time for which a client waits for the answer.
	DeadlineMs float64 `toml:"deadline_ms" validate:"gt=0"`
}

// Deadline returns the time for which a client waits for the answer.
func (k Kind) Deadline() time.Duration { return Milliseconds(k.DeadlineMs) }

// Milliseconds returns a number of milliseconds as a duration.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Service returns the service with the given name.
func (m *Mesh) Service(name string) (Service, bool) {
	for _, service := range m.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Kind returns the call kind with the given name.
func (m *Mesh) Kind(name string) (Kind, bool) {
	for _, kind := range m.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}

// TargetsOf returns the targets of a service.
func (m *Mesh) TargetsOf(service string) []Target {
	var targets []Target
	for _, target := range m.Targets {
		if target.Service == service {
			targets = append(targets, target)
		}
	}
	return targets
}

// ZoneLatency returns the one-way latency between two zones; it is zero inside
// a zone.
func (m *Mesh) ZoneLatency(from, to string) time.Duration {
	if from == to {
		return 0
	}
	for _, pair := range m.Latency.Pairs {
		if (pair.From == from && pair.To == to) || (pair.From == to && pair.To == from) {
			return Milliseconds(pair.OneWayMs)
		}
	}
	return Milliseconds(m.Latency.BetweenZonesMs)
}

// ClientLatency returns the one-way latency between a zone and its clients.
func (m *Mesh) ClientLatency() time.Duration { return Milliseconds(m.Latency.ToClientsMs) }
