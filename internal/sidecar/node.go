package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/apikey"
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/configfeed"
	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/forward"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/returnplace"
	"github.com/lugspur/lugspur/internal/routepolicy"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shortage"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/reachability"
	"github.com/lugspur/lugspur/internal/targetrate"
	"github.com/lugspur/lugspur/platform"
)

const (
	// logDrainTimeout bounds the time to write the last log lines, which the reader of the output
	// may block.
	logDrainTimeout = stopMargin / 2
	// maxMessageBytes is the maximum size of a request or response.
	maxMessageBytes = 80 << 20
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 32 << 10
	// Timeouts of connections from callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// defaultTimeout applies to requests for which neither the caller nor the route sets one.
	defaultTimeout = 10 * time.Second
	// Settings of connections to peers.
	peerDialTimeout = 400 * time.Millisecond
	peerUserTimeout = time.Second
	peerKeepAlive   = time.Second
	peerIdleTimeout = 30 * time.Second
	peerMaxIdle     = 32
	// currentRetryShare is the share of the retry budget that the requests of the current
	// window earn; those of the window before earn the rest. Failing requests make fewer
	// further calls, so a budget from the current window alone would shrink with the traffic
	// just when retries are needed. In virtual time, with traffic that falls to 0.6, 0.78 of
	// the permitted retries can be used; a token bucket that earned 0.9 of the ratio at once
	// and saved up 0.05 permitted 0.59.
	currentRetryShare = 0.5
	// maxRetryDelay is the longest time from sending a retry to its arrival at the target:
	// the time that calls may wait in the target's queue.
	maxRetryDelay = 500 * time.Millisecond
	// maxRetryReserve is the number of retries that a node may send without having counted
	// any requests. One is the smallest useful number.
	maxRetryReserve = 1.0
)

// Node is the sidecar of one target.
type Node struct {
	settings Settings
	log      *eventlog.Log
	metrics  *metrics
	started  time.Time
	// processID distinguishes this process from earlier ones at the same address. It is not
	// zero.
	processID    uint32
	store        *platform.Store
	storeCalls   *storeCalls
	storeBreaker *reachability.CircuitBreaker
	epochs       *epoch.Tracker
	replicas     replicas
	routes       *routetable.Holder
	feed         *configfeed.Feed
	directory    *registry.Directory
	registrar    *registry.Registrar
	guard        *guard.Guard
	peers        *peering.Client
	codec        *peering.Codec
	policies     *routepolicy.Holder
	// policySources are the sources of the active policies. After New, only reload uses them.
	policySources routepolicy.Sources
	pressure      *pressure.Table
	// places is nil unless the deployment must expect shortage.
	places *returnplace.Schedule
	// shortages and costs are nil unless the deployment must expect shortage.
	shortages  *shortage.Table
	costs      *downstream.Table
	quarantine *quarantine.Quarantine
	limits     tenantLimits
	memory     *memorybudget.Budget
	forwarder  *forward.Forwarder
	stopping   atomic.Bool
	running    sync.WaitGroup
	// opening is running while addresses are being opened. serversMutex guards servers until then.
	opening      sync.WaitGroup
	serversMutex sync.Mutex
	servers      []*server
	connections  connectionLimit
	// callsOpen reports whether the address for requests is open.
	callsOpen atomic.Bool
	// peersOpen is closed once the address for peers is open.
	peersOpen chan struct{}
}

