package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/apikey"
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/configfeed"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/forward"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/routepolicy"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/reachability"
	"github.com/lugspur/lugspur/internal/version"
	"github.com/lugspur/lugspur/platform"
)

const (
	// maxMessageBytes bounds a request or an answer, in bytes.
	maxMessageBytes = 80 << 20
	// maxHeaderBytes bounds the header of a request, in bytes.
	maxHeaderBytes = 32 << 10
	// headerTimeout and idleTimeout bound connections of callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// defaultTimeout bounds a request whose caller and route say nothing.
	defaultTimeout = 10 * time.Second
	// Bounds of the exchanges with peers.
	peerDialTimeout = 400 * time.Millisecond
	peerUserTimeout = time.Second
	peerKeepAlive   = time.Second
	peerIdleTimeout = 30 * time.Second
	peerMaxIdle     = 32
	// presentRetryShare is the part of the retry budget that is due to the requests of
	// the present span; the rest is due to those of the span before. It guards against a
	// budget that falls with the traffic: where requests fail, fewer calls follow, and
	// that is when repetitions are needed. Virtual time, traffic that falls to 0.6: 0.78
	// of what is allowed can be used, 0.59 with 0.9 at once and 0.05 saved up.
	presentRetryShare = 0.5
	// retryDelay is how much later than it was sent a repetition may arrive: the time
	// that calls may wait for room at a target.
	retryDelay = 500 * time.Millisecond
	// maxRetryReserve is the number of repetitions that a node saves up without
	// traffic, as one is the least that is of use.
	maxRetryReserve = 1.0
)

// Node is a node beside a target.
type Node struct {
	settings Settings
	log      *eventlog.Log
	metrics  *metrics
	started  time.Time
	// process tells this process from earlier ones at the address; it is not zero.
	process   uint32
	store     *platform.Store
	calls     *storeCalls
	gate      *reachability.CircuitBreaker
	epochs    *epoch.Tracker
	copies    copies
	routes    *routetable.Holder
	feed      *configfeed.Feed
	directory *registry.Directory
	registrar *registry.Registrar
	guard     *guard.Guard
	peers     *peering.Client
	codec     *peering.Codec
	policies  *routepolicy.Holder
	// sources are the policies in force as written, owned by Reload.
	sources   routepolicy.Sources
	levels    *pressure.Levels
	suspects  *quarantine.Quarantine
	limits    limits
	forwarder *forward.Forwarder
	servers   []*server
	stopping  atomic.Bool
	running   sync.WaitGroup
}

// New provisions a node. Nothing is sent or listened to before Run.
func New(settings Settings, output io.Writer) (*Node, error) {
	policies, err := routepolicy.Compile(settings.Policies)
	if err != nil {
		return nil, oops.In("sidecar").With("step", "compile policies").Wrapf(err, "compile policies")
	}
	n := &Node{policies: routepolicy.NewHolder(policies), sources: settings.Policies, settings: settings, routes: &routetable.Holder{},
		started: clock.Now(), process: max(rand.Uint32(), 1)}
	n.log = eventlog.New(eventlog.Config{RootOf: platform.RootRequestID}, settings.Name, output, time.Now)
	n.metrics = newMetrics(n.log)
	n.provisionStore()
	n.feed = configfeed.New(platform.ConfigurationKey, platform.ParseConfiguration, n.routes, n.log, clock.Now)
	n.directory = registry.NewDirectory(platform.HomesPrefix, settings.advertised(), n.log, clock.Now)
	n.provisionCopies()
	n.provisionLimits()
	n.levels = pressure.New(clock.Now)
	n.suspects = n.newQuarantine()
	n.guard = guard.New(guard.Config{
		Service:        settings.Service,
		Address:        settings.Target,
		Headers:        platform.Headers(),
		SlotShare:      settings.Queue.SlotShare,
		MaxQueue:       settings.Queue.MaxLength,
		MaxBuffered:    maxMessageBytes,
		MaxConnections: n.maxConnections,
		Downstream:     n.levels.Downstream,
		Quarantine:     n.suspects,
		Observer:       n.metrics,
	}, n.log, clock.Now)
	n.registrar = registry.NewRegistrar(registry.RegistrarConfig{
		Zone:             settings.Zone,
		Address:          settings.advertised(),
		Process:          n.process,
		HomesPrefix:      platform.HomesPrefix,
		DeparturesPrefix: platform.DeparturesPrefix,
		OnTargetChange:   n.guard.SetTarget,
		OnRefused:        n.metrics.heartbeatRefused,
		Records:          n.recall,
		Epoch:            n.epochs.Current,
		Position:         n.directory.Place,
		Peers:            registry.Peers{Addresses: n.directory.Addresses, Notify: n.tellDeparture},
		FirstStart:       settings.FirstStart,
	}, n.registrarStores(), n.log, clock.Now)
	n.codec = peering.NewCodec(platform.Headers().Signature)
	n.peers = peering.NewClient(peering.ClientConfig{
		MaxBuffered: maxMessageBytes,
		DialTimeout: peerDialTimeout,
		UserTimeout: peerUserTimeout,
		KeepAlive:   peerKeepAlive,
		IdleTimeout: peerIdleTimeout,
		MaxIdle:     peerMaxIdle,
		Address:     settings.advertised(),
		Codec:       n.codec,
		OnResume:    n.noteResumed,
		OnInterim:   func(address string) { n.forwarder.InterimReceived(address) },
	})
	n.peers.SetAntiEntropy(n.copies.spread)
	n.forwarder = n.newForwarder()
	n.provisionGauges()
	clock.System.OnResume(n.resumed)
	return n, nil
}

