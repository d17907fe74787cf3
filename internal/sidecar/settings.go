// Package sidecar runs the sidecar node of one target on the platform. It creates the node's
// components, serves until it is asked to stop, and shuts down without interrupting requests.
package sidecar

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/routepolicy"
)

// Settings are the settings of a sidecar node. Unknown keys are ignored.
type Settings struct {
	// Name and Zone are the name and the zone of the node.
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Service is the service of the local target, and Target its address.
	Service string `toml:"service"`
	Target  string `toml:"target"`
	// Store is the address of the metadata store.
	Store string `toml:"store"`
	// FirstStart is set on the first start of the whole system, when no earlier process
	// can have acknowledged anything.
	FirstStart bool             `toml:"first-start"`
	Listen     Listen           `toml:"listen"`
	Stop       StopSettings     `toml:"stop"`
	Retries    RetrySettings    `toml:"retries"`
	Queue      QueueSettings    `toml:"queue"`
	Tenants    TenantSettings   `toml:"tenants"`
	Shortage   ShortageSettings `toml:"shortage"`
	// Resources are what the machine grants the process.
	Resources ResourceSettings `toml:"resources"`
	// Policies decide about requests, one for each kind of route.
	Policies routepolicy.Sources `toml:"policies"`
}

// Listen holds the addresses on which the node listens.
type Listen struct {
	// Calls is for requests of clients and the target on the same machine.
	Calls string `toml:"calls"`
	// Peers is for calls of other nodes.
	Peers string `toml:"peers"`
	// Advertised is the address at which other nodes reach Peers; empty means that they use
	// Peers itself.
	Advertised string `toml:"advertised"`
	// Ready is for readiness checks.
	Ready string `toml:"ready"`
	// Heartbeats is for heartbeats of the target.
	Heartbeats string `toml:"heartbeats"`
	// Permits is for datagrams that request permits of tenants' rate limits; empty means that
	// these requests arrive at Peers.
	Permits string `toml:"permits"`
	// Metrics is for metrics scrapes; empty means that no metrics are served.
	Metrics string `toml:"metrics"`
}

// StopSettings limit a planned stop.
type StopSettings struct {
	// GraceSeconds is the time from the stop signal until the process is killed.
	GraceSeconds float64 `toml:"grace-seconds"`
}

// RetrySettings limit the retries of requests that may have run.
type RetrySettings struct {
	// BudgetRatio is the share of a service's requests that all nodes together may retry.
	BudgetRatio float64 `toml:"budget-ratio"`
	// WindowSeconds is the length of the window in which the ratio holds.
	WindowSeconds float64 `toml:"window-seconds"`
	// Slack is the number of retries that all nodes together may send beyond the ratio in
	// one window.
	Slack float64 `toml:"slack"`
}

func (s *RetrySettings) window() time.Duration {
	return time.Duration(s.WindowSeconds * float64(time.Second))
}

// QueueSettings limit the queue in front of the target.
type QueueSettings struct {
	// MaxLength is the maximum number of queued calls.
	MaxLength int `toml:"max-length"`
	// ObjectiveShare is the share of a route's latency objective that a call may wait.
	ObjectiveShare float64 `toml:"objective-share"`
	// InnerObjectiveShare is the same for calls made by running requests.
	InnerObjectiveShare float64 `toml:"inner-objective-share"`
	// SlotShare is the share of the target's slots that is used.
	SlotShare float64 `toml:"slot-share"`
}

// TenantSettings bound how long revoked API keys work and how far tenants may exceed their
// rate limits.
type TenantSettings struct {
	// RevokeSeconds is the time after which a revoked API key must not work at any node; 0
	// means no bound: a key works as long as the node's configuration contains it.
	RevokeSeconds float64 `toml:"revoke-seconds"`
	// WindowSeconds, Overshoot and Slack bound the requests of a tenant that may run within a
	// window: its limit times 1 + Overshoot, plus Slack.
	WindowSeconds float64 `toml:"window-seconds"`
	Overshoot     float64 `toml:"overshoot"`
	Slack         float64 `toml:"slack"`
}

func (s *TenantSettings) revocationTime() time.Duration {
	return time.Duration(s.RevokeSeconds * float64(time.Second))
}

func (s *TenantSettings) bounds() ratelimit.Bounds {
	window := time.Duration(s.WindowSeconds * float64(time.Second))
	return ratelimit.Bounds{Window: window, Overshoot: s.Overshoot, Slack: s.Slack}
}

// ShortageSettings describe the shortage of capacity that the deployment must expect.
type ShortageSettings struct {
	// ZoneLosses is the number of zones whose loss the deployment must tolerate. If it is not
	// zero, the deployment must expect to run with too little capacity, and the decisions for
	// that case are enabled.
	ZoneLosses int `toml:"zone-losses"`
}

// Expected reports whether the deployment must expect to run with too little capacity.
func (s *ShortageSettings) Expected() bool { return s.ZoneLosses > 0 }

// ResourceSettings are what the machine grants the process. A process that uses more memory is
// killed.
type ResourceSettings struct {
	// MemoryMB is the memory of the process in MB of 2^20 bytes.
	MemoryMB int `toml:"memory-mb"`
	// Descriptors is the number of descriptors that the process may have open.
	Descriptors int `toml:"descriptors"`
}

// memoryBytes returns the memory of the process in bytes.
func (s *ResourceSettings) memoryBytes() int64 { return int64(s.MemoryMB) << 20 }

