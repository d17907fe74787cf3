package configuration

import (
	"math/rand/v2"
	"slices"

	"github.com/lugspur/lugspur/internal/rendezvous"
)

// Member is a node in the membership.
type Member struct {
	Name string
	Zone string
	// PeerAddress is the host and port of the node's peer listener.
	PeerAddress string
	Live        bool
}

// Membership returns the currently known nodes, which may include this one. It
// is safe for concurrent use.
type Membership interface {
	Members() []Member
}

// watcherRankKey is the rendezvous key that selects the watchers of a zone.
const watcherRankKey = "configuration-watch"

// IsWatcher reports whether a node is one of the count live members of its zone
// that watch the store: those with the highest rendezvous weights. The node
// itself counts as live.
func IsWatcher(self Member, members []Member, count int) bool {
	names := []string{self.Name}
	for _, member := range members {
		if member.Live && member.Zone == self.Zone && member.Name != self.Name {
			names = append(names, member.Name)
		}
	}
	return slices.Contains(rendezvous.TopN(watcherRankKey, names, count), self.Name)
}

// livePeers returns the live members other than the node itself, in random
// order.
func livePeers(self string, members []Member) []Member {
	peers := slices.DeleteFunc(slices.Clone(members), func(member Member) bool {
		return !member.Live || member.Name == self || member.PeerAddress == ""
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// otherZonesFirst reorders peers so that one peer of each other zone comes
// first.
func otherZonesFirst(localZone string, peers []Member) []Member {
	seen := map[string]bool{localZone: true}
	var first, rest []Member
	for _, peer := range peers {
		if seen[peer.Zone] {
			rest = append(rest, peer)
			continue
		}
		seen[peer.Zone] = true
		first = append(first, peer)
	}
	return append(first, rest...)
}

// includeSuccessor moves the successor of a node among its peers, which is the one with the next
// higher name or else the one with the lowest, into the first count peers. Each peer is then chosen
// by at least one node. The others of the first count keep their order; a single one is not
// replaced, because it could be a peer that is down.
func includeSuccessor(self string, peers []Member, count int) {
	if count < 2 || len(peers) <= count {
		return
	}
	successor := 0
	for i := range peers {
		if follows(self, peers[successor].Name, peers[i].Name) {
			successor = i
		}
	}
	if successor >= count {
		peers[count-1], peers[successor] = peers[successor], peers[count-1]
	}
}

// follows reports whether candidate comes before current in the cyclic order of names that starts
// after self.
func follows(self, current, candidate string) bool {
	if (candidate > self) != (current > self) {
		return candidate > self
	}
	return candidate < current
}