func (n *Node) tellDeparture(ctx context.Context, address string, departure registry.Departure) error {
	return n.peers.SendDeparture(ctx, address, departure)
}

// resumed notes that the machine was suspended.
func (n *Node) resumed() {
	n.log.Record(eventlog.Event{Kind: eventlog.MachineResumed, Age: clock.System.Suspended()})
	n.registrar.HandleResume()
}

func (n *Node) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Config{
		Broadcast: quarantine.BroadcastConfig{
			Address: n.settings.advertised(),
			Peers:   n.directory.Addresses,
			Send: func(ctx context.Context, address string, notice *quarantine.Notice) error {
				return n.peers.SendQuarantineNotice(ctx, address, notice)
			},
		},
		Store:        n.gate.Wrap(n.store.WithPurpose(purposeQuarantine)),
		Prefix:       platform.QuarantinePrefix,
		Epoch:        n.epochs.Current,
		Position:     n.directory.Place,
		OnQuarantine: func(hash fingerprint.Fingerprint) { n.guard.CancelQuarantined(hash) },
		Log:          n.log,
		Now:          clock.Now,
	})
}

func (n *Node) newForwarder() *forward.Forwarder {
	return forward.New(forward.Config{
		Node:           n.settings.Name,
		Zone:           n.settings.Zone,
		Service:        n.settings.Service,
		Address:        n.settings.advertised(),
		Headers:        platform.Headers(),
		DefaultTimeout: defaultTimeout,
		Retries: retrybudget.AllowanceConfig{
			Ratio:        n.settings.Retries.BudgetRatio,
			CurrentShare: presentRetryShare,
			Reserve:      n.retryReserve,
			Window:       n.settings.Retries.window(),
			MaxDelay:     retryDelay,
		},
		WaitShare:      n.settings.Queue.ObjectiveShare,
		InnerWaitShare: n.settings.Queue.InnerObjectiveShare,
		ParentOf:       platform.ParentRequestID,
	}, forward.Dependencies{
		Routes:     n.routes,
		Directory:  n.directory,
		Local:      n.guard,
		Policies:   n.policies,
		Levels:     n.levels,
		Quarantine: n.suspects,
		Keys:       apikey.NewChecker(n.routes, configfeed.NewFreshness(n.feed, n.copies.configuration), n.settings.Tenants.revoke()),
		Limits:     n.limits.limiter,
		Peers:      n.peers,
		Observer:   n.metrics,
		Log:        n.log,
		Now:        clock.Now,
	})
}

func (n *Node) noteResumed(call *peering.Call, address string, after time.Duration) {
	n.log.Record(eventlog.Event{Kind: eventlog.CallResumed, Request: call.RequestID, Route: call.Route, Service: call.Service, Peer: address, Duration: after})
}

// retryReserve returns the node's part of the repetitions that all nodes together
// may make beyond the ratio.
func (n *Node) retryReserve() float64 {
	nodes := max(len(n.directory.Addresses()), 1)
	return min(n.settings.Retries.Slack/float64(nodes), maxRetryReserve)
}

// maxConnections returns the bound on connections of the target's service.
func (n *Node) maxConnections() int {
	table := n.routes.Current()
	if table == nil {
		return 0
	}
	service := table.Service(n.settings.Service)
	if service == nil {
		return 0
	}
	return service.MaxConnections
}

// ready reports whether the node takes work.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.routes.Current() != nil && n.copies.records.Initialized()
}

// Run serves until the context ends and then stops in order.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	logged := make(chan struct{})
	go func() {
		n.log.Run(background)
		close(logged)
	}()
	if err := n.listen(); err != nil {
		return err
	}
	n.log.Record(eventlog.Event{Kind: eventlog.ProcessStarted, Service: n.settings.Service, Target: n.settings.Target, Outcome: version.Current().Version})
	for _, run := range n.tasks() {
		n.running.Go(func() { run(background) })
	}
	<-ctx.Done()
	n.stop()
	cancel()
	<-logged
	return nil
}

// tasks are what runs in the background while the node serves.
func (n *Node) tasks() []func(context.Context) {
	return []func(context.Context){
		n.copies.keepConfiguration.Run, n.copies.keepRecords.Run, n.copies.spread.Run, n.copies.verify.Run,
		n.settle, n.directory.Run, n.registrar.Run, n.guard.RunShedding, n.forwarder.Run, n.calls.run, n.suspects.Run, n.limits.keeper.Run,
	}
}

// knowsService reports whether the configuration in force names a service. Without one any
// may be named.
func (n *Node) knowsService(name string) bool {
	table := n.routes.Current()
	return table == nil || table.Service(name) != nil
}

// settle puts the store's configuration in force once peers had time to tell a newer one.
func (n *Node) settle(ctx context.Context) {
	n.copies.spread.AwaitSynced(ctx)
	n.feed.Release()
}

// listen opens all listeners and serves them.
func (n *Node) listen() error {
	if err := n.listenForAsks(); err != nil {
		return err
	}
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.Listen.Calls, n.forwarder},
		{n.settings.Listen.Peers, peering.Handler(n.peerServices())},
		{n.settings.Listen.Ready, platform.ReadyHandler(n.ready)},
		{n.settings.Listen.Heartbeats, platform.HeartbeatHandler(n.registrar, n.knowsService)},
		{n.settings.Listen.Metrics, n.metrics.handler()},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		server, err := newServer(l.address, l.handler)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, server)
		server.start()
	}
	return nil
}
