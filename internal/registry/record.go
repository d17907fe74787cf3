// Package registry tracks service targets and the nodes that serve them. A node's local target
// is the service instance on its machine, and the node is the target's home. The Registrar
// handles the heartbeats of the local target and publishes a record of it in the store; the
// Directory is built from the records of all nodes and lists the homes of each service.
//
// A record is stored under a lease. Its disappearance is only a hint, because leases also expire
// while the store is down; a record with state Draining is authoritative. A departure is written
// under a separate lease before it is acknowledged, so that every later process on the machine
// reads it and does not offer the target again.
package registry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/netaddress"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// Heartbeat is the state that a target reports about itself.
type Heartbeat struct {
	ID string
	// StartMillis is the target's start time in Unix milliseconds of its own clock; zero if the target
	// does not report it.
	StartMillis int64
	Service     string
	Address     string
	Slots       int
	Draining    bool
	// Warmup is the remaining time in which the target is slow because it has just started.
	Warmup time.Duration
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
}

// HeartbeatReceiver handles the messages of the local target. A nil error acknowledges the message.
type HeartbeatReceiver interface {
	Heartbeat(ctx context.Context, heartbeat Heartbeat) error
	// Depart handles a target's notice that it is shutting down. startMillis is its start time,
	// or zero if the notice does not include it.
	Depart(ctx context.Context, id string, startMillis int64) error
	// HeartbeatRefused reports that a heartbeat was rejected, and why.
	HeartbeatRefused(id string, reason RefusalReason)
}

// RefusalReason is why a heartbeat was rejected. A rejected heartbeat does not change the
// target's state.
type RefusalReason string

// Reasons for rejecting a heartbeat.
const (
	RefusedUnreadable RefusalReason = "unreadable"
	RefusedState      RefusalReason = "unknown state"
	RefusedService    RefusalReason = "unknown service"
	RefusedSlots      RefusalReason = "no slots"
	RefusedStartTime  RefusalReason = "born is no moment"
	RefusedAddress    RefusalReason = "address of another target"
	RefusedNumber     RefusalReason = "number out of range"
	RefusedID         RefusalReason = "unusable id"
)

// Incarnation returns the incarnation that sent the heartbeat.
func (h Heartbeat) Incarnation() Incarnation {
	return Incarnation{ID: h.ID, StartMillis: h.StartMillis}
}

// State is a stage in the lifecycle of a target. An incarnation's state never moves backwards.
type State uint8

// States of a target, in order.
const (
	Absent State = iota
	Ready
	Draining
	Gone
)

var stateNames = [...]string{"absent", "ready", "draining", "gone"}

// String returns the state's name as written to logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Target is the local target of a node.
type Target struct {
	ID          string
	StartMillis int64
	Service     string
	Slots       int
	State       State
	Sequence    uint64
	WarmUntil   time.Time
	// RateLimit is the rate limit that the target announced in its responses.
	RateLimit targetrate.Announcement
}

// Incarnation returns the target's incarnation.
func (t Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, StartMillis: t.StartMillis} }

// Record is what a node publishes about itself and its local target.
type Record struct {
	// Instance is the name of the target's incarnation.
	Instance string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Zone     string `cbor:"3,keyasint"`
	// Address is where the node accepts calls from its peers.
	Address string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	State   State  `cbor:"6,keyasint"`
	// Process identifies the node's process among all that used the address.
	Process uint32 `cbor:"7,keyasint,omitempty"`
	// Epoch is the store's epoch when the record was written. If the store is in a later epoch,
	// the record was restored from a backup, and its node may have written newer ones since.
	Epoch store.Epoch `cbor:"8,keyasint,omitempty"`
	// RateLimit is the rate limit that the target announced, in calls per second; nil if it
	// announced none. It may be some seconds old.
	RateLimit *float64 `cbor:"9,keyasint,omitempty"`
	// Sequence is the sequence number of the change that the record contains (see StartNotice); zero in
	// records of earlier versions.
	Sequence uint64 `cbor:"10,keyasint,omitempty"`
	// Ended holds the start times of incarnations with the same ID that have ended although their
	// start times are higher, for later processes of the node.
	Ended []int64 `cbor:"11,keyasint,omitempty"`
}

