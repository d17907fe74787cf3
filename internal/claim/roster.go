package claim

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"
)

const (
	// MaximumSeats is the maximum number of seats in a roster.
	MaximumSeats = 9
	// ClaimWindow is the maximum time after the receipt of a call at which its
	// coordinator still counts grants.
	ClaimWindow = 10 * time.Second
	// MinimumRetention and MaximumRetention are the limits of Roster.Retention.
	MinimumRetention = 2 * ClaimWindow
	MaximumRetention = 24 * time.Hour

	// Two clocks with a rate error of at most one percent each differ by at most
	// 1/clockDriftDivisor of the elapsed time.
	clockDriftDivisor = 50
	maximumNameBytes  = 256
)

// Errors returned by Validate and by the roster's transitions.
var (
	ErrInvalidRoster    = errors.New("invalid roster")
	ErrNoSeat           = errors.New("no such seat")
	ErrAlreadySeated    = errors.New("replica already has a seat")
	ErrTooFewVoters     = errors.New("change would leave too few voters for a majority")
	ErrTooFewLost       = errors.New("seats marked as lost are not a majority")
	ErrSameBoot         = errors.New("seat is held by the calling process")
	ErrWrongMemberCount = errors.New("number of members differs from the number of seats")
)

// BootID identifies one run of a node's process. It is generated at random on
// startup and never reused.
type BootID [16]byte

// NewBootID returns a random boot ID.
func NewBootID() BootID {
	var id BootID
	_, _ = rand.Read(id[:]) // never fails
	return id
}

// String returns the ID in hexadecimal.
func (b BootID) String() string { return hex.EncodeToString(b[:]) }

// Identity identifies one run of a node's process.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	Boot BootID `cbor:"2,keyasint"`
}

// Member is a node that is a replica or a candidate.
type Member struct {
	Identity Identity `cbor:"1,keyasint"`
	Zone     string   `cbor:"2,keyasint"`
	// Address is the node's peer address, host and port.
	Address string `cbor:"3,keyasint"`
}

// Seat is the place of one replica in a roster.
type Seat struct {
	Holder Member `cbor:"1,keyasint"`
	// Founder marks a holder that was seated when the generation was created,
	// rather than by copying claims.
	Founder bool `cbor:"2,keyasint,omitempty"`
	// Lost marks a holder whose process is known to have ended, and its claims
	// with it.
	Lost bool `cbor:"3,keyasint,omitempty"`
	// Joining is the replica that is replacing the holder. While it is set,
	// the seat has no vote.
	Joining *Member `cbor:"4,keyasint,omitempty"`
}

// CanVote reports whether the seat's holder has a vote.
func (s Seat) CanVote() bool { return !s.Lost && s.Joining == nil }

// Roster lists the replicas of an epoch. A Roster is immutable: the Next
// methods return the successor.
type Roster struct {
	// Lineage is generated at random for the first roster and copied to all
	// its successors.
	Lineage [16]byte `cbor:"1,keyasint"`
	// Epoch starts at 1 and increases by one with each change.
	Epoch uint64 `cbor:"2,keyasint"`
	// FoundingEpoch is the epoch in which the current generation was created.
	FoundingEpoch uint64 `cbor:"3,keyasint"`
	// Retention is how long a replica keeps a claim.
	Retention time.Duration `cbor:"4,keyasint"`
	Seats     []Seat        `cbor:"5,keyasint"`
}

// NewGenesis returns the first roster. Its members vote immediately, which is
// safe only if the store has never contained a roster.
func NewGenesis(retention time.Duration, members []Member) (Roster, error) {
	r := Roster{Epoch: 1, FoundingEpoch: 1, Retention: retention, Seats: founderSeats(members)}
	_, _ = rand.Read(r.Lineage[:]) // never fails
	return r, r.Validate()
}

func founderSeats(members []Member) []Seat {
	seats := make([]Seat, 0, len(members))
	for _, m := range members {
		seats = append(seats, Seat{Holder: m, Founder: true})
	}
	return seats
}

// Validate reports whether the roster is well formed.
func (r Roster) Validate() error {
	if len(r.Seats) == 0 || len(r.Seats) > MaximumSeats || len(r.Seats)%2 == 0 {
		return ErrInvalidRoster
	}
	if r.Epoch == 0 || r.FoundingEpoch == 0 || r.FoundingEpoch > r.Epoch {
		return ErrInvalidRoster
	}
	if r.Retention < MinimumRetention || r.Retention > MaximumRetention {
		return ErrInvalidRoster
	}
	identities := make(map[Identity]bool, 2*len(r.Seats))
	for _, seat := range r.Seats {
		if !validMember(seat.Holder) || identities[seat.Holder.Identity] {
			return ErrInvalidRoster
		}
		identities[seat.Holder.Identity] = true
		if seat.Joining == nil {
			continue
		}
		if !validMember(*seat.Joining) || identities[seat.Joining.Identity] {
			return ErrInvalidRoster
		}
		identities[seat.Joining.Identity] = true
	}
	return nil
}

func validMember(m Member) bool {
	if m.Identity.Name == "" || m.Identity.Boot == (BootID{}) {
		return false
	}
	return max(len(m.Identity.Name), len(m.Zone), len(m.Address)) <= maximumNameBytes
}

// Majority returns the number of grants that a claim needs.
func (r Roster) Majority() int { return len(r.Seats)/2 + 1 }

// KeyLifetime returns how long after its first use a key can be sent again
// with the guarantee that the call isn't run twice.
func (r Roster) KeyLifetime() time.Duration {
	return r.Retention - r.Retention/clockDriftDivisor - ClaimWindow
}

// Voters returns the holders that have a vote.
func (r Roster) Voters() []Member {
	voters := make([]Member, 0, len(r.Seats))
	for _, seat := range r.Seats {
		if seat.CanVote() {
			voters = append(voters, seat.Holder)
		}
	}
	return voters
}

// LostSeats returns the number of seats whose holder is marked as lost.
func (r Roster) LostSeats() int {
	lost := 0
	for _, seat := range r.Seats {
		if seat.Lost {
			lost++
		}
	}
	return lost
}

// seatOf returns the seat that the replica holds, or nil.
func (r Roster) seatOf(id Identity) *Seat {
	for i := range r.Seats {
		if r.Seats[i].Holder.Identity == id {
			return &r.Seats[i]
		}
	}
	return nil
}

// joiningSeatOf returns the seat that the replica is joining, or nil.
func (r Roster) joiningSeatOf(id Identity) *Seat {
	for i := range r.Seats {
		if j := r.Seats[i].Joining; j != nil && j.Identity == id {
			return &r.Seats[i]
		}
	}
	return nil
}

// nextEpoch returns a copy with the next epoch, whose seats can be modified.
func (r Roster) nextEpoch() Roster {
	r.Seats = append([]Seat(nil), r.Seats...)
	r.Epoch++
	return r
}
