package claim

// NextReplace starts the replacement of a holder by a joining replica, which
// supersedes a replica that is already joining for the seat. The holder loses
// its vote. NextReplace fails with ErrTooFewVoters if too few voters would be
// left for the joining replica to copy the claims of a majority.
func (r Roster) NextReplace(holder Identity, joining Member) (Roster, error) {
	if r.seatOf(joining.Identity) != nil || r.joiningSeatOf(joining.Identity) != nil {
		return Roster{}, ErrAlreadySeated
	}
	n := r.nextEpoch()
	seat := n.seatOf(holder)
	if seat == nil {
		return Roster{}, ErrNoSeat
	}
	seat.Joining = &joining
	if len(n.Voters()) < n.Majority() {
		return Roster{}, ErrTooFewVoters
	}
	return n, n.Validate()
}

// NextReinstate cancels the replacement of a holder, which can then vote again.
// The holder still has its claims, since its boot ID is the same.
func (r Roster) NextReinstate(holder Identity) (Roster, error) {
	n := r.nextEpoch()
	seat := n.seatOf(holder)
	if seat == nil || seat.Joining == nil || seat.Lost {
		return Roster{}, ErrNoSeat
	}
	seat.Joining = nil
	return n, n.Validate()
}

// NextActivate makes a joining replica the holder of its seat. Only the replica
// itself may call it, and only while Replica.Ready returns the epoch of r.
func (r Roster) NextActivate(joining Identity) (Roster, error) {
	n := r.nextEpoch()
	seat := n.joiningSeatOf(joining)
	if seat == nil {
		return Roster{}, ErrNoSeat
	}
	*seat = Seat{Holder: *seat.Joining}
	return n, n.Validate()
}

// NextLost marks as lost the holder that has the same name as the given process
// and another boot ID. Two processes never have the same name at a time, so the
// running process proves that the holder has ended. Therefore only that process
// itself may call it.
func (r Roster) NextLost(process Identity) (Roster, error) {
	n := r.nextEpoch()
	for i := range n.Seats {
		seat := &n.Seats[i]
		if seat.Holder.Identity.Name != process.Name || seat.Lost {
			continue
		}
		if seat.Holder.Identity.Boot == process.Boot {
			return Roster{}, ErrSameBoot
		}
		seat.Lost = true
		return n, n.Validate()
	}
	return Roster{}, ErrNoSeat
}

// NextForget marks a holder as lost at an operator's request. It is safe only if
// the holder's machine has been shut down permanently.
func (r Roster) NextForget(holder Identity) (Roster, error) {
	n := r.nextEpoch()
	seat := n.seatOf(holder)
	if seat == nil || seat.Lost {
		return Roster{}, ErrNoSeat
	}
	seat.Lost = true
	return n, n.Validate()
}

// NextGeneration replaces all holders once a majority of them is marked as lost,
// so that the old holders can no longer decide a claim. The new holders grant
// nothing until the retention has passed.
func (r Roster) NextGeneration(members []Member) (Roster, error) {
	if r.LostSeats() < r.Majority() {
		return Roster{}, ErrTooFewLost
	}
	if len(members) != len(r.Seats) {
		return Roster{}, ErrWrongMemberCount
	}
	n := r.nextEpoch()
	n.FoundingEpoch = n.Epoch
	n.Seats = founderSeats(members)
	return n, n.Validate()
}
