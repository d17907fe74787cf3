// Package resource defines the objects that operators create: targets,
// services, policies and drains, with their keys in the store and the envelope
// that each is stored in.
package resource

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Kind names a kind of object.
type Kind string

// The kinds of objects.
const (
	KindTarget  Kind = "target"
	KindService Kind = "service"
	KindPolicy  Kind = "policy"
	// KindDrain marks a target or a machine as leaving.
	KindDrain Kind = "drain"
	// KindRoster is kept by the nodes themselves: the claim replicas.
	KindRoster Kind = "roster"
)

// OperatorKinds are the kinds that operators write.
func OperatorKinds() []Kind { return []Kind{KindTarget, KindService, KindPolicy, KindDrain} }

// KeyPrefix starts every key of an object in the store.
const KeyPrefix = "/lugspur/v1/"

// MaxNameLength bounds the name of an object, in bytes. A drain's name may be
// longer by its prefix, so that whatever has a valid name can be drained.
const MaxNameLength = 100

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ID names one object.
type ID struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String returns kind/name.
func (i ID) String() string { return string(i.Kind) + "/" + i.Name }

// Key returns the object's key in the store.
func (i ID) Key() string { return KeyPrefix + string(i.Kind) + "/" + i.Name }

// ParseKey returns the object that a key names.
func ParseKey(key string) (ID, error) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return ID{}, fmt.Errorf("key %q does not start with %s", key, KeyPrefix)
	}
	kind, name, ok := strings.Cut(rest, "/")
	if !ok {
		return ID{}, fmt.Errorf("key %q has no name", key)
	}
	id := ID{Kind: Kind(kind), Name: name}
	return id, id.Validate()
}

// Validate checks the kind and the form of the name.
func (i ID) Validate() error {
	switch i.Kind {
	case KindTarget, KindService, KindPolicy, KindDrain, KindRoster:
	default:
		return fmt.Errorf("unknown kind %q: allowed are target, service, policy, drain", i.Kind)
	}
	allowed := MaxNameLength
	if i.Kind == KindDrain {
		allowed += len(DrainMachinePrefix)
	}
	if len(i.Name) > allowed || !namePattern.MatchString(i.Name) {
		return fmt.Errorf("name %q: allowed are 1 to %d of a-z, 0-9, '.' and '-', starting and ending with a letter or digit", i.Name, allowed)
	}
	return nil
}

// Target is one back end of a service: one address that answers calls.
type Target struct {
	// Service is the name of the service that the target belongs to.
	Service string `json:"service" toml:"service" cbor:"1,keyasint" validate:"required"`
	// Zone is the zone that the target runs in.
	Zone string `json:"zone" toml:"zone" cbor:"2,keyasint" validate:"required,max=64"`
	// Address is the target's IP address and port.
	Address string `json:"address" toml:"address" cbor:"3,keyasint" validate:"required,ip_port"`
	// Slots is how many calls the target can work on at the same time.
	Slots int `json:"slots" toml:"slots" cbor:"4,keyasint" validate:"min=1,max=100000"`
	// Connections is how many connections the target accepts.
	Connections int `json:"connections" toml:"connections" cbor:"5,keyasint" validate:"min=1,max=100000"`
	// Machine names the machine of the machine list that the target runs on.
	Machine string `json:"machine,omitempty" toml:"machine" cbor:"6,keyasint,omitempty" validate:"omitempty,object_name"`
	// WarmupSeconds is how long a target that joins takes to reach full speed.
	WarmupSeconds int `json:"warmup_seconds,omitempty" toml:"warmup_seconds" cbor:"7,keyasint,omitempty" validate:"min=0,max=3600"`
}

// Service is a set of targets that answer the same calls.
type Service struct {
	// Calls names the services that a call to this one needs.
	Calls []string `json:"calls,omitempty" toml:"calls" cbor:"1,keyasint,omitempty" validate:"max=64,dive,required"`
	// TimeoutMillis bounds a call to the service, in milliseconds, when the
	// caller gives no shorter one; zero means the node's default.
	TimeoutMillis int `json:"timeout_ms,omitempty" toml:"timeout_ms" cbor:"2,keyasint,omitempty" validate:"min=0,max=600000"`
	// MaxRetries bounds the retries of one request that enters at this service,
	// across the whole chain; nil means the node's default.
	MaxRetries *int `json:"max_retries,omitempty" toml:"max_retries" cbor:"3,keyasint,omitempty" validate:"omitempty,min=0,max=20"`
	// RefusalHeader names the answer header by which the service's targets say
	// that they refused a call without running it; empty means that they never
	// say so.
	RefusalHeader string `json:"refusal_header,omitempty" toml:"refusal_header" cbor:"4,keyasint,omitempty" validate:"max=64"`
	// LoadHeader names the answer header by which the service's targets report
	// their load as a number, 1 being full; empty means that they don't.
	LoadHeader string `json:"load_header,omitempty" toml:"load_header" cbor:"6,keyasint,omitempty" validate:"max=64"`
	// RepeatableMethods lists the methods whose calls may be run more than once;
	// empty means GET, HEAD and OPTIONS.
	RepeatableMethods []string `json:"repeatable_methods,omitempty" toml:"repeatable_methods" cbor:"5,keyasint,omitempty" validate:"max=16,dive,required,max=16"`
}

