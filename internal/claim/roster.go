package claim

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"
)

const (
	// MaximumSeats bounds the size of a roster.
	MaximumSeats = 9
	// ClaimWindow is the longest time from the receipt of a call to the last
	// grant that its coordinator counts.
	ClaimWindow = 10 * time.Second
	// MinimumRetention and MaximumRetention bound a roster's retention.
	MinimumRetention = 2 * ClaimWindow
	MaximumRetention = 24 * time.Hour

	// Two clocks that are each at most one percent wrong differ by less than
	// one part in clockDriftDivisor.
	clockDriftDivisor = 50
	maximumNameBytes  = 256
)

// Errors of the roster's transitions.
var (
	ErrInvalidRoster   = errors.New("invalid roster")
	ErrNoSeat          = errors.New("no such seat")
	ErrAlreadySeated   = errors.New("replica already has a seat")
	ErrTooFewVoters    = errors.New("change would leave fewer voters than a majority")
	ErrTooFewLost      = errors.New("fewer seats are marked lost than a majority")
	ErrSameBoot        = errors.New("the holder is the process itself")
	ErrWrongMemberSize = errors.New("number of members differs from the number of seats")
)

// BootID names one run of a node's process; it is drawn at random at the start
// and never used again.
type BootID [16]byte

// NewBootID draws a boot id.
func NewBootID() BootID {
	var id BootID
	_, _ = rand.Read(id[:]) // never fails
	return id
}

// String returns the id in hexadecimal.
func (b BootID) String() string { return hex.EncodeToString(b[:]) }

// Identity names one run of one node.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	Boot BootID `cbor:"2,keyasint"`
}

// Member is a node that is or may become a replica.
type Member struct {
	Identity Identity `cbor:"1,keyasint"`
	Zone     string   `cbor:"2,keyasint"`
	// Address is the node's peer address, host and port.
	Address string `cbor:"3,keyasint"`
}

// Seat is one of the roster's places.
type Seat struct {
	Holder Member `cbor:"1,keyasint"`
	// Founder marks a holder that was seated when the generation was founded
	// and not by copying claims.
	Founder bool `cbor:"2,keyasint,omitempty"`
	// Lost marks a holder whose memory is known to be gone.
	Lost bool `cbor:"3,keyasint,omitempty"`
	// Joining is the replica that is to take the holder's place. While it is
	// set nobody votes for the seat.
	Joining *Member `cbor:"4,keyasint,omitempty"`
}

// Votes tells whether the seat's holder votes.
func (s Seat) Votes() bool { return !s.Lost && s.Joining == nil }

// Roster names the replicas of an epoch. A Roster is never changed in place:
// the Next functions return the roster that follows.
type Roster struct {
	// Lineage is drawn at random at genesis and kept by all that follow.
	Lineage [16]byte `cbor:"1,keyasint"`
	// Epoch grows by one with each change; the first is 1.
	Epoch uint64 `cbor:"2,keyasint"`
	// Founded is the epoch in which the current generation was founded.
	Founded uint64 `cbor:"3,keyasint"`
	// Retention is how long a replica remembers a claim.
	Retention time.Duration `cbor:"4,keyasint"`
	Seats     []Seat        `cbor:"5,keyasint"`
}

// NewGenesis returns the first roster. Its members vote at once, which is
// right only if it is created in a store that has never held a roster.
func NewGenesis(retention time.Duration, members []Member) (Roster, error) {
	r := Roster{Epoch: 1, Founded: 1, Retention: retention, Seats: founders(members)}
	_, _ = rand.Read(r.Lineage[:]) // never fails
	return r, r.Validate()
}

func founders(members []Member) []Seat {
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
	if r.Epoch == 0 || r.Founded == 0 || r.Founded > r.Epoch {
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

// Majority is the number of grants that decide a claim.
func (r Roster) Majority() int { return len(r.Seats)/2 + 1 }

// KeyLifetime is how long after its first use a caller may send a key again
// and be sure that the call isn't run twice.
func (r Roster) KeyLifetime() time.Duration {
	return r.Retention - r.Retention/clockDriftDivisor - ClaimWindow
}

// Voters returns the holders that vote.
func (r Roster) Voters() []Member {
	voters := make([]Member, 0, len(r.Seats))
	for _, seat := range r.Seats {
		if seat.Votes() {
			voters = append(voters, seat.Holder)
		}
	}
	return voters
}

// LostSeats returns the number of seats whose holder is marked lost.
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

// next returns a copy with the following epoch whose seats may be changed.
func (r Roster) next() Roster {
	r.Seats = append([]Seat(nil), r.Seats...)
	r.Epoch++
	return r
}
