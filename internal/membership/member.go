package membership

import (
	"errors"
	"net/netip"
	"time"
	"unicode/utf8"
)

// State is the state of a member in a node's list. At equal incarnations a higher state
// overrides a lower one.
type State uint8

// The states of a member.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer a probe and have not refuted the suspicion yet.
	Suspect
	// Leaving members still answer but have announced that they will stop.
	Leaving
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members have stopped after they had announced it.
	Left
)

const stateCount = 5

var stateNames = [stateCount]string{"alive", "suspect", "leaving", "dead", "left"}

// String returns the name of the state for logs and status pages.
func (s State) String() string {
	if !s.valid() {
		return "invalid"
	}
	return stateNames[s]
}

func (s State) valid() bool { return s < stateCount }

// DeadOrLeft reports whether the member no longer takes part in the protocol.
func (s State) DeadOrLeft() bool { return s >= Dead }

// Live reports whether the member may be assigned work, that is, whether its state is Alive or
// Suspect.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Length limits of a member's strings in bytes. With them every datagram has room for the
// sender, the payload and at least one update.
const (
	maxNameLength    = 64
	maxZoneLength    = 32
	maxAddressLength = 64
)

// maxIncarnationLead is how far an incarnation may be ahead of the local clock. It limits the
// effect of a forged or erroneous record.
const maxIncarnationLead = 24 * time.Hour

// Member is the record of a cluster member. It is encoded as a CBOR map with integer keys.
type Member struct {
	// Name is unique in the cluster and does not change on a restart.
	Name string `cbor:"1,keyasint"`
	// Zone and Region are the location of the node.
	Zone   string `cbor:"2,keyasint,omitempty"`
	Region string `cbor:"3,keyasint,omitempty"`
	// PeerAddress is the node-to-node address, IP:port. TCP and UDP use the same port number.
	PeerAddress string `cbor:"4,keyasint,omitempty"`
	// MeshAddress is the address for calls between services, IP:port.
	MeshAddress string `cbor:"5,keyasint,omitempty"`
	// Incarnation is initially the start time in nanoseconds since 1970. Only the member itself
	// raises it, to override the records of it in other nodes' lists.
	Incarnation uint64 `cbor:"6,keyasint"`
	// BootID identifies one run of the member's process.
	BootID uint64 `cbor:"7,keyasint"`
	// State is the state of the member in the sender's list.
	State State `cbor:"8,keyasint,omitempty"`
}

// compact returns the record without the zone, the region and the addresses, which do not change
// while the process runs. A receiver that has a full record with the same BootID keeps them.
func (m Member) compact() Member {
	return Member{Name: m.Name, Incarnation: m.Incarnation, BootID: m.BootID, State: m.State}
}

// full reports whether the record includes the zone, the region and the addresses.
func (m Member) full() bool { return m.PeerAddress != "" }

// supersedes reports whether the record overrides a known one.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// validate returns an error if the record must not be added to the list.
func (m Member) validate(now time.Time) error {
	latest := uint64(now.Add(maxIncarnationLead).UnixNano())
	switch {
	case !printable(m.Name, maxNameLength) || m.Name == "":
		return errInvalidName
	case !printable(m.Zone, maxZoneLength) || !printable(m.Region, maxZoneLength):
		return errInvalidZone
	case !m.State.valid():
		return errInvalidState
	case m.Incarnation == 0 || m.Incarnation > latest:
		return errInvalidIncarnation
	case m.PeerAddress != "" && !validAddress(m.PeerAddress):
		return errInvalidAddress
	case m.MeshAddress != "" && !validAddress(m.MeshAddress):
		return errInvalidAddress
	}
	return nil
}

// Errors of invalid records and settings.
var (
	errInvalidName        = errors.New("name is empty, too long or not printable")
	errInvalidZone        = errors.New("zone or region is too long or not printable")
	errInvalidState       = errors.New("unknown member state")
	errInvalidIncarnation = errors.New("incarnation is zero or too far in the future")
	errInvalidAddress     = errors.New("address is not IP:port")
)

// printable reports whether the text is within the limit and contains no control characters,
// which would corrupt logs and terminal output.
func printable(text string, limit int) bool {
	if len(text) > limit || !utf8.ValidString(text) {
		return false
	}
	for _, char := range text {
		if char < ' ' || char == 0x7f {
			return false
		}
	}
	return true
}

func validAddress(address string) bool {
	if len(address) > maxAddressLength {
		return false
	}
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
