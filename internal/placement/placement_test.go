package placement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/resource"
)

func viewOf(zone string, count int) *catalog.View {
	view := catalog.Empty()
	for i := range count {
		name := fmt.Sprintf("%s-%d", zone, i)
		view.Targets[name] = &catalog.Target{Name: name, Target: resource.Target{Zone: zone}}
	}
	return view
}

func membersOf(zone string, count int) []membership.Member {
	var members []membership.Member
	for i := range count {
		members = append(members, membership.Member{Name: fmt.Sprintf("node-%s-%d", zone, i), Zone: zone})
	}
	return members
}

func TestHomesAreInTheTargetsZone(t *testing.T) {
	table := Build(viewOf("a", 20), append(membersOf("a", 3), membersOf("b", 3)...))
	owners := map[string]int{}
	for i := range 20 {
		homes := table.Homes(fmt.Sprintf("a-%d", i))
		assert.Equal(t, len(homes), HomesPerTarget)
		assert.Assert(t, homes[0].Name != homes[1].Name)
		for _, home := range homes {
			assert.Equal(t, home.Zone, "a")
		}
		owners[homes[0].Name]++
	}
	assert.Equal(t, len(owners), 3, "targets are not distributed over all nodes: %v", owners)
}

func TestZoneWithoutNodes(t *testing.T) {
	table := Build(viewOf("a", 5), membersOf("b", 2))
	for i := range 5 {
		assert.Equal(t, len(table.Homes(fmt.Sprintf("a-%d", i))), 2)
	}
	assert.Equal(t, len(Build(viewOf("a", 1), nil).Homes("a-0")), 0)
	assert.Assert(t, !Build(viewOf("a", 1), nil).Owns("", "a-0"))
}

func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	members := membersOf("a", 5)
	original := Build(viewOf("a", 30), members)
	slices.Reverse(members)
	reordered := Build(viewOf("a", 30), members)
	for i := range 30 {
		assert.DeepEqual(t, original.Homes(fmt.Sprintf("a-%d", i)), reordered.Homes(fmt.Sprintf("a-%d", i)))
	}
}

func TestNodeRemovalMovesOnlyItsTargets(t *testing.T) {
	members := membersOf("a", 5)
	before := Build(viewOf("a", 60), members)
	removed := members[2].Name
	after := Build(viewOf("a", 60), slices.Delete(slices.Clone(members), 2, 3))
	moved := 0
	for i := range 60 {
		target := fmt.Sprintf("a-%d", i)
		if before.Owns(removed, target) {
			moved++
			assert.Equal(t, after.Homes(target)[0].Name, before.Homes(target)[1].Name, "the fallback did not become the home")
			continue
		}
		assert.Equal(t, after.Homes(target)[0].Name, before.Homes(target)[0].Name)
	}
	assert.Assert(t, moved > 0)
}

func TestOwnedPartitionsTargets(t *testing.T) {
	members := membersOf("a", 4)
	table := Build(viewOf("a", 40), members)
	total := 0
	for _, member := range members {
		owned := table.Owned(member.Name)
		assert.Assert(t, slices.IsSorted(owned))
		for _, target := range owned {
			assert.Assert(t, table.Owns(member.Name, target))
		}
		total += len(owned)
	}
	assert.Equal(t, total, 40)
}