// New creates a node. It sends nothing and does not listen before Run.
func New(settings Settings, output io.Writer) (*Node, error) {
	policies, err := routepolicy.Compile(settings.Policies)
	if err != nil {
		return nil, oops.In("sidecar").With("step", "compile policies").Wrapf(err, "compile policies")
	}
	n := &Node{policies: routepolicy.NewHolder(policies), policySources: settings.Policies, settings: settings, routes: &routetable.Holder{},
		started: clock.Now(), processID: max(rand.Uint32(), 1), peersOpen: make(chan struct{})}
	n.log = eventlog.New(eventlog.Config{RootOf: platform.RootRequestID}, settings.Name, output, time.Now)
	n.metrics = newMetrics(n.log)
	n.limitMemory()
	n.connections = newConnectionLimit(settings.Resources)
	n.createStore()
	n.feed = configfeed.New(platform.ConfigurationKey, platform.ParseConfiguration, n.routes, n.log, clock.Now)
	n.directory = registry.NewDirectory(platform.HomesPrefix, settings.advertised(), n.log, clock.Now)
	n.createReplicas()
	n.createLimits()
	n.pressure = pressure.New(clock.Now)
	n.createPlaces()
	n.createShortages()
	n.quarantine = n.newQuarantine()
	n.guard = guard.New(guard.Config{
		Service:        settings.Service,
		Address:        settings.Target,
		Headers:        platform.Headers(),
		SlotShare:      settings.Queue.SlotShare,
		MaxQueue:       settings.Queue.MaxLength,
		MaxBuffered:    maxMessageBytes,
		MaxConnections: n.maxConnections,
		Downstream:     n.pressure.Downstream,
		Quarantine:     n.quarantine,
		OnRateLimit:    func(i registry.Incarnation, a targetrate.Announcement) { n.registrar.SetRateLimit(i, a) },
		OnLeaving:      n.handleTargetLeaving,
		Shortages:      n.shortages,
		Costs:          n.costs,
		Observer:       n.metrics,
	}, n.log, clock.Now)
	n.registrar = registry.NewRegistrar(registry.RegistrarConfig{
		Zone:             settings.Zone,
		Address:          settings.advertised(),
		Process:          n.processID,
		HomesPrefix:      platform.HomesPrefix,
		DeparturesPrefix: platform.DeparturesPrefix,
		OnTargetChange:   n.guard.SetTarget,
		OnRefused:        n.metrics.countRefusedHeartbeat,
		Records:          n.awaitRecords,
		Epoch:            n.epochs.Current,
		Position:         n.directory.Position,
		Peers:            registry.Peers{Addresses: n.directory.Addresses, Notify: n.sendDeparture, NotifyStart: n.sendStart},
		StoreReachable:   n.storeBreaker.Reachable,
		OnStart:          n.directory.ApplyStart,
		FirstStart:       settings.FirstStart,
	}, n.registrarStores(), n.log, clock.Now)
	n.codec = peering.NewCodec(platform.Headers().Signature)
	n.peers = peering.NewClient(peering.ClientConfig{
		MaxMessageBytes: maxMessageBytes,
		Memory:          n.memory,
		DialTimeout:     peerDialTimeout,
		UserTimeout:     peerUserTimeout,
		KeepAlive:       peerKeepAlive,
		IdleTimeout:     peerIdleTimeout,
		MaxIdle:         peerMaxIdle,
		Address:         settings.advertised(),
		Codec:           n.codec,
		OnResume:        n.logResumedCall,
		OnInterim:       func(address string) { n.forwarder.InterimReceived(address) },
	})
	n.peers.SetAntiEntropy(n.replicas.antiEntropy)
	n.forwarder = n.newForwarder()
	n.registerGauges()
	clock.System.OnResume(n.handleResume)
	return n, nil
}

func (n *Node) sendDeparture(ctx context.Context, address string, departure registry.Departure) error {
	return n.peers.SendDeparture(ctx, address, departure)
}

func (n *Node) sendStart(ctx context.Context, address string, notice registry.StartNotice) error {
	return n.peers.SendStart(ctx, address, notice)
}

// handleTargetLeaving handles the local target's announcement, in a response, that it is leaving.
func (n *Node) handleTargetLeaving(incarnation registry.Incarnation) {
	n.running.Go(func() { n.registrar.TargetLeaving(context.Background(), incarnation) })
}

