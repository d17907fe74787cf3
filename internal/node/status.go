package node

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/version"
)

var errTooManyDrains = errors.New("too many emergency drains, or not the name of a drain")

// Readiness reports whether the node accepts calls, with the reasons if not.
func (n *Node) Readiness() admin.Readiness {
	var reasons []string
	if !n.gateway.Ready() {
		reasons = append(reasons, "the node has no configuration yet")
	}
	if n.stopping.Load() {
		reasons = append(reasons, "the node is stopping")
	}
	return admin.Readiness{Ready: len(reasons) == 0, Reasons: reasons}
}

// Status returns the state of the node, including its load and its view of the cluster.
func (n *Node) Status() admin.Status {
	view := n.router.View()
	return admin.Status{
		Node:     n.nodeStatus(),
		Store:    n.storeStatus(),
		Members:  n.memberStatus(),
		Homes:    n.homeStatus(view),
		Targets:  n.targetStatus(view),
		Services: n.serviceStatus(view),
	}
}

func (n *Node) nodeStatus() admin.NodeStatus {
	return admin.NodeStatus{
		Name:               n.settings.Name,
		Cluster:            n.settings.Cluster,
		Region:             n.settings.Region,
		Zone:               n.settings.Zone,
		Version:            version.Current().Version,
		Readiness:          n.Readiness(),
		Stopping:           n.stopping.Load(),
		ConfigurationFloor: n.replica.Floor(),
		UptimeSeconds:      int64(time.Since(n.startedAt).Seconds()),
		ClaimEpoch:         n.claims.epoch(),
		InFlight:           int(n.gateway.InFlight()),
	}
}

func (n *Node) storeStatus() admin.StoreStatus {
	status := n.syncer.Status()
	sinceContact := time.Since(n.startedAt)
	if !status.StoreContact.IsZero() {
		sinceContact = time.Since(status.StoreContact)
	}
	return admin.StoreStatus{
		Reachable:     !status.StoreContact.IsZero() && status.StoreError == "",
		SilentSeconds: sinceContact.Seconds(),
		LastError:     status.StoreError,
	}
}

func (n *Node) memberStatus() []admin.MemberStatus {
	var members []admin.MemberStatus
	for _, member := range n.members.Members() {
		floor := n.peerFloors.get(member.Name)
		if member.Name == n.settings.Name {
			floor = n.replica.Floor()
		}
		members = append(members, admin.MemberStatus{
			Name:               member.Name,
			Region:             member.Region,
			Zone:               member.Zone,
			Address:            member.PeerAddress,
			State:              member.State.String(),
			ConfigurationFloor: floor,
		})
	}
	return members
}

func (n *Node) homeStatus(view *catalog.View) []admin.HomeStatus {
	var homes []admin.HomeStatus
	for _, target := range sortedTargets(view) {
		if home := n.homeOf(target.Name); home != "" {
			homes = append(homes, admin.HomeStatus{Target: target.Name, Node: home})
		}
	}
	return homes
}

func (n *Node) homeOf(target string) string {
	homes := n.router.Placement().Homes(target)
	if len(homes) == 0 {
		return ""
	}
	return homes[0].Name
}

func (n *Node) targetStatus(view *catalog.View) []admin.TargetStatus {
	loads := n.homes.Loads()
	var targets []admin.TargetStatus
	for _, target := range sortedTargets(view) {
		load := loads[target.Name]
		status := admin.TargetStatus{
			Name:         target.Name,
			Service:      target.Service,
			Zone:         target.Zone,
			Home:         n.homeOf(target.Name),
			Limit:        load.Limit,
			InFlight:     load.InFlight,
			Queued:       load.Queued,
			Draining:     target.Draining,
			DrainSources: n.drainSources(target),
		}
		if load.Limit > 0 {
			status.ShedLevel = shedLevelName(load.Threshold)
		}
		targets = append(targets, status)
	}
	return targets
}

func (n *Node) drainSources(target *catalog.Target) []string {
	var sources []string
	for _, name := range target.DrainNames() {
		if object, found := n.replica.Get(resource.ID{Kind: resource.KindDrain, Name: name}); found && !object.Deleted {
			sources = append(sources, "operator")
		}
		if n.syncer.EmergencyDrains().Drained(name) {
			sources = append(sources, "emergency")
		}
		if n.machines != nil && n.machines.Drained(name) {
			sources = append(sources, "machine-list")
		}
	}
	return sources
}

func (n *Node) serviceStatus(view *catalog.View) []admin.ServiceStatus {
	var services []admin.ServiceStatus
	for name, service := range view.Services {
		services = append(services, admin.ServiceStatus{
			Name:      name,
			Targets:   len(service.Targets),
			ShedLevel: shedLevelName(n.shedTable.Threshold(name, time.Now())),
		})
	}
	slices.SortFunc(services, func(a, b admin.ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	return services
}

func shedLevelName(threshold uint16) string {
	if threshold >= criticality.RankCount {
		return ""
	}
	return criticality.RankOf(threshold).Level.String()
}

func sortedTargets(view *catalog.View) []*catalog.Target {
	targets := make([]*catalog.Target, 0, len(view.Targets))
	for _, target := range view.Targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b *catalog.Target) int { return strings.Compare(a.Name, b.Name) })
	return targets
}
