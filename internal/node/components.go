package node

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/gossip"
	"github.com/lugspur/lugspur/internal/grant"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/machines"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/settings"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store/etcd"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// createComponents creates the components in the order of their dependencies.
func (n *Node) createComponents() error {
	n.peerClient = newPeerClient()
	if err := n.openStore(); err != nil {
		return err
	}
	if err := n.createMembership(); err != nil {
		return err
	}
	n.createConfigurationSync()
	if err := n.createGateway(); err != nil {
		return err
	}
	n.registerMetrics()
	return nil
}

// newPeerClient returns the HTTP client for all requests between nodes except
// forwarded calls.
func newPeerClient() *http.Client {
	const (
		dialTimeout     = time.Second
		maxIdle         = 32
		maxIdlePerPeer  = 4
		idleConnTimeout = 20 * time.Second
	)
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// watchIdleTimeout is how long a watch of the store may be idle before it is considered
// broken. It adds to the time that a configuration change takes to reach a zone that is
// partitioned from the others.
const watchIdleTimeout = 4 * time.Second

func (n *Node) openStore() error {
	if n.settings.Store.Kind == settings.StoreMemory {
		n.store = memory.New(time.Now)
		n.closeStore = func() {}
		return nil
	}
	client, err := etcd.New(etcd.Config{
		Endpoints:         n.settings.Store.Endpoints,
		RequestsPerSecond: float64(n.settings.Store.RequestsPerSecond),
		RequestTimeout:    n.settings.Store.RequestTimeout.Duration(),
		WatchIdleTimeout:  watchIdleTimeout,
	})
	if err != nil {
		return oops.In("node").With("step", "open store").Wrapf(err, "open store")
	}
	n.store = client
	n.closeStore = client.Close
	return nil
}

func (n *Node) createMembership() error {
	self := membership.Member{
		Name:        n.settings.Name,
		Zone:        n.settings.Zone,
		Region:      n.settings.Region,
		PeerAddress: firstNonEmpty(n.settings.Advertise.Peer, n.settings.Listen.Peer),
		MeshAddress: firstNonEmpty(n.settings.Advertise.Mesh, n.settings.Listen.Mesh),
	}
	members, err := membership.New(membership.Config{
		ClusterName: n.settings.Cluster,
		Self:        self,
		Seeds:       n.settings.Membership.Seeds,
		Period:      n.settings.Membership.Period.Duration(),
		Transport:   n.sockets.gossip,
		Exchange:    membership.HTTPExchange(n.peerClient, n.settings.Cluster),
		OnPause:     n.handlePause,
		OnPayload:   n.handleGossip,
		Logger:      n.log,
	})
	if err != nil {
		return oops.In("node").With("step", "membership").Wrapf(err, "provision membership")
	}
	n.members = members
	members.Subscribe(func(membership.Event) { n.requestRebuild() })
	return nil
}

func firstNonEmpty(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

func (n *Node) createConfigurationSync() {
	n.replica = configuration.NewReplica(time.Now)
	n.syncer = configuration.NewSyncer(configuration.Options{
		Self:       configuration.Member{Name: n.settings.Name, Zone: n.settings.Zone, PeerAddress: n.members.Self().PeerAddress, Live: true},
		Store:      n.store,
		Membership: gossip.Members{Membership: n.members},
		Seeds:      n.settings.Membership.Seeds,
		Client:     n.peerClient,
		Log:        n.log,
		Now:        time.Now,
	}, n.replica)
	n.replica.Subscribe(n.handleConfigurationChange)
	if n.settings.MachineList.Address != "" {
		n.machines = machines.NewPoller(n.settings.MachineList.Address, n.settings.MachineList.Poll.Duration(),
			n.peerClient, n.log, n.requestRebuild)
	}
}

// createGateway creates the gateway, the components on its call path and the HTTP
// servers.
func (n *Node) createGateway() error {
	peer, err := netip.ParseAddrPort(n.members.Self().PeerAddress)
	if err != nil {
		return oops.In("node").With("step", "peer address").Wrapf(err, "peer address %s", n.members.Self().PeerAddress)
	}
	limits := n.settings.Limits
	n.shedTable = shed.NewTable(shed.TableConfig{})
	n.router = gateway.NewRouter(gateway.RouterConfig{
		Node:   n.settings.Name,
		Zone:   n.settings.Zone,
		Homes:  n.settings.Features.Homes,
		Warmup: n.settings.Features.Warmup,
		Shed:   n.shedTable,
		Now:    time.Now,
	})
	n.homes = home.NewManager(home.Settings{
		Queue:       queueConfig(n.settings),
		MaxBuffered: limits.MaxAnswerBufferBytes,
		MayServe:    n.liveness.MayAct,
		FixedLimit:  !n.settings.Features.AdaptiveLimit,
	}, time.Now)
	n.homeClient = home.NewClient(limits.MaxAnswerBufferBytes)
	ledger := retrybudget.NewLedger(0, time.Now)
	n.claims = n.newClaims()
	n.gateway = gateway.New(gateway.Settings{
		Node:            n.settings.Name,
		Zone:            n.settings.Zone,
		Peer:            peer,
		MaxBodyBytes:    limits.MaxBodyBytes,
		MaxConcurrent:   int64(limits.MaxConcurrentCalls),
		ReadBodyTimeout: limits.ReadBodyTimeout.Duration(),
		DefaultTimeout:  limits.DefaultTimeout.Duration(),
		MaxTimeout:      limits.MaxTimeout.Duration(),
		MaxRetries:      n.settings.Retries.MaxPerRequest,
		ShedLevels:      n.settings.Features.ShedLevels,
		DisablePriority: !n.settings.Features.PriorityQueue,
	}, gateway.Dependencies{
		Router:       n.router,
		Homes:        n.homes,
		HomeClient:   n.homeClient,
		Shed:         n.shedTable,
		RetryBudgets: ledger,
		RetryGrants:  grant.NewClient(peer, ledger, n.peerClient),
		RetryRatio:   n.newRetryRatio(),
		Claims:       n.claims,
		Observer:     n.metrics,
		Log:          n.log,
		Now:          time.Now,
	})
	n.registerHandlers(ledger)
	return nil
}

// queueConfig returns the configuration of the queues in front of targets. A length
// of zero in the settings disables queueing; in scheduler.Config zero selects the
// default length.
func queueConfig(node settings.Node) scheduler.Config {
	const noQueue = -1
	length := node.Queue.MaxLength
	if length == 0 {
		length = noQueue
	}
	return scheduler.Config{
		MaxQueue:        length,
		MaxWait:         node.Queue.MaxWait.Duration(),
		FirstInFirstOut: !node.Features.PriorityQueue,
	}
}

// fixedRatio is a gateway.RetryRatio that allows either all retries or none.
type fixedRatio bool

func (fixedRatio) RecordSuccess() {}
func (r fixedRatio) Allow() bool  { return bool(r) }

func (n *Node) newRetryRatio() gateway.RetryRatio {
	if !n.settings.Features.RetryRatio {
		return fixedRatio(true)
	}
	if n.settings.Retries.RatioPercent == 0 {
		return fixedRatio(false)
	}
	return retrybudget.NewRatio(retrybudget.RatioConfig{Share: float64(n.settings.Retries.RatioPercent) / 100}, time.Now)
}

// registerHandlers registers the HTTP handlers of the four listeners.
func (n *Node) registerHandlers(ledger grant.Ledger) {
	peerMux := http.NewServeMux()
	n.syncer.Register(peerMux)
	grant.Register(peerMux, ledger)
	n.claims.register(peerMux)
	peerMux.Handle(membership.ExchangePath, n.members.Handler())

	adminMux := http.NewServeMux()
	admin.NewServer(admin.Options{
		NodeName:  n.settings.Name,
		Token:     n.settings.Admin.Token,
		Writer:    configuration.NewWriter(n.store, n.replica, n.syncer.Announce, time.Now),
		Replica:   n.replica,
		Status:    n,
		Emergency: emergencyDrains{n.syncer},
		Log:       n.log,
	}).Register(adminMux)
	adminMux.Handle("GET /metrics", n.metrics.Handler())
	registerProfiling(adminMux, n.settings.Admin.Token)

	n.sockets.createServers(n.settings.Limits, n.log, handlers{
		edge:  n.gateway.Handler(gateway.Edge),
		mesh:  n.gateway.Handler(gateway.Mesh),
		peer:  n.gateway.PeerHandler(peerMux),
		admin: adminMux,
	})
}

func (n *Node) registerMetrics() {
	n.metrics.RegisterHomes(n.homes.Loads)
	n.metrics.RegisterGauge("calls_in_flight", "Calls in the node.", func() float64 { return float64(n.gateway.InFlight()) })
	n.metrics.RegisterGauge("configuration_floor", "Revision up to which the node's configuration is complete.",
		func() float64 { return float64(n.replica.Floor()) })
	n.metrics.RegisterGauge("members_present", "Nodes that the node knows to be present, without itself.",
		func() float64 { return float64(n.members.Stats().Present) })
	n.metrics.RegisterCounter("gossip_sent_bytes_total", "Bytes of datagrams sent to other nodes.",
		func() float64 { return float64(n.members.Stats().BytesSent) })
	n.metrics.RegisterCounter("gossip_received_bytes_total", "Bytes of datagrams received from other nodes.",
		func() float64 { return float64(n.members.Stats().BytesReceived) })
}
