package membership

import (
	"errors"
	"net/netip"
	"time"
	"unicode/utf8"
)

// State is what is believed of a member. At the same incarnation a higher state
// overrides a lower one.
type State uint8

// The states of a member.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members failed a probe and have not refuted it yet.
	Suspect
	// Leaving members still answer but have announced that they will stop.
	Leaving
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members have stopped as announced.
	Left
)

const stateCount = 5

var stateNames = [stateCount]string{"alive", "suspect", "leaving", "dead", "left"}

// String returns the name of the state as logs and status pages show it.
func (s State) String() string {
	if !s.valid() {
		return "invalid"
	}
	return stateNames[s]
}

func (s State) valid() bool { return s < stateCount }

// Gone reports whether the member takes no part any more: it is dead or left.
func (s State) Gone() bool { return s >= Dead }

// Live reports whether the member may be given work: it is alive or merely
// suspected.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Limits on the strings of a member, in bytes. With them every datagram has
// room for the sender, the payload and at least one update.
const (
	maxNameLength    = 64
	maxZoneLength    = 32
	maxAddressLength = 64
)

// maxIncarnationLead is how far ahead of the local clock an incarnation may be;
// it bounds what a forged or mistaken record can do.
const maxIncarnationLead = 24 * time.Hour

// Member is a node of the cluster. Its fields travel in every record of the
// protocol under integer keys.
type Member struct {
	// Name is unique in the cluster and stays the same over restarts.
	Name string `cbor:"1,keyasint"`
	// Zone and Region say where the node runs.
	Zone   string `cbor:"2,keyasint,omitempty"`
	Region string `cbor:"3,keyasint,omitempty"`
	// PeerAddress is the node-to-node address, IP:port, the same port number
	// for TCP and UDP.
	PeerAddress string `cbor:"4,keyasint,omitempty"`
	// MeshAddress is the address for calls between services, IP:port.
	MeshAddress string `cbor:"5,keyasint,omitempty"`
	// Incarnation starts as the boot time in nanoseconds since 1970 and is
	// raised by the member itself to refute what is said of it.
	Incarnation uint64 `cbor:"6,keyasint"`
	// BootID differs between two runs of the same member.
	BootID uint64 `cbor:"7,keyasint"`
	// State is the sender's belief.
	State State `cbor:"8,keyasint,omitempty"`
}

// compact returns the member without what does not change while it runs. A
// receiver that knows the run fills the rest in.
func (m Member) compact() Member {
	return Member{Name: m.Name, Incarnation: m.Incarnation, BootID: m.BootID, State: m.State}
}

// full reports whether the record says where the member runs.
func (m Member) full() bool { return m.PeerAddress != "" }

// supersedes reports whether the record overrides an older belief.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// check returns an error if a record from outside must not enter the list.
func (m Member) check(now time.Time) error {
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

// Causes of a rejected record or setting.
var (
	errInvalidName        = errors.New("name is empty, too long or not printable")
	errInvalidZone        = errors.New("zone or region is too long or not printable")
	errInvalidState       = errors.New("unknown member state")
	errInvalidIncarnation = errors.New("incarnation is zero or too far in the future")
	errInvalidAddress     = errors.New("address is not IP:port")
)

// printable reports whether the text fits and holds no control characters,
// which would disturb logs and terminals.
func printable(text string, limit int) bool {
	if len(text) > limit || !utf8.ValidString(text) {
		return false
	}
	for _, symbol := range text {
		if symbol < ' ' || symbol == 0x7f {
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
