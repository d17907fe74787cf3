// Package sidecar runs a node beside one target on the platform: it provisions
// the parts, serves until told to stop, and stops without cutting a request.
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

// Settings are the settings of a node beside a target. Keys that are not known
// are ignored.
type Settings struct {
	// Name and Zone are the node's.
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Service is that of the target beside the node, and Target its address.
	Service string `toml:"service"`
	Target  string `toml:"target"`
	// Store is the address of the metadata store.
	Store string `toml:"store"`
	// FirstStart tells that the whole system starts for the first time, so that
	// nothing was acknowledged before.
	FirstStart bool           `toml:"first-start"`
	Listen     Listen         `toml:"listen"`
	Stop       StopSettings   `toml:"stop"`
	Retries    RetrySettings  `toml:"retries"`
	Queue      QueueSettings  `toml:"queue"`
	Tenants    TenantSettings `toml:"tenants"`
	// Policies decide on requests, one for each kind of route.
	Policies routepolicy.Sources `toml:"policies"`
}

// Listen holds the addresses that the node listens at.
type Listen struct {
	// Calls takes requests of the clients and the target on the machine.
	Calls string `toml:"calls"`
	// Peers takes calls of other nodes.
	Peers string `toml:"peers"`
	// Advertised is where other nodes find Peers, if that is not the address
	// itself; empty means that it is.
	Advertised string `toml:"advertised"`
	// Ready answers whether the node takes work.
	Ready string `toml:"ready"`
	// Heartbeats takes those of the target.
	Heartbeats string `toml:"heartbeats"`
	// Permits takes asks for permits of tenants' limits as datagrams; empty means that they
	// come to Peers.
	Permits string `toml:"permits"`
	// Metrics serves metrics; empty means that none are served.
	Metrics string `toml:"metrics"`
}

// StopSettings bound a planned stop.
type StopSettings struct {
	// GraceSeconds is the time from the signal to stop until the process is killed.
	GraceSeconds float64 `toml:"grace-seconds"`
}

// RetrySettings bound the repetitions of requests that may have run.
type RetrySettings struct {
	// BudgetRatio is the part of a service's requests that all nodes together may
	// repeat.
	BudgetRatio float64 `toml:"budget-ratio"`
	// WindowSeconds is the span over which that holds.
	WindowSeconds float64 `toml:"window-seconds"`
	// Slack is the number of repetitions that all nodes together may make beyond
	// that in one span.
	Slack float64 `toml:"slack"`
}

func (s *RetrySettings) window() time.Duration {
	return time.Duration(s.WindowSeconds * float64(time.Second))
}

// QueueSettings bound the queue in front of the target.
type QueueSettings struct {
	// MaxLength is the number of calls that may wait.
	MaxLength int `toml:"max-length"`
	// ObjectiveShare is the part of a route's objective for which a call may wait.
	ObjectiveShare float64 `toml:"objective-share"`
	// InnerObjectiveShare is the same for a call that a running request makes.
	InnerObjectiveShare float64 `toml:"inner-objective-share"`
	// SlotShare is the part of the target's slots that is used.
	SlotShare float64 `toml:"slot-share"`
}

// TenantSettings bound what keys and limits of tenants may do.
type TenantSettings struct {
	// RevokeSeconds is the time after which an API key that was taken away must not work
	// at any node; 0 is no bound: a key works as long as the node's configuration holds it.
	RevokeSeconds float64 `toml:"revoke-seconds"`
	// WindowSeconds, Overshoot and Slack say what may run for a tenant within a window:
	// its limit times 1 + Overshoot, and Slack requests more.
	WindowSeconds float64 `toml:"window-seconds"`
	Overshoot     float64 `toml:"overshoot"`
	Slack         float64 `toml:"slack"`
}

func (s *TenantSettings) revoke() time.Duration {
	return time.Duration(s.RevokeSeconds * float64(time.Second))
}

func (s *TenantSettings) bounds() ratelimit.Bounds {
	window := time.Duration(s.WindowSeconds * float64(time.Second))
	return ratelimit.Bounds{Window: window, Overshoot: s.Overshoot, Slack: s.Slack}
}

