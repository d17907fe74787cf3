// Package placement decides which node is the home of each target: rendezvous
// hashing over the live nodes of the target's zone, or of the whole cluster when
// the zone has none.
package placement

import (
	"slices"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/rendezvous"
)

// Candidates is how many nodes are known for each target: the home, and who
// takes over when the home does not answer.
const Candidates = 2

// Table is the immutable placement of a set of targets over a set of nodes.
type Table struct {
	homes map[string][]membership.Member
}

// Build places the targets of the view over the live members.
func Build(view *catalog.View, live []membership.Member) *Table {
	table := &Table{homes: make(map[string][]membership.Member, len(view.Targets))}
	byName := make(map[string]membership.Member, len(live))
	for _, member := range live {
		byName[member.Name] = member
	}
	eligible := map[string]rendezvous.Nodes{}
	for name, target := range view.Targets {
		nodes, known := eligible[target.Zone]
		if !known {
			nodes = rendezvous.Prepare(eligibleFor(target.Zone, live))
			eligible[target.Zone] = nodes
		}
		for _, home := range nodes.TopN(name, Candidates) {
			table.homes[name] = append(table.homes[name], byName[home])
		}
	}
	return table
}

// eligibleFor returns the nodes that may be homes of the targets of a zone.
func eligibleFor(zone string, live []membership.Member) []string {
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

// Homes returns the target's home and the nodes that take over after it. The
// slice must not be changed.
func (t *Table) Homes(target string) []membership.Member { return t.homes[target] }

// Owns reports whether the node is the home of the target.
func (t *Table) Owns(node, target string) bool {
	homes := t.homes[target]
	return len(homes) > 0 && homes[0].Name == node
}

// Owned returns the names of the targets whose home the node is, sorted.
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
