package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

func TestOwnerWithoutNodes(t *testing.T) {
	assert.Equal(t, Owner("key", nil), "")
	assert.Equal(t, len(TopN("key", nil, 3)), 0)
	assert.Equal(t, len(TopN("key", []string{"a"}, 0)), 0)
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	nodes := names("node-", 10)
	counts := map[string]int{}
	for _, key := range names("target-", 10000) {
		counts[Owner(key, nodes)]++
	}
	for _, node := range nodes {
		assert.Assert(t, counts[node] > 850 && counts[node] < 1150, "%s owns %d of 10000", node, counts[node])
	}
}

func TestOnlyKeysOfARemovedNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 20, rapid.ID[string]).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(nodes).Draw(t, "lost")
		remaining := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == removed })
		before, after := Owner(key, nodes), Owner(key, remaining)
		if before != removed && before != after {
			t.Fatalf("key moved from %q to %q although only %q was removed", before, after, removed)
		}
		if before == removed && after != TopN(key, nodes, 2)[1] {
			t.Fatalf("new owner is %q, expected the second node of TopN", after)
		}
	})
}

func TestOrderOfNodesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfN(rapid.StringN(1, 8, -1), 1, 20).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, 25).Draw(t, "n")
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		top := TopN(key, nodes, n)
		if !slices.Equal(top, TopN(key, shuffled, n)) || top[0] != Owner(key, shuffled) {
			t.Fatalf("the order of the nodes changed the assignment")
		}
	})
}

func TestTopNMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfN(rapid.StringN(1, 2, -1), 1, 40).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, 45).Draw(t, "n")
		var all []weightedNode
		for _, node := range nodes {
			all = append(all, weightedNode{node: node, weight: weight(xxhash.Sum64String(key), node)})
		}
		slices.SortFunc(all, compare)
		all = slices.Compact(all)
		var expected []string
		for _, chosen := range all[:min(n, len(all))] {
			expected = append(expected, chosen.node)
		}
		if top := Prepare(nodes).TopN(key, n); !slices.Equal(top, expected) {
			t.Fatalf("got %q, expected %q", top, expected)
		}
	})
}

func BenchmarkTopNOfAZone(b *testing.B) {
	nodes := Prepare(names("node-", 164))
	keys := names("target-", 820)
	b.ReportAllocs()
	for b.Loop() {
		for _, key := range keys {
			nodes.TopN(key, 2)
		}
	}
}
