package sidecar

import (
	"context"
	"sync/atomic"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/fairshare"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/platform"
)

// tenantLimits holds the components that enforce tenants' rate limits.
type tenantLimits struct {
	issuer       *ratelimit.Issuer
	shardManager *ratelimit.ShardManager
	limiter      *ratelimit.Limiter
	// fairShares is nil unless a shortage of capacity must be expected.
	fairShares *fairshare.Estimator
	// permitSocket is nil while permits are only requested over connections.
	permitSocket atomic.Pointer[peering.PermitSocket]
}

// createLimits creates the components that enforce tenants' rate limits.
func (n *Node) createLimits() {
	n.limits.issuer = ratelimit.NewIssuer(n.settings.Tenants.bounds(), n.tenant, clock.Now)
	n.limits.shardManager = ratelimit.NewShardManager(ratelimit.ShardManagerConfig{
		Address:         n.settings.advertised(),
		Process:         n.processID,
		DatagramAddress: n.datagramAddress,
		Started:         n.started,

		FirstStart: n.settings.FirstStart,
		Epoch:      n.epochs.Current,

		Prefix:    platform.ShardsPrefix,
		Store:     n.storeBreaker.Wrap(n.store.WithPurpose(purposeShards)),
		Position:  n.directory.Position,
		Nodes:     n.nodeCount,
		HasLimits: n.hasTenantLimits,
		Issuer:    n.limits.issuer,
		Log:       n.log,
		Now:       clock.Now,
	})
	n.limits.limiter = ratelimit.NewLimiter(n.limits.shardManager, n.requestPermits, clock.Now)
	if n.settings.Shortage.Expected() {
		n.limits.limiter.RequestDemand()
		n.limits.fairShares = fairshare.New(fairshare.Config{Nodes: n.nodeCount, Demand: n.limits.limiter.Demand, Now: clock.Now})
	}
}

// nodeCount returns the number of known nodes, each of which serves callers.
func (n *Node) nodeCount() int { return len(n.directory.Addresses()) }

// largestTenantRate returns the estimated request rate over all nodes of the tenant that sends
// the most, in requests a second; 0 if fair shares are disabled.
func (n *Node) largestTenantRate() float64 {
	if n.limits.fairShares == nil {
		return 0
	}
	return n.limits.fairShares.Largest()
}

// requestPermits requests permits from the holder of a shard, which may be the node itself. If
// a datagram or its response is lost, the request is sent over a connection.
func (n *Node) requestPermits(ctx context.Context, holder ratelimit.Holder, request *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	if holder.Address == n.settings.advertised() {
		return n.limits.issuer.Issue(request), nil
	}
	if socket := n.limits.permitSocket.Load(); socket != nil && holder.DatagramAddress != "" {
		grant, err := socket.Request(ctx, holder.DatagramAddress, request)
		if err == nil || ctx.Err() != nil {
			return grant, err
		}
	}
	return n.peers.RequestPermits(ctx, holder.Address, request)
}

// listenForPermitRequests serves permit requests sent as datagrams, if the settings give an
// address for them.
func (n *Node) listenForPermitRequests() error {
	if n.settings.Listen.Permits == "" {
		return nil
	}
	socket, err := peering.ListenPermitSocket(n.settings.Listen.Permits, n.limits.issuer)
	if err != nil {
		return err
	}
	n.limits.permitSocket.Store(socket)
	go socket.Run()
	return nil
}

// datagramAddress returns the address for permit requests by datagram, empty while it is not open.
func (n *Node) datagramAddress() string {
	if n.limits.permitSocket.Load() == nil {
		return ""
	}
	return n.settings.Listen.Permits
}

// tenant returns a tenant of the active configuration, nil if it is unknown.
func (n *Node) tenant(name string) *routetable.Tenant {
	table := n.routes.Current()
	if table == nil {
		return nil
	}
	return table.Tenant(name)
}

// hasTenants reports whether requests need an API key.
func (n *Node) hasTenants() bool {
	table := n.routes.Current()
	return table != nil && table.HasTenants()
}

// hasTenantLimits reports whether any tenant has a rate limit.
func (n *Node) hasTenantLimits() bool {
	table := n.routes.Current()
	return table != nil && table.HasTenantLimits()
}

// peerServices returns the services that the node offers to its peers.
func (n *Node) peerServices() peering.ServerConfig {
	return peering.ServerConfig{Home: n.guard, AntiEntropy: n.replicas.antiEntropy, Quarantine: n.quarantine, Departures: n.registrar, Starts: n.registrar, Permits: n.limits.issuer,
		Codec: n.codec, MaxMessageBytes: maxMessageBytes, Process: n.processID, Memory: n.memory}
}
