package claim

// NextReplace gives the seat held by the holder to a joining replica, in place
// of one that may be joining already. The holder doesn't vote from then on. It
// fails with ErrTooFewVoters when the joining replica could not copy the
// claims of a majority.
func (r Roster) NextReplace(holder Identity, joining Member) (Roster, error) {
	if r.seatOf(joining.Identity) != nil || r.joiningSeatOf(joining.Identity) != nil {
		return Roster{}, ErrAlreadySeated
	}
	n := r.next()
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

// NextReinstate lets a holder vote again that was to be replaced. It still has
// its memory, since the boot id is the same.
func (r Roster) NextReinstate(holder Identity) (Roster, error) {
	n := r.next()
	seat := n.seatOf(holder)
	if seat == nil || seat.Joining == nil || seat.Lost {
		return Roster{}, ErrNoSeat
	}
	seat.Joining = nil
	return n, n.Validate()
}

// NextActivate makes a joining replica the holder of its seat. Only the
// replica itself may ask for it, and only while Replica.Ready reports the
// epoch of r.
func (r Roster) NextActivate(joining Identity) (Roster, error) {
	n := r.next()
	seat := n.joiningSeatOf(joining)
	if seat == nil {
		return Roster{}, ErrNoSeat
	}
	*seat = Seat{Holder: *seat.Joining}
	return n, n.Validate()
}

// NextLost marks the holder that has the name of the given process and another
// boot id. The process testifies that the holder is dead, since two processes
// never have one name at a time; so only the process itself may ask for it.
func (r Roster) NextLost(witness Identity) (Roster, error) {
	n := r.next()
	for i := range n.Seats {
		seat := &n.Seats[i]
		if seat.Holder.Identity.Name != witness.Name || seat.Lost {
			continue
		}
		if seat.Holder.Identity.Boot == witness.Boot {
			return Roster{}, ErrSameBoot
		}
		seat.Lost = true
		return n, n.Validate()
	}
	return Roster{}, ErrNoSeat
}

// NextForget marks a holder as lost on the word of an operator. It is safe
// only if the holder's machine is off for good.
func (r Roster) NextForget(holder Identity) (Roster, error) {
	n := r.next()
	seat := n.seatOf(holder)
	if seat == nil || seat.Lost {
		return Roster{}, ErrNoSeat
	}
	seat.Lost = true
	return n, n.Validate()
}

// NextGeneration seats new members when a majority of the holders is marked
// lost, so that no claim can be decided any more by the holders before. The
// new holders grant nothing until the retention has passed.
func (r Roster) NextGeneration(members []Member) (Roster, error) {
	if r.LostSeats() < r.Majority() {
		return Roster{}, ErrTooFewLost
	}
	if len(members) != len(r.Seats) {
		return Roster{}, ErrWrongMemberSize
	}
	n := r.next()
	n.Founded = n.Epoch
	n.Seats = founders(members)
	return n, n.Validate()
}