// Policy is the program of one service; it has the service's name.
type Policy struct {
	// Admit says whether a call may go ahead at all.
	Admit string `json:"admit,omitempty" toml:"admit" cbor:"1,keyasint,omitempty"`
	// Rank gives a call's criticality.
	Rank string `json:"rank,omitempty" toml:"rank" cbor:"2,keyasint,omitempty"`
	// Retry gives the number of retries that a failed call may have.
	Retry string `json:"retry,omitempty" toml:"retry" cbor:"3,keyasint,omitempty"`
	// Refuse gives the seconds after which a refused caller may come back.
	Refuse string `json:"refuse,omitempty" toml:"refuse" cbor:"4,keyasint,omitempty"`
}

// Drain marks a target or a machine as leaving. Its name is "target." or
// "machine." followed by the name of what leaves.
type Drain struct {
	// Reason is the operator's note.
	Reason string `json:"reason,omitempty" toml:"reason" cbor:"1,keyasint,omitempty" validate:"max=500"`
}

// Names of drains start with what they mark.
const (
	DrainTargetPrefix  = "target."
	DrainMachinePrefix = "machine."
)

// Change is one accepted change of an object.
type Change struct {
	// ID names the change; the writer chose it.
	ID string `json:"id" cbor:"1,keyasint"`
	// Author is who made it, as the administration API was told.
	Author string `json:"author,omitempty" cbor:"2,keyasint,omitempty"`
	// At is when the writing node made it, by its clock.
	At time.Time `json:"at" cbor:"3,keyasint"`
	// Replaces is the revision that the change was made against.
	Replaces store.Revision `json:"replaces" cbor:"4,keyasint"`
	// Deleted marks a deletion.
	Deleted bool `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
}

// HistoryLength bounds the changes that an object's envelope keeps.
const HistoryLength = 20

// MaxObjectSize bounds an object's encoded envelope, in bytes.
const MaxObjectSize = 64 << 10

// Envelope is what the store holds for one object: its specification and the
// last changes, newest first. A deleted object leaves an envelope without a
// specification, so that an older version can never come back unseen. Exactly
// one specification is set otherwise.
type Envelope struct {
	ID      ID       `json:"id" cbor:"1,keyasint"`
	Deleted bool     `json:"deleted,omitempty" cbor:"2,keyasint,omitempty"`
	History []Change `json:"history" cbor:"3,keyasint"`
	Target  *Target  `json:"target,omitempty" cbor:"4,keyasint,omitempty"`
	Service *Service `json:"service,omitempty" cbor:"5,keyasint,omitempty"`
	Policy  *Policy  `json:"policy,omitempty" cbor:"6,keyasint,omitempty"`
	Drain   *Drain   `json:"drain,omitempty" cbor:"7,keyasint,omitempty"`
	// Roster is the encoded roster of claim replicas; package claim reads it.
	Roster []byte `json:"roster,omitempty" cbor:"8,keyasint,omitempty"`
}

// Versioned is an envelope with the revision of the store that it stands at.
type Versioned struct {
	Envelope
	Revision store.Revision `json:"revision" cbor:"16,keyasint"`
}

// Successor returns the envelope that a change leads to: the specification of
// next, the change in front of the history.
func (e Envelope) Successor(next Envelope, change Change) Envelope {
	next.ID = e.ID
	next.Deleted = change.Deleted
	next.History = append([]Change{change}, e.History...)
	if len(next.History) > HistoryLength {
		next.History = next.History[:HistoryLength]
	}
	return next
}

// HasChange reports whether the change is in the history.
func (e Envelope) HasChange(changeID string) bool {
	for _, change := range e.History {
		if change.ID == changeID {
			return true
		}
	}
	return false
}