// Defaults of settings.
const (
	DefaultGraceSeconds        = 6.0
	DefaultBudgetRatio         = 0.2
	DefaultRetryWindow         = 10.0
	DefaultRetrySlack          = 50.0
	DefaultQueueLength         = 256
	DefaultObjectiveShare      = 0.2
	DefaultInnerObjectiveShare = 0.6
	DefaultSlotShare           = 0.95
	DefaultLimitWindow         = 5.0
	DefaultLimitOvershoot      = 0.1
	DefaultLimitSlack          = 20.0
	DefaultMemoryMB            = 256
	DefaultDescriptors         = 1024
)

// Load reads and validates a settings file. The error lists all invalid settings.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("sidecar").With("step", "read settings").Wrapf(err, "read settings")
	}
	settings, err := Parse(content)
	if err != nil {
		return Settings{}, oops.In("sidecar").With("step", "check settings").Wrapf(err, "settings %s", path)
	}
	return settings, nil
}

// Parse parses and validates settings.
func Parse(content []byte) (Settings, error) {
	settings := Settings{
		Stop:    StopSettings{GraceSeconds: DefaultGraceSeconds},
		Retries: RetrySettings{BudgetRatio: DefaultBudgetRatio, WindowSeconds: DefaultRetryWindow, Slack: DefaultRetrySlack},
		Queue: QueueSettings{MaxLength: DefaultQueueLength, ObjectiveShare: DefaultObjectiveShare,
			InnerObjectiveShare: DefaultInnerObjectiveShare, SlotShare: DefaultSlotShare},
		Tenants:   TenantSettings{WindowSeconds: DefaultLimitWindow, Overshoot: DefaultLimitOvershoot, Slack: DefaultLimitSlack},
		Resources: ResourceSettings{MemoryMB: DefaultMemoryMB, Descriptors: DefaultDescriptors},
	}
	if err := toml.Unmarshal(content, &settings); err != nil {
		return Settings{}, fmt.Errorf("parse: %w", err)
	}
	return settings, settings.Validate()
}

// Validate returns an error that lists all invalid settings, nil if there are none.
func (s *Settings) Validate() error {
	return errors.Join(
		checkRequired("name", s.Name),
		checkRequired("zone", s.Zone),
		checkRequired("service", s.Service),
		checkAddress("target", s.Target),
		checkAddress("store", s.Store),
		checkAddress("listen.calls", s.Listen.Calls),
		checkAddress("listen.peers", s.Listen.Peers),
		checkOptionalAddress("listen.advertised", s.Listen.Advertised),
		checkAddress("listen.ready", s.Listen.Ready),
		checkAddress("listen.heartbeats", s.Listen.Heartbeats),
		checkOptionalAddress("listen.permits", s.Listen.Permits),
		checkOptionalAddress("listen.metrics", s.Listen.Metrics),
		checkRange("stop.grace-seconds", s.Stop.GraceSeconds, 0.5, 600),
		checkRange("retries.budget-ratio", s.Retries.BudgetRatio, 0, 1),
		checkRange("retries.window-seconds", s.Retries.WindowSeconds, 0.1, 3600),
		checkRange("retries.slack", s.Retries.Slack, 0, 1e6),
		checkRange("queue.max-length", float64(s.Queue.MaxLength), 1, 1<<16),
		checkRange("queue.objective-share", s.Queue.ObjectiveShare, 0.001, 1),
		checkRange("queue.inner-objective-share", s.Queue.InnerObjectiveShare, 0.001, 10),
		checkRange("queue.slot-share", s.Queue.SlotShare, 0.01, 1),
		checkRange("tenants.revoke-seconds", s.Tenants.RevokeSeconds, 0, 3600),
		checkRange("tenants.window-seconds", s.Tenants.WindowSeconds, 0.1, 3600),
		checkRange("tenants.overshoot", s.Tenants.Overshoot, 0, 10),
		checkRange("tenants.slack", s.Tenants.Slack, 0, 1e6),
		checkRange("shortage.zone-losses", float64(s.Shortage.ZoneLosses), 0, 16),
		checkRange("resources.memory-mb", float64(s.Resources.MemoryMB), 32, 1<<20),
		checkRange("resources.descriptors", float64(s.Resources.Descriptors), 64, 1<<20),
		checkPolicies(s.Policies),
	)
}

func checkRequired(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s is missing", key)
	}
	return nil
}

func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s must be an IP address with a port, not %q", key, value)
	}
	return nil
}

func checkOptionalAddress(key, value string) error {
	if value == "" {
		return nil
	}
	return checkAddress(key, value)
}

func checkRange(key string, value, lowest, highest float64) error {
	if !(value >= lowest && value <= highest) {
		return fmt.Errorf("%s must lie between %g and %g, not %g", key, lowest, highest, value)
	}
	return nil
}

func checkPolicies(sources routepolicy.Sources) error {
	_, err := routepolicy.Compile(sources)
	return err
}

// advertised returns the address at which other nodes reach this one.
func (s *Settings) advertised() string {
	if s.Listen.Advertised != "" {
		return s.Listen.Advertised
	}
	return s.Listen.Peers
}

// grace returns the maximum duration of a planned stop.
func (s *Settings) grace() time.Duration {
	return time.Duration(s.Stop.GraceSeconds * float64(time.Second))
}
