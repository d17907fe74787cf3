package configuration

import (
	"math/rand/v2"
	"slices"

	"github.com/lugspur/lugspur/internal/rendezvous"
)

// Member is a node as the membership sees it.
type Member struct {
	Name string
	Zone string
	// PeerAddress is the host and port of the node's peer listener.
	PeerAddress string
	Live        bool
}

// Membership tells the nodes that are known now, this one included or not. It
// is safe for concurrent use.
type Membership interface {
	Members() []Member
}

// watchDutyKey is the key that the nodes of a zone are ranked for.
const watchDutyKey = "configuration-watch"

// OnDuty reports whether a node is one of the count live members of its zone
// that watch the store: those with the highest rendezvous hash. The node
// itself counts as live.
func OnDuty(self Member, members []Member, count int) bool {
	names := []string{self.Name}
	for _, member := range members {
		if member.Live && member.Zone == self.Zone && member.Name != self.Name {
			names = append(names, member.Name)
		}
	}
	return slices.Contains(rendezvous.TopN(watchDutyKey, names, count), self.Name)
}

// livePeers returns the live members other than the node itself, shuffled.
func livePeers(self string, members []Member) []Member {
	peers := slices.DeleteFunc(slices.Clone(members), func(member Member) bool {
		return !member.Live || member.Name == self || member.PeerAddress == ""
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// spreadOverZones reorders peers so that the first ones are one from each zone
// other than the own one.
func spreadOverZones(ownZone string, peers []Member) []Member {
	seen := map[string]bool{ownZone: true}
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
