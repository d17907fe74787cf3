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
	// graceTime is how long a planned stop may take.
	graceTime = 6 * time.Second
	// targetWork is how long the fastest targets work on a request, and workSpread
	// how many times as long the slowest do. Requests are in flight at any moment.
	targetWork = 20 * time.Millisecond
	workSpread = 5
)

// zones and services of the deployment; machines take them in turn.
var (
	zones    = []string{"east", "west"}
	services = []string{"alpha", "beta"}
)

// deployment is the store, its proxies and the machines.
type deployment struct {
	config   Config
	held     *memory.Store
	stub     *platformstub.Store
	server   *http.Server
	storeAt  string
	machines []*machine
}

// machine is a node process, its target and the links between them and others.
type machine struct {
	name, zone, service string
	number              int
	lugspur             string
	settings, log       string
	calls, ready        string
	control             string
	target              string
	// toStore, toPeers and toTarget carry what the node says to the store, what
	// other nodes say to it, and what it says to its target.
	toStore, toPeers, toTarget *faultproxy.Proxy
	process                    *cluster.Process
	// incarnation counts the targets that the machine has had.
	incarnation int
	current     *platformstub.Target
	// onEnd is called some time after a target ended under a request, and stopped tells
	// that the deployment is stopping.
	onEnd      func()
	stopped    atomic.Bool
	stopTarget context.CancelFunc
	targets    []*platformstub.Target
}

// startDeployment starts everything and waits until all nodes are ready.
func startDeployment(ctx context.Context, config Config) (*deployment, error) {
	d := &deployment{config: config, held: memory.New(time.Now)}
	d.stub = platformstub.NewStore(d.held)
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
		return oops.In("soak").With("step", "listen").Wrapf(err, "start the store's stand-in")
	}
	d.storeAt = listener.Addr().String()
	d.server = &http.Server{Handler: d.stub.Handler()}
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

func (d *deployment) addMachine(index int) error {
	m := &machine{
		name:    fmt.Sprintf("machine-%d", index),
		number:  index,
		zone:    zones[index%len(zones)],
		service: services[index/len(zones)%len(services)],
		lugspur: d.config.Program,
	}
	m.settings = filepath.Join(d.config.Directory, m.name+".toml")
	m.log = filepath.Join(d.config.Directory, m.name+".log")
	d.machines = append(d.machines, m)
	if err := m.provision(d.storeAt); err != nil {
		return err
	}
	if err := m.startTarget(); err != nil {
		return err
	}
	return m.startNode()
}

// provision gives the machine its addresses, proxies and settings.
func (m *machine) provision(storeAt string) error {
	var peers string
	for _, address := range []*string{&m.calls, &m.ready, &m.control, &m.target, &peers} {
		found, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		*address = found
	}
	for _, link := range []struct {
		proxy    **faultproxy.Proxy
		upstream string
	}{{&m.toStore, storeAt}, {&m.toPeers, peers}, {&m.toTarget, m.target}} {
		proxy, err := faultproxy.New("127.0.0.1:0", link.upstream)
		if err != nil {
			return err
		}
		*link.proxy = proxy
	}
	return os.WriteFile(m.settings, []byte(m.settingsText(peers)), 0o600)
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
`, m.name, m.zone, m.service, m.toTarget.Address(), m.toStore.Address(), m.calls, peers, m.toPeers.Address(), m.ready, m.control, graceTime.Seconds(), revokeTime.Seconds())
}

func (m *machine) startNode() error {
	process, err := cluster.Launch(m.name, m.log, nil, m.lugspur, "run", "-f", m.settings)
	if err == nil {
		m.process = process
	}
	return err
}

// startsOfID is how many starts have the same id, one after the other.
const startsOfID = 2

// startOf names one start of a target.
func startOf(target *platformstub.Target) string {
	return fmt.Sprintf("%s@%d", target.ID, target.Born)
}

// startTarget starts a new incarnation of the target at the same address.
func (m *machine) startTarget() error {
	m.incarnation++
	target := &platformstub.Target{
		ID:      fmt.Sprintf("i-%s-%d", m.name, (m.incarnation+1)/startsOfID),
		Service: m.service,
		Address: m.target,
		Control: m.control,
		Zone:    m.zone,
		Work:    targetWork * time.Duration(1+m.number%workSpread),
		OnEnd:   func() { time.AfterFunc(targetAway, m.onEnd) },
	}
	target.SetFaults(platformstub.TargetFaults{EndsUnder: deadlyPath(m.service)})
	ctx, cancel := context.WithCancel(context.Background())
	if err := target.Start(ctx); err != nil {
		cancel()
		return oops.In("soak").With("step", "start target").With("peer", m.target).Wrap(err)
	}
	m.current, m.stopTarget = target, cancel
	m.targets = append(m.targets, target)
	return nil
}

const (
	readyTimeout = 20 * time.Second
	readyPause   = 50 * time.Millisecond
)

func (m *machine) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, err := http.Get("http://" + m.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		pause.For(ctx, readyPause)
	}
	return oops.In("soak").With("step", "await ready").With("peer", m.name).Errorf("%s is not ready within %s", m.name, readyTimeout)
}

// links returns the machine's proxies.
func (m *machine) links() []*faultproxy.Proxy {
	return []*faultproxy.Proxy{m.toStore, m.toPeers, m.toTarget}
}

// stop ends everything that the deployment started.
func (d *deployment) stop() error {
	var failures []error
	for _, m := range d.machines {
		m.stopped.Store(true)
		if m.process != nil {
			m.process.Resume()
			m.process.Kill()
		}
		if m.stopTarget != nil {
			m.stopTarget()
		}
		for _, link := range m.links() {
			if link != nil {
				failures = append(failures, link.Close())
			}
		}
	}
	return errors.Join(append(failures, d.server.Close())...)
}
