package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/lab/mesh"
)

// ErrUnknownTarget is returned for a name that no target has.
var ErrUnknownTarget = errors.New("unknown target")

// Emulator runs the targets of a mesh. Its methods are safe for concurrent use.
type Emulator struct {
	config      Config
	recorder    *recorder
	targets     []*target
	downstreams map[string]*downstream
	control     net.Listener
	controlHTTP *http.Server
	closing     chan struct{}
	closed      sync.Once
	running     sync.WaitGroup

	mutex    sync.Mutex // orders beginHandler before Close
	stopped  bool
	handlers sync.WaitGroup
}

// TargetInfo describes a running target and its address.
type TargetInfo struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Start starts the targets and the control listener.
func Start(config Config) (*Emulator, error) {
	if config.Mesh == nil {
		return nil, oops.In("emulator").With("step", "start").Errorf("config has no mesh")
	}
	e := &Emulator{
		config:      config,
		recorder:    newRecorder(config.MaxRecords, config.Records),
		downstreams: make(map[string]*downstream),
		closing:     make(chan struct{}),
	}
	if err := e.start(); err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Emulator) start() error {
	for zone, address := range e.config.MeshAddresses {
		if !e.hasZone(zone) {
			return oops.In("emulator").With("step", "start").Errorf("mesh address for unknown zone %q", zone)
		}
		e.downstreamFor(zone).setAddress(address)
	}
	for i, settings := range e.config.Mesh.Targets {
		if len(e.config.OnlyZones) > 0 && !slices.Contains(e.config.OnlyZones, settings.Zone) {
			continue
		}
		if err := e.startTarget(settings, uint64(i)); err != nil {
			return err
		}
	}
	if err := e.startControl(); err != nil {
		return err
	}
	e.running.Go(e.runSampler)
	return nil
}

func (e *Emulator) hasZone(name string) bool {
	return slices.ContainsFunc(e.config.Mesh.Zones, func(zone mesh.Zone) bool { return zone.Name == name })
}

func (e *Emulator) startTarget(settings mesh.Target, seed uint64) error {
	started, err := newTarget(e, settings, seed)
	if err != nil {
		return oops.In("emulator").With("step", "listen").With("peer", settings.Address).Wrapf(err, "start target %s", settings.Name)
	}
	e.targets = append(e.targets, started)
	e.running.Go(func() { _ = started.server.Serve(started.listener) })
	return nil
}

func (e *Emulator) startControl() error {
	if e.config.ControlAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", e.config.ControlAddress)
	if err != nil {
		return oops.In("emulator").With("step", "listen").With("peer", e.config.ControlAddress).Wrapf(err, "start control listener")
	}
	e.control = listener
	e.controlHTTP = &http.Server{Handler: e.controlRoutes(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: discardLog()}
	e.running.Go(func() { _ = e.controlHTTP.Serve(listener) })
	return nil
}

// discardLog returns a logger that discards the messages of net/http about
// connections that faults have closed.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

func (e *Emulator) downstreamFor(zone string) *downstream {
	client, ok := e.downstreams[zone]
	if !ok {
		client = newDownstream(zone, e.config.DownstreamAttempts)
		e.downstreams[zone] = client
	}
	return client
}

// runSampler periodically samples the targets for lagging reports and flushes the
// record stream.
func (e *Emulator) runSampler() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.closing:
			return
		case now := <-ticker.C:
			for _, t := range e.targets {
				t.sample(now)
			}
			_ = e.recorder.flush()
		}
	}
}

// Close closes all listeners, cancels running executions and flushes the records.
func (e *Emulator) Close() error {
	e.closed.Do(func() {
		e.mutex.Lock()
		e.stopped = true
		e.mutex.Unlock()
		close(e.closing)
		for _, t := range e.targets {
			_ = t.server.Close()
		}
		if e.controlHTTP != nil {
			_ = e.controlHTTP.Close()
		}
		for _, d := range e.downstreams {
			d.client.CloseIdleConnections()
		}
	})
	e.running.Wait()
	e.handlers.Wait()
	return e.recorder.flush()
}

// beginHandler registers a running handler, for which Close waits. It returns
// false once the emulator is closing.
func (e *Emulator) beginHandler() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stopped {
		return false
	}
	e.handlers.Add(1)
	return true
}

// ControlAddress returns the address of the control listener, or "" if there
// is none.
func (e *Emulator) ControlAddress() string {
	if e.control == nil {
		return ""
	}
	return e.control.Addr().String()
}

// Targets describes the targets, in the order of the mesh file.
func (e *Emulator) Targets() []TargetInfo {
	infos := make([]TargetInfo, 0, len(e.targets))
	for _, t := range e.targets {
		infos = append(infos, TargetInfo{
			Name:        t.settings.Name,
			Service:     t.settings.Service,
			Zone:        t.settings.Zone,
			Address:     t.address(),
			Slots:       t.settings.Slots,
			Connections: t.settings.Connections,
		})
	}
	return infos
}

// SetMeshAddresses sets the addresses, by zone, to which targets send their
// downstream calls.
func (e *Emulator) SetMeshAddresses(addresses map[string]string) error {
	for zone := range addresses {
		if _, ok := e.downstreams[zone]; !ok {
			return fmt.Errorf("no target is in zone %q", zone)
		}
	}
	for zone, address := range addresses {
		e.downstreams[zone].setAddress(address)
	}
	return nil
}

// Records returns the finished executions that are in memory, oldest first, and
// then the running ones.
func (e *Emulator) Records() []Record { return e.recorder.snapshot() }

// SetFaults replaces the faults of a target.
func (e *Emulator) SetFaults(name string, faults Faults) error {
	if err := faults.Validate(); err != nil {
		return err
	}
	return e.updateTarget(name, func(t *target) { t.setFaults(faults) })
}

// SetDraining starts or ends the drain of a target.
func (e *Emulator) SetDraining(name string, draining bool) error {
	return e.updateTarget(name, func(t *target) { t.setDraining(draining) })
}

// Restart resets a target's connections, ends its drain and starts its cold
// start again.
func (e *Emulator) Restart(name string) error {
	return e.updateTarget(name, func(t *target) { t.restart() })
}

func (e *Emulator) updateTarget(name string, update func(*target)) error {
	for _, t := range e.targets {
		if t.settings.Name == name {
			update(t)
			return nil
		}
	}
	return fmt.Errorf("%w %q", ErrUnknownTarget, name)
}

// WaitIdle waits until no execution is running or the context is done.
func (e *Emulator) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		if e.recorder.idle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
