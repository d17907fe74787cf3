// Package registry keeps the targets and the nodes beside them. The Registrar
// takes the heartbeats of the target beside this node and publishes a record of
// it; the Directory tells the homes that the records of all nodes describe.
//
// A record lies under a lease. Its disappearance is only a hint, as leases also
// run out while the store is down; a record that says that the target leaves is
// a fact. A departure is written under a lease of its own before it is
// acknowledged, so that it binds every later process on the machine.
package registry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/store"
)

// Heartbeat is what a target tells of itself.
type Heartbeat struct {
	ID string
	// StartMillis is when the target started, in Unix milliseconds of its clock; zero if it does
	// not tell.
	StartMillis int64
	Service     string
	Address     string
	Slots       int
	Draining    bool
	// Warmup is how much longer the target is slow from its start.
	Warmup time.Duration
	// Sequence rises with each heartbeat of one target.
	Sequence uint64
}

// HeartbeatReceiver takes heartbeats. A nil error acknowledges.
type HeartbeatReceiver interface {
	Heartbeat(ctx context.Context, beat Heartbeat) error
	// Depart takes a target's notice that it leaves. Born is zero if it does not tell.
	Depart(ctx context.Context, id string, born int64) error
	// HeartbeatRefused takes that a heartbeat was turned away, and why.
	HeartbeatRefused(id string, reason RefusalReason)
}

// RefusalReason is why a heartbeat is turned away. What is known of the target stays as it is.
type RefusalReason string

// The reasons.
const (
	RefusedUnreadable RefusalReason = "unreadable"
	RefusedState      RefusalReason = "unknown state"
	RefusedService    RefusalReason = "unknown service"
	RefusedSlots      RefusalReason = "no slots"
	RefusedStartTime  RefusalReason = "born is no moment"
)

// Incarnation returns which start of the target the heartbeat is of.
func (b Heartbeat) Incarnation() Incarnation { return Incarnation{ID: b.ID, Born: b.StartMillis} }

// State is how far a target's life has come. It only moves forward.
type State uint8

// The states.
const (
	Absent State = iota
	Ready
	Draining
	Gone
)

var stateNames = [...]string{"absent", "ready", "draining", "gone"}

// String returns the state's name as logs write it.
func (s State) String() string { return stateNames[s] }

// Target is the target beside a node.
type Target struct {
	ID        string
	Born      int64
	Service   string
	Slots     int
	State     State
	Sequence  uint64
	WarmUntil time.Time
}

// Incarnation returns which start of the target this is.
func (t Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, Born: t.Born} }

// Record is what a node publishes of itself and the target beside it.
type Record struct {
	// Instance names the target's incarnation.
	Instance string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Zone     string `cbor:"3,keyasint"`
	// Address is where the node takes calls from its peers.
	Address string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	State   State  `cbor:"6,keyasint"`
	// Process tells the node's process from earlier ones.
	Process uint32 `cbor:"7,keyasint,omitempty"`
	// Epoch is that of the store in which the record was written. A later epoch that holds
	// the record got it out of a copy, and its node may have written others since.
	Epoch store.Epoch `cbor:"8,keyasint,omitempty"`
}

// restored reports whether a record that was read at the revision came out of a copy.
func (r *Record) restored(revision store.Revision) bool { return r.Epoch < revision.Epoch() }

// sameTarget reports whether two records tell the same of a node and the target beside it.
func (r *Record) sameTarget(other *Record) bool {
	return r.Instance == other.Instance && r.State == other.State && r.Process == other.Process
}

// Departure is the durable note that a target leaves. Nodes tell it to each other as well.
type Departure struct {
	// Instance names the incarnation that leaves.
	Instance string `cbor:"1,keyasint"`
	// Address is that of the node beside the target.
	Address string `cbor:"2,keyasint"`
}

func encode(value any) []byte {
	content, err := cbor.Marshal(value)
	if err != nil {
		// Records hold only strings and numbers, which always have a form.
		panic(err)
	}
	return content
}

// errForeignRecord means that an entry is none that a node wrote.
var errForeignRecord = errors.New("no record of a node")

// decodeRecord reads what a node published. Another writer's entry may have any content: it
// names no target to use.
func decodeRecord(entry store.Entry) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, err
	}
	known := record.State == Ready || record.State == Draining
	if !known || record.Address == "" || !strings.HasSuffix(entry.Key, record.Address) {
		return Record{}, errForeignRecord
	}
	return record, nil
}

func decodeDeparture(entry store.Entry) (Departure, error) {
	var departure Departure
	err := cbor.Unmarshal(entry.Value, &departure)
	return departure, err
}
