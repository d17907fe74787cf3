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
	keeper  *ratelimit.Keeper
	limiter *ratelimit.Limiter
}

// provisionLimits makes the parts that hold tenants to their limits.
func (n *Node) provisionLimits() {
	n.limits.issuer = ratelimit.NewIssuer(n.settings.Tenants.bounds(), n.tenant, clock.Now)
	n.limits.keeper = ratelimit.NewKeeper(ratelimit.KeeperConfig{
		Address: n.settings.advertised(),
		Process: n.process,
		Started: n.started,
		Prefix:  platform.ShardsPrefix,
		Store:   n.gate.Wrap(n.store.For(purposeShards)),
		Place:   n.directory.Place,
		Needed:  n.hasLimits,
		Issuer:  n.limits.issuer,
		Log:     n.log,
		Now:     clock.Now,
	})
	n.limits.limiter = ratelimit.NewLimiter(n.limits.keeper, n.askPermits, clock.Now)
}

// askPermits asks the holder at the address, which may be the node itself.
func (n *Node) askPermits(ctx context.Context, address string, ask *ratelimit.Ask) (*ratelimit.Grant, error) {
	if address == n.settings.advertised() {
		return n.limits.issuer.Issue(ask), nil
	}
	return n.peers.AskPermits(ctx, address, ask)
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
	return table != nil && table.HasLimits()
}

// peerServices are what the node serves to its peers.
func (n *Node) peerServices() peering.Services {
	return peering.Services{Home: n.guard, Spread: n.copies.spread, Notices: n.suspects, Permits: n.limits.issuer,
		Codec: n.codec, MaxBytes: maxMessageBytes, Process: n.process}
}
