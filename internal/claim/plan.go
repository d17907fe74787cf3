package claim

import (
	"cmp"
	"slices"
)

// Node is a node as reported by the membership.
type Node struct {
	Name        string
	BootID      BootID
	Zone        string
	PeerAddress string
	// Alive is false for a node that is unreachable or about to stop. It affects
	// only which changes are attempted; safety doesn't depend on it.
	Alive bool
}

func (n Node) member() Member {
	return Member{Identity: Identity{Name: n.Name, Boot: n.BootID}, Zone: n.Zone, Address: n.PeerAddress}
}

// Change is the kind of change that a planned roster makes.
type Change string

// Plan considers the changes after ChangeGenesis in this order.
const (
	ChangeNone       Change = ""
	ChangeGenesis    Change = "genesis"
	ChangeActivate   Change = "activate"
	ChangeLost       Change = "mark-lost"
	ChangeGeneration Change = "new-generation"
	ChangeReinstate  Change = "reinstate"
	ChangeReplace    Change = "replace"
	ChangeSpread     Change = "spread-zones"
)

// selfOnly reports whether the change can be made only by the node that it
// concerns.
func (c Change) selfOnly() bool { return c == ChangeActivate || c == ChangeLost }

// View is the input for planning: the node's local state and its view of the
// membership.
type View struct {
	Self Identity
	// ReadyEpoch is the result of Replica.Ready, or zero if it isn't ready.
	ReadyEpoch uint64
	Nodes      []Node
}

// Plan returns the next roster and the kind of change, or ChangeNone.
func Plan(r Roster, v View) (Roster, Change) {
	if v.ReadyEpoch == r.Epoch {
		if next, err := r.NextActivate(v.Self); err == nil {
			return next, ChangeActivate
		}
	}
	if next, err := r.NextLost(v.Self); err == nil {
		return next, ChangeLost
	}
	if next, err := r.NextGeneration(spreadOverZones(v.aliveMembers(), len(r.Seats))); err == nil {
		return next, ChangeGeneration
	}
	if next, ok := planReinstatement(r, v); ok {
		return next, ChangeReinstate
	}
	if next, ok := planReplacement(r, v); ok {
		return next, ChangeReplace
	}
	if next, ok := planZoneSpread(r, v); ok {
		return next, ChangeSpread
	}
	return Roster{}, ChangeNone
}

// GenesisMembers returns the members of the first roster, or nil if too few nodes
// are alive.
func GenesisMembers(v View, size int) []Member {
	members := spreadOverZones(v.aliveMembers(), size)
	if len(members) < size {
		return nil
	}
	return members
}

func (v View) aliveMembers() []Member {
	var members []Member
	for _, n := range v.Nodes {
		if n.Alive && n.Name != "" {
			members = append(members, n.member())
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Identity.Name, b.Identity.Name) })
	return members
}

func (v View) isAlive(id Identity) bool {
	return slices.ContainsFunc(v.Nodes, func(n Node) bool {
		return n.Alive && n.Name == id.Name && n.BootID == id.Boot
	})
}

// planReinstatement cancels the replacement of a holder that is alive if the
// joining replica can't be activated.
func planReinstatement(r Roster, v View) (Roster, bool) {
	// With too few voters, a joining replica can't copy the claims of a majority.
	tooFewVoters := len(r.Voters()) < r.Majority()
	for _, seat := range r.Seats {
		if seat.Joining == nil || !v.isAlive(seat.Holder.Identity) {
			continue
		}
		if !tooFewVoters && v.isAlive(seat.Joining.Identity) {
			continue
		}
		if next, err := r.NextReinstate(seat.Holder.Identity); err == nil {
			return next, true
		}
	}
	return Roster{}, false
}

// planReplacement replaces one holder or joining replica that isn't alive. It
// does nothing while another replica is joining.
func planReplacement(r Roster, v View) (Roster, bool) {
	if slices.ContainsFunc(r.Seats, func(s Seat) bool { return s.Joining != nil && v.isAlive(s.Joining.Identity) }) {
		return Roster{}, false
	}
	for _, seat := range r.Seats {
		if seat.CanVote() && v.isAlive(seat.Holder.Identity) {
			continue
		}
		if next, ok := replaceHolder(r, v, seat); ok {
			return next, true
		}
	}
	return Roster{}, false
}

func replaceHolder(r Roster, v View, seat Seat) (Roster, bool) {
	seatCounts := seatsPerZone(r, seat.Holder.Identity)
	candidate, ok := selectCandidate(r, v.aliveMembers(), seatCounts)
	if !ok {
		return Roster{}, false
	}
	next, err := r.NextReplace(seat.Holder.Identity, candidate)
	return next, err == nil
}

// planZoneSpread moves a seat to a zone that has at least two seats fewer, if all
// holders are alive and have a vote.
func planZoneSpread(r Roster, v View) (Roster, bool) {
	for _, seat := range r.Seats {
		if !seat.CanVote() || !v.isAlive(seat.Holder.Identity) {
			return Roster{}, false
		}
	}
	for _, seat := range r.Seats {
		seatCounts := seatsPerZone(r, seat.Holder.Identity)
		candidate, ok := selectCandidate(r, v.aliveMembers(), seatCounts)
		if !ok || seatCounts[candidate.Zone] >= seatCounts[seat.Holder.Zone] {
			continue
		}
		if next, err := r.NextReplace(seat.Holder.Identity, candidate); err == nil {
			return next, true
		}
	}
	return Roster{}, false
}

// seatsPerZone counts the seats in each zone, leaving out one holder's seat.
func seatsPerZone(r Roster, without Identity) map[string]int {
	counts := make(map[string]int, len(r.Seats))
	for _, seat := range r.Seats {
		if seat.Holder.Identity == without {
			continue
		}
		if seat.Joining != nil {
			counts[seat.Joining.Zone]++
			continue
		}
		counts[seat.Holder.Zone]++
	}
	return counts
}

// selectCandidate returns a node without a seat, from the zone with the fewest
// seats.
func selectCandidate(r Roster, alive []Member, seatCounts map[string]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range alive {
		if r.seatOf(m.Identity) != nil || r.joiningSeatOf(m.Identity) != nil {
			continue
		}
		if !found || seatCounts[m.Zone] < seatCounts[best.Zone] {
			best, found = m, true
		}
	}
	return best, found
}

// spreadOverZones selects members so that they are distributed over the zones
// as evenly as possible.
func spreadOverZones(alive []Member, size int) []Member {
	memberCounts := make(map[string]int)
	selected := make([]Member, 0, size)
	remaining := slices.Clone(alive)
	for len(selected) < size && len(remaining) > 0 {
		i := indexInLeastUsedZone(remaining, memberCounts)
		memberCounts[remaining[i].Zone]++
		selected = append(selected, remaining[i])
		remaining = slices.Delete(remaining, i, i+1)
	}
	return selected
}

// indexInLeastUsedZone returns the index of the first member whose zone has the
// lowest count.
func indexInLeastUsedZone(members []Member, memberCounts map[string]int) int {
	best := 0
	for i, m := range members {
		if memberCounts[m.Zone] < memberCounts[members[best].Zone] {
			best = i
		}
	}
	return best
}
