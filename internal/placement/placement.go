// Package placement assigns a home node to each target by rendezvous hashing over the
// live nodes of the target's zone, or of the whole cluster if the zone has none.
package placement

import (
	"slices"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/rendezvous"
)

// HomesPerTarget is the number of candidate nodes per target: its home, and the
// fallback that takes over if the home does not respond.
const HomesPerTarget = 2

// Table is an immutable assignment of targets to nodes.
type Table struct {
	homes map[string][]membership.Member
}

// Build assigns the targets of the view to the live members.
func Build(view *catalog.View, live []membership.Member) *Table {
	table := &Table{homes: make(map[string][]membership.Member, len(view.Targets))}
	byName := make(map[string]membership.Member, len(live))
	for _, member := range live {
		byName[member.Name] = member
	}
	eligible := map[string]rendezvous.Nodes{}
	for name, target := range view.Targets {
		nodes, found := eligible[target.Zone]
		if !found {
			nodes = rendezvous.Prepare(eligibleHomes(target.Zone, live))
			eligible[target.Zone] = nodes
		}
		for _, home := range nodes.TopN(name, HomesPerTarget) {
			table.homes[name] = append(table.homes[name], byName[home])
		}
	}
	return table
}

// eligibleHomes returns the names of the nodes that can be the homes of the targets
// in a zone.
func eligibleHomes(zone string, live []membership.Member) []string {
	var inZone, all []string
	for _, member := range live {
		all = append(all, member.Name)
		if member.Zone == zone {
			inZone = append(inZone, member.Name)
		}
	}
	if len(inZone) > 0 {
		return inZone
	}
	return all
}

// Homes returns the target's home followed by its fallbacks. The caller must not
// modify the slice.
func (t *Table) Homes(target string) []membership.Member { return t.homes[target] }

// Owns reports whether the node is the home of the target, not its fallback.
func (t *Table) Owns(node, target string) bool {
	homes := t.homes[target]
	return len(homes) > 0 && homes[0].Name == node
}

// Owned returns the sorted names of the targets whose home is the node.
func (t *Table) Owned(node string) []string {
	var owned []string
	for target := range t.homes {
		if t.Owns(node, target) {
			owned = append(owned, target)
		}
	}
	slices.Sort(owned)
	return owned
}
