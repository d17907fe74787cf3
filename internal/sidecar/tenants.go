package sidecar

import (
	"context"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/platform"
)

// limits are what holds tenants to their limits.
type limits struct {
	issuer  *ratelimit.Issuer
	keeper  *ratelimit.ShardManager
	limiter *ratelimit.Limiter
	// datagrams is nil where asks come over connections alone.
	datagrams *peering.PermitSocket
}

// provisionLimits makes the parts that hold tenants to their limits.
func (n *Node) provisionLimits() {
	n.limits.issuer = ratelimit.NewIssuer(n.settings.Tenants.bounds(), n.tenant, clock.Now)
	n.limits.keeper = ratelimit.NewShardManager(ratelimit.ShardManagerConfig{
		Address:         n.settings.advertised(),
		Process:         n.process,
		DatagramAddress: n.settings.Listen.Permits,
		Started:         n.started,

		FirstStart: n.settings.FirstStart,
		Epoch:      n.epochs.Current,

		Prefix:    platform.ShardsPrefix,
		Store:     n.gate.Wrap(n.store.WithPurpose(purposeShards)),
		Place:     n.directory.Place,
		Nodes:     func() int { return len(n.directory.Addresses()) },
		HasLimits: n.hasLimits,
		Issuer:    n.limits.issuer,
		Log:       n.log,
		Now:       clock.Now,
	})
	n.limits.limiter = ratelimit.NewLimiter(n.limits.keeper, n.askPermits, clock.Now)
}

// askPermits asks a holder, which may be the node itself. Where a datagram or its answer is
// lost the holder is asked over a connection.
func (n *Node) askPermits(ctx context.Context, holder ratelimit.Holder, ask *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	if holder.Address == n.settings.advertised() {
		return n.limits.issuer.Issue(ask), nil
	}
	if n.limits.datagrams != nil && holder.DatagramAddress != "" {
		grant, err := n.limits.datagrams.Request(ctx, holder.DatagramAddress, ask)
		if err == nil || ctx.Err() != nil {
			return grant, err
		}
	}
	return n.peers.RequestPermits(ctx, holder.Address, ask)
}

// listenForAsks takes asks as datagrams, if the settings say where.
func (n *Node) listenForAsks() error {
	if n.settings.Listen.Permits == "" {
		return nil
	}
	datagrams, err := peering.ListenPermitSocket(n.settings.Listen.Permits, n.limits.issuer)
	if err != nil {
		return err
	}
	n.limits.datagrams = datagrams
	go datagrams.Run()
	return nil
}

// tenant returns a tenant of the configuration in force, nil if there is none.
func (n *Node) tenant(name string) *routetable.Tenant {
	table := n.routes.Current()
	if table == nil {
		return nil
	}
	return table.Tenant(name)
}

// hasTenants reports whether requests need keys.
func (n *Node) hasTenants() bool {
	table := n.routes.Current()
	return table != nil && table.HasTenants()
}

// hasLimits reports whether any tenant has a limit.
func (n *Node) hasLimits() bool {
	table := n.routes.Current()
	return table != nil && table.HasTenantLimits()
}

// peerServices are what the node serves to its peers.
func (n *Node) peerServices() peering.Services {
	return peering.Services{Home: n.guard, AntiEntropy: n.copies.spread, Quarantine: n.suspects, Departures: n.registrar, Permits: n.limits.issuer,
		Codec: n.codec, MaxBytes: maxMessageBytes, Process: n.process}
}