// Announcement returns the rate limit that the target announced.
func (r *Record) Announcement() targetrate.Announcement {
	if r.RateLimit == nil {
		return targetrate.Announcement{}
	}
	return targetrate.Announcement{Limited: true, Rate: *r.RateLimit}
}

// restored reports whether a record read at the revision was restored from a backup.
func (r *Record) restored(revision store.Revision) bool { return r.Epoch < revision.Epoch() }

// equivalent reports whether two records describe the same process, incarnation and state.
func (r *Record) equivalent(other *Record) bool {
	return r.Instance == other.Instance && r.State == other.State && r.Process == other.Process
}

// Departure is the durable notice that a target is shutting down. Nodes also send it to each
// other.
type Departure struct {
	// Instance is the name of the departing incarnation.
	Instance string `cbor:"1,keyasint"`
	// Address is the address of the target's node.
	Address string `cbor:"2,keyasint"`
}

// Bounds of what nodes publish. Entries beyond them come from another writer.
const (
	// maxNameBytes bounds the names of incarnations, services and zones. A key of the store holds as
	// many bytes.
	maxNameBytes = 200
	// MaxSlots bounds the slots of a target, so that one entry can't outweigh all other homes.
	MaxSlots = 1 << 16
)

// isName reports whether a text can be the name of an incarnation, a service or a zone.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && utf8.ValidString(text)
}

// errInvalidDeparture means that an entry or a message is not the departure of a target.
var errInvalidDeparture = errors.New("departure without a target or its node")

// Validate checks a departure that another process sent or stored.
func (d Departure) Validate() error {
	if !isName(d.Instance) {
		return errInvalidDeparture
	}
	if err := netaddress.Validate(d.Address); err != nil {
		return fmt.Errorf("%w: address: %w", errInvalidDeparture, err)
	}
	return nil
}

func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		// Records hold only strings and numbers, which can always be encoded.
		panic(err)
	}
	return encoded
}

// errInvalidRecord means that an entry was not written by a node.
var errInvalidRecord = errors.New("no record of a node")

// Validate checks a record that another process sent or stored. It returns an error unless calls
// can be sent to the home that the record describes.
func (r *Record) Validate() error {
	switch {
	case r.State != Ready && r.State != Draining:
		return fmt.Errorf("%w: state %d", errInvalidRecord, r.State)
	case !isName(r.Instance):
		return fmt.Errorf("%w: instance", errInvalidRecord)
	case !isName(r.Service):
		return fmt.Errorf("%w: service", errInvalidRecord)
	case !isName(r.Zone):
		return fmt.Errorf("%w: zone", errInvalidRecord)
	case r.Slots < r.leastSlots() || r.Slots > MaxSlots:
		return fmt.Errorf("%w: %d slots", errInvalidRecord, r.Slots)
	case r.Epoch > store.MaxEpoch:
		return fmt.Errorf("%w: epoch %d", errInvalidRecord, r.Epoch)
	case r.RateLimit != nil && !(*r.RateLimit >= 0 && !math.IsInf(*r.RateLimit, 1)):
		return fmt.Errorf("%w: rate limit %g", errInvalidRecord, *r.RateLimit)
	}
	if err := netaddress.Validate(r.Address); err != nil {
		return fmt.Errorf("%w: address: %w", errInvalidRecord, err)
	}
	return nil
}

// leastSlots returns the least number of slots. A target whose first heartbeat says that it is
// draining is published without any.
func (r *Record) leastSlots() int {
	if r.State == Draining {
		return 0
	}
	return 1
}

// decodeRecord decodes a node's record under the prefix. An entry of another writer may have any
// content and must not yield a usable target.
func decodeRecord(entry store.Entry, prefix string) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, err
	}
	if entry.Key != prefix+record.Address {
		return Record{}, fmt.Errorf("%w: the address is not that of the key", errInvalidRecord)
	}
	if err := record.Validate(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// decodeDeparture decodes a departure under the prefix.
func decodeDeparture(entry store.Entry, prefix string) (Departure, error) {
	var departure Departure
	if err := cbor.Unmarshal(entry.Value, &departure); err != nil {
		return Departure{}, err
	}
	if entry.Key != prefix+departure.Instance {
		return Departure{}, fmt.Errorf("%w: the target is not that of the key", errInvalidDeparture)
	}
	return departure, departure.Validate()
}
