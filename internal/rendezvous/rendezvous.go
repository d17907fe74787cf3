// Package rendezvous assigns keys to nodes by rendezvous (highest random
// weight) hashing.
//
// Every caller with the same set of nodes computes the same assignment without
// coordination. When a node joins or leaves, only the keys that it gains or loses
// move: about one key in len(nodes). The order of the nodes does not matter. All
// functions are pure and safe for concurrent use.
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Constants of the splitmix64 finalizer, and the rotation of the node's hash that
// prevents the XOR with the key's hash from being zero if key and node are the
// same string.
const (
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
	nodeRotation = 23
)

// weightedNode is a node with its weight for a key.
type weightedNode struct {
	node   string
	weight uint64
}

// Owner returns the node that owns the key, or "" if nodes is empty.
// It runs in time linear in the number of nodes and does not allocate.
func Owner(key string, nodes []string) string {
	keyHash := xxhash.Sum64String(key)
	var best weightedNode
	for i, node := range nodes {
		next := weightedNode{node: node, weight: weight(keyHash, node)}
		if i == 0 || compare(next, best) < 0 {
			best = next
		}
	}
	return best.node
}

// TopN returns the n distinct nodes with the highest weights for the key, the
// owner first. Each node becomes the owner if all nodes before it are removed.
// The result is shorter if there are fewer distinct nodes.
func TopN(key string, nodes []string, n int) []string { return Prepare(nodes).TopN(key, n) }

// Nodes is an immutable set of nodes with precomputed hashes, for use with many
// keys.
type Nodes struct {
	names  []string
	hashes []uint64
}

// Prepare computes the hashes of the nodes. The slice must not be modified
// afterwards.
func Prepare(nodes []string) Nodes {
	prepared := Nodes{names: nodes, hashes: make([]uint64, len(nodes))}
	for i, node := range nodes {
		prepared.hashes[i] = hashNode(node)
	}
	return prepared
}

// TopN is like the function TopN. It runs in time linear in the number of nodes
// for small n.
func (p Nodes) TopN(key string, n int) []string {
	if n <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	best := make([]weightedNode, 0, min(n, len(p.names))+1)
	for i, node := range p.names {
		next := weightedNode{node: node, weight: mix(keyHash ^ p.hashes[i])}
		if len(best) == n && compare(next, best[n-1]) >= 0 {
			continue
		}
		best = insert(best, next)
		best = best[:min(n, len(best))]
	}
	top := make([]string, len(best))
	for i, entry := range best {
		top[i] = entry.node
	}
	return top
}

// insert adds a node to a sorted list, unless the list contains it.
func insert(sorted []weightedNode, added weightedNode) []weightedNode {
	position, found := slices.BinarySearchFunc(sorted, added, compare)
	if found {
		return sorted
	}
	return slices.Insert(sorted, position, added)
}

// compare orders nodes by descending weight, then by name.
func compare(a, b weightedNode) int {
	if byWeight := cmp.Compare(b.weight, a.weight); byWeight != 0 {
		return byWeight
	}
	return cmp.Compare(a.node, b.node)
}

// weight returns the pseudo-random weight of a node for a key's hash.
func weight(keyHash uint64, node string) uint64 { return mix(keyHash ^ hashNode(node)) }

func hashNode(node string) uint64 { return bits.RotateLeft64(xxhash.Sum64String(node), nodeRotation) }

func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * mixFirst
	x = (x ^ (x >> 27)) * mixSecond
	return x ^ (x >> 31)
}
