package configuration

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
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

// watchDutySalt keeps the ranking of watchers apart from other uses of the
// same hash.
const watchDutySalt = "configuration-watch/"

// OnDuty reports whether a node is one of the count live members of its zone
// that watch the store: those with the highest rendezvous hash. The node
// itself counts as live.
func OnDuty(self Member, members []Member, count int) bool {
	ahead := 0
	for _, member := range members {
		rival := member.Live && member.Zone == self.Zone && member.Name != self.Name
		if rival && ranksBefore(member.Name, self.Name) {
			ahead++
		}
	}
	return ahead < count
}

func ranksBefore(a, b string) bool {
	byHash := cmp.Compare(xxhash.Sum64String(watchDutySalt+b), xxhash.Sum64String(watchDutySalt+a))
	return cmp.Or(byHash, cmp.Compare(a, b)) < 0
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