// handleResume handles the machine's resumption after it was suspended.
func (n *Node) handleResume() {
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
		Store:        n.storeBreaker.Wrap(n.store.WithPurpose(purposeQuarantine)),
		Prefix:       platform.QuarantinePrefix,
		Epoch:        n.epochs.Current,
		Position:     n.directory.Position,
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
			CurrentShare: currentRetryShare,
			Reserve:      n.retryReserve,
			Window:       n.settings.Retries.window(),
			MaxDelay:     maxRetryDelay,
		},
		WaitShare:       n.settings.Queue.ObjectiveShare,
		NestedWaitShare: n.settings.Queue.InnerObjectiveShare,
		ParentOf:        platform.ParentRequestID,
	}, forward.Dependencies{
		Routes:     n.routes,
		Directory:  n.directory,
		Local:      n.guard,
		Policies:   n.policies,
		Levels:     n.pressure,
		Places:     n.places,
		Shortages:  n.shortages,
		Costs:      n.costs,
		FairShares: n.limits.fairShares,
		Quarantine: n.quarantine,
		Keys:       apikey.NewChecker(n.routes, configfeed.NewFreshness(n.feed, n.replicas.configuration), n.settings.Tenants.revocationTime()),
		Limits:     n.limits.limiter,
		Memory:     n.memory,
		Peers:      n.peers,
		Observer:   n.metrics,
		Log:        n.log,
		Now:        clock.Now,
	})
}

// logResumedCall logs that a call to a home was resumed over a new connection.
func (n *Node) logResumedCall(call *peering.Call, address string, after time.Duration) {
	n.log.Record(eventlog.Event{Kind: eventlog.CallResumed, Request: call.RequestID, Route: call.Route, Service: call.Service, Peer: address, Duration: after})
}

// retryReserve returns the node's share of the retries that all nodes together may send
// beyond the budget ratio.
func (n *Node) retryReserve() float64 {
	nodes := max(len(n.directory.Addresses()), 1)
	return min(n.settings.Retries.Slack/float64(nodes), maxRetryReserve)
}

// maxConnections returns the connection limit of the target's service, 0 if it is unknown.
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

// ready reports whether the node accepts requests.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.callsOpen.Load() && n.routes.Current() != nil && n.replicas.records.Initialized()
}

// Run serves until the context ends and then shuts down gracefully. It reloads the settings as
// long as it serves requests, the shutdown included. It returns an error if an address that is
// needed to serve cannot be opened.
func (n *Node) Run(ctx context.Context, settings *SettingsWatch) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	logDone := make(chan struct{})
	go func() {
		n.log.Run(background)
		close(logDone)
	}()
	openCtx, stopOpening := context.WithCancel(ctx)
	defer stopOpening()
	opened := n.openAddresses(openCtx)
	for _, run := range n.backgroundTasks() {
		n.running.Go(func() { run(background) })
	}
	n.running.Go(func() { n.reloadSettings(background, settings) })
	err := n.awaitStop(ctx, opened)
	stopOpening()
	n.opening.Wait()
	n.stop()
	cancel()
	awaitLog(logDone)
	return err
}

// backgroundTasks returns the functions that run in the background while the node serves.
func (n *Node) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){
		n.replicas.configurationSyncer.Run, n.replicas.recordsSyncer.Run, n.replicas.antiEntropy.Run, n.replicas.verifier.Run,
		n.releaseConfiguration, n.directory.Run, n.oncePeersOpen(n.registrar.Run), n.guard.RunShedding, n.forwarder.Run, n.storeCalls.run, n.quarantine.Run,
		n.oncePeersOpen(n.limits.shardManager.Run),
	}
	if n.shortages != nil {
		tasks = append(tasks, n.watchShortages)
	}
	return tasks
}

// oncePeersOpen returns a function that runs the task once peers can reach the node. Before, its record
// and its shards would name a node that does not answer.
func (n *Node) oncePeersOpen(task func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-n.peersOpen:
			task(ctx)
		case <-ctx.Done():
		}
	}
}

// acceptsService reports whether targets may register for a service: the active
// configuration must contain it. Without a configuration, any service is accepted.
func (n *Node) acceptsService(name string) bool {
	table := n.routes.Current()
	return table == nil || table.Service(name) != nil
}

// releaseConfiguration activates the configuration from the store once peers have had time to
// send a newer one.
func (n *Node) releaseConfiguration(ctx context.Context) {
	n.replicas.antiEntropy.AwaitSynced(ctx)
	n.feed.Release()
}