// Defaults of settings.
const (
	DefaultGraceSeconds   = 6.0
	DefaultBudgetRatio    = 0.2
	DefaultRetryWindow    = 10.0
	DefaultRetrySlack     = 50.0
	DefaultQueueLength    = 256
	DefaultObjectiveShare = 0.2
	DefaultInnerShare     = 0.6
	DefaultSlotShare      = 0.95
	DefaultLimitWindow    = 5.0
	DefaultLimitOvershoot = 0.1
	DefaultLimitSlack     = 20.0
)

// Load reads and checks settings. The error names every fault.
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

// Parse reads and checks settings.
func Parse(content []byte) (Settings, error) {
	settings := Settings{
		Stop:    StopSettings{GraceSeconds: DefaultGraceSeconds},
		Retries: RetrySettings{BudgetRatio: DefaultBudgetRatio, WindowSeconds: DefaultRetryWindow, Slack: DefaultRetrySlack},
		Queue: QueueSettings{MaxLength: DefaultQueueLength, ObjectiveShare: DefaultObjectiveShare,
			InnerObjectiveShare: DefaultInnerShare, SlotShare: DefaultSlotShare},
		Tenants: TenantSettings{WindowSeconds: DefaultLimitWindow, Overshoot: DefaultLimitOvershoot, Slack: DefaultLimitSlack},
	}
	if err := toml.Unmarshal(content, &settings); err != nil {
		return Settings{}, fmt.Errorf("parse: %w", err)
	}
	return settings, settings.Check()
}

// Check reports every fault of the settings, nil if there is none.
func (s *Settings) Check() error {
	return errors.Join(
		required("name", s.Name),
		required("zone", s.Zone),
		required("service", s.Service),
		address("target", s.Target),
		address("store", s.Store),
		address("listen.calls", s.Listen.Calls),
		address("listen.peers", s.Listen.Peers),
		optionalAddress("listen.advertised", s.Listen.Advertised),
		address("listen.ready", s.Listen.Ready),
		address("listen.heartbeats", s.Listen.Heartbeats),
		optionalAddress("listen.permits", s.Listen.Permits),
		optionalAddress("listen.metrics", s.Listen.Metrics),
		between("stop.grace-seconds", s.Stop.GraceSeconds, 0.5, 600),
		between("retries.budget-ratio", s.Retries.BudgetRatio, 0, 1),
		between("retries.window-seconds", s.Retries.WindowSeconds, 0.1, 3600),
		between("retries.slack", s.Retries.Slack, 0, 1e6),
		between("queue.max-length", float64(s.Queue.MaxLength), 1, 1<<16),
		between("queue.objective-share", s.Queue.ObjectiveShare, 0.001, 1),
		between("queue.inner-objective-share", s.Queue.InnerObjectiveShare, 0.001, 10),
		between("queue.slot-share", s.Queue.SlotShare, 0.01, 1),
		between("tenants.revoke-seconds", s.Tenants.RevokeSeconds, 0, 3600),
		between("tenants.window-seconds", s.Tenants.WindowSeconds, 0.1, 3600),
		between("tenants.overshoot", s.Tenants.Overshoot, 0, 10),
		between("tenants.slack", s.Tenants.Slack, 0, 1e6),
		compiles(s.Policies),
	)
}

func required(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s is missing", key)
	}
	return nil
}

func address(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s must be an IP address with a port, not %q", key, value)
	}
	return nil
}

func optionalAddress(key, value string) error {
	if value == "" {
		return nil
	}
	return address(key, value)
}

func between(key string, value, least, most float64) error {
	if !(value >= least && value <= most) {
		return fmt.Errorf("%s must lie between %g and %g, not %g", key, least, most, value)
	}
	return nil
}

func compiles(sources routepolicy.Sources) error {
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

// grace returns the time that a planned stop may take.
func (s *Settings) grace() time.Duration {
	return time.Duration(s.Stop.GraceSeconds * float64(time.Second))
}
