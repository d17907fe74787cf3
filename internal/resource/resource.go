// Package resource defines the objects that operators create (targets, services,
// policies and drains), their keys in the store and the envelope in which each is
// stored.
package resource

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindTarget  Kind = "target"
	KindService Kind = "service"
	KindPolicy  Kind = "policy"
	// KindDrain is the kind of a drain of a target or a machine.
	KindDrain Kind = "drain"
	// KindRoster is the kind of the roster of claim replicas, which nodes maintain.
	KindRoster Kind = "roster"
)

// OperatorKinds returns the kinds that operators can write.
func OperatorKinds() []Kind { return []Kind{KindTarget, KindService, KindPolicy, KindDrain} }

// KeyPrefix is the prefix of all object keys in the store.
const KeyPrefix = "/lugspur/v1/"

// MaxNameLength bounds the name of an object, in bytes. The name of a drain may be
// longer by its prefix, so that everything with a valid name can be drained.
const MaxNameLength = 100

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ID identifies an object.
type ID struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String returns the ID as kind/name.
func (i ID) String() string { return string(i.Kind) + "/" + i.Name }

// Key returns the object's key in the store.
func (i ID) Key() string { return KeyPrefix + string(i.Kind) + "/" + i.Name }

// ParseKey returns the ID of the object with the given store key.
func ParseKey(key string) (ID, error) {
	path, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return ID{}, fmt.Errorf("key %q does not start with %s", key, KeyPrefix)
	}
	kind, name, ok := strings.Cut(path, "/")
	if !ok {
		return ID{}, fmt.Errorf("key %q has no name", key)
	}
	id := ID{Kind: Kind(kind), Name: name}
	return id, id.Validate()
}

// Validate checks the kind and the format of the name.
func (i ID) Validate() error {
	switch i.Kind {
	case KindTarget, KindService, KindPolicy, KindDrain, KindRoster:
	default:
		return fmt.Errorf("unknown kind %q: allowed are target, service, policy, drain", i.Kind)
	}
	maxLength := MaxNameLength
	if i.Kind == KindDrain {
		maxLength += len(DrainMachinePrefix)
	}
	if len(i.Name) > maxLength || !namePattern.MatchString(i.Name) {
		return fmt.Errorf("name %q: allowed are 1 to %d of a-z, 0-9, '.' and '-', starting and ending with a letter or digit", i.Name, maxLength)
	}
	return nil
}

// Target is a back end instance of a service, reachable at one address.
type Target struct {
	// Service is the name of the service that the target belongs to.
	Service string `json:"service" toml:"service" cbor:"1,keyasint" validate:"required"`
	// Zone is the zone that the target runs in.
	Zone string `json:"zone" toml:"zone" cbor:"2,keyasint" validate:"required,max=64"`
	// Address is the target's IP address and port.
	Address string `json:"address" toml:"address" cbor:"3,keyasint" validate:"required,ip_port"`
	// Slots is the number of calls that the target can process concurrently.
	Slots int `json:"slots" toml:"slots" cbor:"4,keyasint" validate:"min=1,max=100000"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections" toml:"connections" cbor:"5,keyasint" validate:"min=1,max=100000"`
	// Machine is the name of the target's machine in the machine list.
	Machine string `json:"machine,omitempty" toml:"machine" cbor:"6,keyasint,omitempty" validate:"omitempty,object_name"`
	// WarmupSeconds is the time that a new target takes to reach full capacity.
	WarmupSeconds int `json:"warmup_seconds,omitempty" toml:"warmup_seconds" cbor:"7,keyasint,omitempty" validate:"min=0,max=3600"`
}

// Service is a set of targets that answer the same calls.
type Service struct {
	// Calls lists the services that this one calls to answer a call.
	Calls []string `json:"calls,omitempty" toml:"calls" cbor:"1,keyasint,omitempty" validate:"max=64,dive,required"`
	// TimeoutMillis is the timeout of a call to the service, in milliseconds,
	// unless the caller sets a shorter one; zero means the node's default.
	TimeoutMillis int `json:"timeout_ms,omitempty" toml:"timeout_ms" cbor:"2,keyasint,omitempty" validate:"min=0,max=600000"`
	// MaxRetries bounds the retries of one request that enters at this service,
	// across the whole chain; nil means the node's default.
	MaxRetries *int `json:"max_retries,omitempty" toml:"max_retries" cbor:"3,keyasint,omitempty" validate:"omitempty,min=0,max=20"`
	// RefusalHeader is the name of the answer header by which a target indicates
	// that it refused a call without executing it; empty means that targets do
	// not indicate this.
	RefusalHeader string `json:"refusal_header,omitempty" toml:"refusal_header" cbor:"4,keyasint,omitempty" validate:"max=64"`
	// LoadHeader is the name of the answer header in which a target reports its
	// load as a number, 1 being full load; empty means that targets do not report
	// it.
	LoadHeader string `json:"load_header,omitempty" toml:"load_header" cbor:"6,keyasint,omitempty" validate:"max=64"`
	// RepeatableMethods lists the methods whose calls may be executed more than
	// once; empty means GET, HEAD and OPTIONS.
	RepeatableMethods []string `json:"repeatable_methods,omitempty" toml:"repeatable_methods" cbor:"5,keyasint,omitempty" validate:"max=16,dive,required,max=16"`
}

