// Package rendezvous assigns keys to nodes by rendezvous (highest random
// weight) hashing.
//
// Every caller with the same set of nodes computes the same assignment without
// exchanging messages. When a node joins or leaves, only the keys that it gains
// or loses move: about one key in len(nodes). The order of the nodes does not
// matter. All functions are pure and safe for concurrent use.
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Constants of the splitmix64 finalizer and the rotation that keeps key and
// node from cancelling out when they are the same string.
const (
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
	nodeRotation = 23
)

// candidate is a node with its weight for one key.
type candidate struct {
	node   string
	weight uint64
}

// Owner returns the node that owns the key, or "" when there is no node.
// It runs in time linear in the number of nodes and does not allocate.
func Owner(key string, nodes []string) string {
	keyHash := xxhash.Sum64String(key)
	var best candidate
	for i, node := range nodes {
		next := candidate{node: node, weight: weight(keyHash, node)}
		if i == 0 || compare(next, best) < 0 {
			best = next
		}
	}
	return best.node
}

// TopN returns the first n distinct nodes for the key, the owner first, in the
// order in which they take the key over when those before them are gone. It
// returns fewer when there are fewer distinct nodes.
func TopN(key string, nodes []string, n int) []string { return Prepare(nodes).TopN(key, n) }

// Nodes is a set of nodes prepared for many keys, so that each name is hashed
// once. It is immutable.
type Nodes struct {
	names  []string
	hashes []uint64
}

// Prepare returns the nodes prepared. The slice must not be changed later.
func Prepare(nodes []string) Nodes {
	prepared := Nodes{names: nodes, hashes: make([]uint64, len(nodes))}
	for i, node := range nodes {
		prepared.hashes[i] = nodeHash(node)
	}
	return prepared
}

// TopN is the function TopN for prepared nodes, in time linear in their number
// for a small n.
func (p Nodes) TopN(key string, n int) []string {
	if n <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	best := make([]candidate, 0, min(n, len(p.names))+1)
	for i, node := range p.names {
		next := candidate{node: node, weight: mix(keyHash ^ p.hashes[i])}
		if len(best) == n && compare(next, best[n-1]) >= 0 {
			continue
		}
		best = insert(best, next)
		best = best[:min(n, len(best))]
	}
	top := make([]string, len(best))
	for i, chosen := range best {
		top[i] = chosen.node
	}
	return top
}

// insert adds a candidate to a sorted list, unless it is there already.
func insert(sorted []candidate, added candidate) []candidate {
	position, found := slices.BinarySearchFunc(sorted, added, compare)
	if found {
		return sorted
	}
	return slices.Insert(sorted, position, added)
}

// compare orders candidates by falling weight, then by name.
func compare(a, b candidate) int {
	if byWeight := cmp.Compare(b.weight, a.weight); byWeight != 0 {
		return byWeight
	}
	return cmp.Compare(a.node, b.node)
}

// weight is the pseudo-random weight of a node for a hashed key.
func weight(keyHash uint64, node string) uint64 { return mix(keyHash ^ nodeHash(node)) }

func nodeHash(node string) uint64 { return bits.RotateLeft64(xxhash.Sum64String(node), nodeRotation) }

func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * mixFirst
	x = (x ^ (x >> 27)) * mixSecond
	return x ^ (x >> 31)
}
