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

// ErrUnknownTarget means that no target has the name.
var ErrUnknownTarget = errors.New("unknown target")

// Emulator runs the targets of a mesh. Its methods may be used by several
// goroutines.
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

	mutex    sync.Mutex // orders enter before Close
	stopped  bool
	handlers sync.WaitGroup
}

// TargetInfo tells where a target listens.
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
		return nil, oops.In("emulator").With("step", "start").Errorf("no mesh is given")
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
		e.downstreamOf(zone).setAddress(address)
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
	e.running.Go(e.report)
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
	e.controlHTTP = &http.Server{Handler: e.controlRoutes(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: quietLog()}
	e.running.Go(func() { _ = e.controlHTTP.Serve(listener) })
	return nil
}

// quietLog drops what net/http says about connections that faults have cut.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

func (e *Emulator) downstreamOf(zone string) *downstream {
	found, ok := e.downstreams[zone]
	if !ok {
		found = newDownstream(zone, e.config.DownstreamAttempts)
		e.downstreams[zone] = found
	}
	return found
}

// report samples loads for the lagging reports and flushes the record stream.
func (e *Emulator) report() {
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

// Close stops all listeners, cancels running work and flushes the records.
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

// enter counts a call in; it is false once the emulator is closing.
func (e *Emulator) enter() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stopped {
		return false
	}
	e.handlers.Add(1)
	return true
}

// ControlAddress returns the address of the control listener, or "".
func (e *Emulator) ControlAddress() string {
	if e.control == nil {
		return ""
	}
	return e.control.Addr().String()
}

// Targets tells where the targets listen, in the order of the mesh file.
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

// SetMeshAddresses sets where the targets of the named zones send their calls.
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

// Records returns the executions: the finished ones in memory, oldest first,
// then the running ones.
func (e *Emulator) Records() []Record { return e.recorder.snapshot() }

// SetFaults replaces the faults of a target.
func (e *Emulator) SetFaults(name string, faults Faults) error {
	if err := faults.Validate(); err != nil {
		return err
	}
	return e.onTarget(name, func(t *target) { t.setFaults(faults) })
}

// SetDraining starts or ends the drain of a target.
func (e *Emulator) SetDraining(name string, draining bool) error {
	return e.onTarget(name, func(t *target) { t.setDraining(draining) })
}

// Restart resets a target's connections and makes it cold.
func (e *Emulator) Restart(name string) error {
	return e.onTarget(name, func(t *target) { t.restart() })
}

func (e *Emulator) onTarget(name string, change func(*target)) error {
	for _, t := range e.targets {
		if t.settings.Name == name {
			change(t)
			return nil
		}
	}
	return fmt.Errorf("%w %q", ErrUnknownTarget, name)
}

// WaitIdle waits until no execution is running; the context bounds the wait.
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