// Policy holds the policy expressions of the service of the same name.
type Policy struct {
	// Admit is the expression that decides whether a call is admitted.
	Admit string `json:"admit,omitempty" toml:"admit" cbor:"1,keyasint,omitempty"`
	// Rank is the expression for the criticality of a call.
	Rank string `json:"rank,omitempty" toml:"rank" cbor:"2,keyasint,omitempty"`
	// Retry is the expression for the maximum number of retries of a failed call.
	Retry string `json:"retry,omitempty" toml:"retry" cbor:"3,keyasint,omitempty"`
	// Refuse is the expression for the number of seconds after which a refused
	// caller may retry.
	Refuse string `json:"refuse,omitempty" toml:"refuse" cbor:"4,keyasint,omitempty"`
}

// Drain takes a target or a machine out of service. Its name is "target." or
// "machine." followed by the name of the target or machine.
type Drain struct {
	// Reason is the operator's reason for the drain.
	Reason string `json:"reason,omitempty" toml:"reason" cbor:"1,keyasint,omitempty" validate:"max=500"`
}

// Prefixes of drain names, for targets and for machines.
const (
	DrainTargetPrefix  = "target."
	DrainMachinePrefix = "machine."
)

// Change is an accepted change of an object.
type Change struct {
	// ID identifies the change. It is chosen by the writer.
	ID string `json:"id" cbor:"1,keyasint"`
	// Author is the author as stated in the request to the administration API.
	Author string `json:"author,omitempty" cbor:"2,keyasint,omitempty"`
	// At is the time of the change by the clock of the node that wrote it.
	At time.Time `json:"at" cbor:"3,keyasint"`
	// Replaces is the revision of the object that the change replaces.
	Replaces store.Revision `json:"replaces" cbor:"4,keyasint"`
	// Deleted is true for a deletion.
	Deleted bool `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
}

// HistoryLength is the maximum number of changes in the history of an envelope.
const HistoryLength = 20

// MaxObjectSize bounds an object's encoded envelope, in bytes.
const MaxObjectSize = 64 << 10

// Envelope is the stored form of an object: its specification and its most recent
// changes, newest first. A deleted object leaves an envelope without a
// specification as a tombstone, so that an older version can't reappear
// unnoticed. Otherwise exactly one specification is set.
type Envelope struct {
	ID      ID       `json:"id" cbor:"1,keyasint"`
	Deleted bool     `json:"deleted,omitempty" cbor:"2,keyasint,omitempty"`
	History []Change `json:"history" cbor:"3,keyasint"`
	Target  *Target  `json:"target,omitempty" cbor:"4,keyasint,omitempty"`
	Service *Service `json:"service,omitempty" cbor:"5,keyasint,omitempty"`
	Policy  *Policy  `json:"policy,omitempty" cbor:"6,keyasint,omitempty"`
	Drain   *Drain   `json:"drain,omitempty" cbor:"7,keyasint,omitempty"`
	// Roster is the encoded roster of claim replicas; package claim decodes it.
	Roster []byte `json:"roster,omitempty" cbor:"8,keyasint,omitempty"`
}

// Versioned is an envelope with the store revision at which it was last modified.
type Versioned struct {
	Envelope
	Revision store.Revision `json:"revision" cbor:"16,keyasint"`
}

// Successor returns the envelope after a change: the specification of next, with
// the change prepended to the history.
func (e Envelope) Successor(next Envelope, change Change) Envelope {
	next.ID = e.ID
	next.Deleted = change.Deleted
	next.History = append([]Change{change}, e.History...)
	if len(next.History) > HistoryLength {
		next.History = next.History[:HistoryLength]
	}
	return next
}

// HasChange reports whether the history contains the change.
func (e Envelope) HasChange(changeID string) bool {
	for _, change := range e.History {
		if change.ID == changeID {
			return true
		}
	}
	return false
}
