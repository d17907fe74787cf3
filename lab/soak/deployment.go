package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// gracePeriod is the maximum duration of a planned stop.
	gracePeriod = 6 * time.Second
	// minServiceTime is the service time of the fastest targets; the slowest take
	// serviceTimeSpread times as long, so that requests are always in flight.
	minServiceTime    = 20 * time.Millisecond
	serviceTimeSpread = 5
)

// zones and services of the deployment; machines are assigned to them in turn.
var (
	zones    = []string{"east", "west"}
	services = []string{"alpha", "beta"}
)

// deployment is the store, the stub that serves it and the machines.
type deployment struct {
	config       Config
	store        *memory.Store
	storeStub    *platformstub.Store
	storeServer  *http.Server
	storeAddress string
	machines     []*machine
}

// machine is a node process, its target and the proxies on its connections.
type machine struct {
	name, zone, service       string
	number, zoneLosses        int
	program                   string
	settingsPath, logPath     string
	callAddress, readyAddress string
	heartbeatAddress          string
	targetAddress             string
	// storeProxy carries the node's connections to the store, peerProxy those from
	// other nodes to it, and targetProxy those to its target.
	storeProxy, peerProxy, targetProxy *faultproxy.Proxy
	process                            atomic.Pointer[cluster.Process]
	// endExpected is set while the process is being ended.
	endExpected atomic.Bool
	// onUnexpectedEnd is called when the process has ended without having been asked to.
	onUnexpectedEnd func(process *cluster.Process)
	// incarnation counts the targets started on the machine.
	incarnation   int
	currentTarget atomic.Pointer[platformstub.Target]
	// onTargetCrash is called targetRestartDelay after a target crashed; stopping is
	// set while the deployment stops.
	onTargetCrash func()
	stopping      atomic.Bool
	// peakMemory is the most resident memory of the machine's processes, in bytes.
	peakMemory atomic.Int64
	stopTarget context.CancelFunc
	targets    []*platformstub.Target
}

// startDeployment starts everything and waits until all nodes are ready.
func startDeployment(ctx context.Context, config Config) (*deployment, error) {
	d := &deployment{config: config, store: memory.New(time.Now)}
	d.storeStub = platformstub.NewStore(d.store)
	if err := d.serveStore(); err != nil {
		return nil, err
	}
	if err := d.writeConfiguration(ctx, 1); err != nil {
		return nil, err
	}
	for index := range config.Machines {
		if err := d.addMachine(index); err != nil {
			return d, errors.Join(err, d.stop())
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(ctx); err != nil {
			return d, errors.Join(err, d.stop())
		}
	}
	return d, nil
}

func (d *deployment) serveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return oops.In("soak").With("step", "listen").Wrapf(err, "start the store stub")
	}
	d.storeAddress = listener.Addr().String()
	d.storeServer = &http.Server{Handler: d.storeStub.Handler()}
	go func() { _ = d.storeServer.Serve(listener) }()
	return nil
}

func (d *deployment) addMachine(index int) error {
	m := &machine{
		name:       fmt.Sprintf("machine-%d", index),
		number:     index,
		zone:       zones[index%len(zones)],
		service:    services[index/len(zones)%len(services)],
		program:    d.config.Program,
		zoneLosses: d.config.ZoneLosses,
	}
	m.settingsPath = filepath.Join(d.config.Directory, m.name+".toml")
	m.logPath = filepath.Join(d.config.Directory, m.name+".log")
	d.machines = append(d.machines, m)
	if err := m.provision(d.storeAddress); err != nil {
		return err
	}
	if err := m.startTarget(); err != nil {
		return err
	}
	return m.startNode()
}

// provision allocates the machine's addresses and proxies and writes its settings file.
func (m *machine) provision(storeAddress string) error {
	var peers string
	for _, address := range []*string{&m.callAddress, &m.readyAddress, &m.heartbeatAddress, &m.targetAddress, &peers} {
		free, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	for _, link := range []struct {
		proxy    **faultproxy.Proxy
		upstream string
	}{{&m.storeProxy, storeAddress}, {&m.peerProxy, peers}, {&m.targetProxy, m.targetAddress}} {
		proxy, err := faultproxy.New("127.0.0.1:0", link.upstream)
		if err != nil {
			return err
		}
		*link.proxy = proxy
	}
	return os.WriteFile(m.settingsPath, []byte(m.settingsText(peers)), 0o600)
}

func (m *machine) settingsText(peers string) string {
	return fmt.Sprintf(`name = %q
zone = %q
service = %q
target = %q
store = %q
[listen]
calls = %q
peers = %q
advertised = %q
ready = %q
heartbeats = %q
[stop]
grace-seconds = %g
[tenants]
revoke-seconds = %g
[shortage]
zone-losses = %d
[resources]
memory-mb = %d
`, m.name, m.zone, m.service, m.targetProxy.Address(), m.storeProxy.Address(), m.callAddress, peers, m.peerProxy.Address(), m.readyAddress, m.heartbeatAddress, gracePeriod.Seconds(), revokeBound.Seconds(), m.zoneLosses, nodeMemoryMB)
}

func (m *machine) startNode() error {
	process, err := cluster.Launch(m.name, m.logPath, nil, m.program, "run", "-f", m.settingsPath)
	if err != nil {
		return err
	}
	m.endExpected.Store(false)
	m.process.Store(process)
	go m.watchEnd(process)
	return nil
}

// watchEnd calls onUnexpectedEnd if the process ends without having been asked to.
func (m *machine) watchEnd(process *cluster.Process) {
	<-process.Done()
	if !m.endExpected.Load() && !m.stopping.Load() && m.onUnexpectedEnd != nil {
		m.onUnexpectedEnd(process)
	}
}

// killNode kills the node's process.
func (m *machine) killNode() {
	m.endExpected.Store(true)
	m.process.Load().Kill()
}

// startsPerID is the number of consecutive starts with the same target ID.
const startsPerID = 2

// incarnationID identifies one start of a target.
func incarnationID(target *platformstub.Target) string {
	return fmt.Sprintf("%s@%d", target.ID, target.StartedAt)
}

// startTarget starts a new incarnation of the target at the same address.
func (m *machine) startTarget() error {
	m.incarnation++
	target := &platformstub.Target{
		ID:          fmt.Sprintf("i-%s-%d", m.name, (m.incarnation+1)/startsPerID),
		Service:     m.service,
		Address:     m.targetAddress,
		Advertised:  m.targetProxy.Address(),
		Control:     m.heartbeatAddress,
		Zone:        m.zone,
		ReportsPace: m.zoneLosses > 0,
		ServiceTime: minServiceTime * time.Duration(1+m.number%serviceTimeSpread),
		LargePrefix: largePath(m.service),
		LargeBytes:  largeMessageBytes,
		OnCrash:     func() { time.AfterFunc(targetRestartDelay, m.onTargetCrash) },
	}
	target.SetFaults(platformstub.TargetFaults{CrashPrefix: crashPath(m.service)})
	ctx, cancel := context.WithCancel(context.Background())
	if err := target.Start(ctx); err != nil {
		cancel()
		return oops.In("soak").With("step", "start target").With("peer", m.targetAddress).Wrap(err)
	}
	m.stopTarget = cancel
	m.currentTarget.Store(target)
	m.targets = append(m.targets, target)
	return nil
}

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

func (m *machine) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, err := http.Get("http://" + m.readyAddress + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		pause.For(ctx, readyPollInterval)
	}
	return oops.In("soak").With("step", "await ready").With("peer", m.name).Errorf("%s is not ready within %s", m.name, readyTimeout)
}

// proxies returns the machine's proxies.
func (m *machine) proxies() []*faultproxy.Proxy {
	return []*faultproxy.Proxy{m.storeProxy, m.peerProxy, m.targetProxy}
}

// stop stops everything that the deployment started.
func (d *deployment) stop() error {
	var failures []error
	for _, m := range d.machines {
		m.stopping.Store(true)
		if process := m.process.Load(); process != nil {
			process.Resume()
			process.Kill()
		}
		if m.stopTarget != nil {
			m.stopTarget()
		}
		for _, link := range m.proxies() {
			if link != nil {
				failures = append(failures, link.Close())
			}
		}
	}
	return errors.Join(append(failures, d.storeServer.Close())...)
}
