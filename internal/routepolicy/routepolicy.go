// Package routepolicy provides the policy of each kind of route, which decides whether
// requests are admitted, how they rank, how often they are retried, and which retry delay
// refused ones get. Routes change with every configuration, so operators write one policy
// for each kind of route instead of one for each route; a policy can read the route's
// priority, attempts and objective.
package routepolicy

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/routetable"
)

// Default expressions for those that an operator leaves out. In the default rank a
// tenant's priority precedes that of the route: requests of tenants with priority 0 rank
// highest, others rank by the sum of both priorities.
const (
	DefaultAdmit           = `true`
	DefaultRank            = `call.tenant != "" && call.tenant_priority <= 0 || call.priority + call.tenant_priority <= 0 ? "critical-plus" : call.priority + call.tenant_priority == 1 ? "critical" : call.priority + call.tenant_priority == 2 ? "sheddable-plus" : "sheddable"`
	DefaultRepeatableRetry = `outcome.executed == "no" ? 3 : call.attempts - 1`
	DefaultOnceRetry       = `outcome.executed == "no" ? 3 : 0`
	DefaultRefuse          = `load.free_in`
)

// Sources holds the policies as written by operators. An empty expression stands for its
// default.
type Sources struct {
	// Repeatable applies to requests that may run more than once, and Once to those that
	// must not.
	Repeatable policy.Source `toml:"repeatable"`
	Once       policy.Source `toml:"once"`
}

// withDefaults replaces empty expressions by their defaults.
func (s Sources) withDefaults() Sources {
	fillDefaults(&s.Repeatable, DefaultRepeatableRetry)
	fillDefaults(&s.Once, DefaultOnceRetry)
	return s
}

func fillDefaults(source *policy.Source, retry string) {
	for _, expression := range []struct {
		text     *string
		fallback string
	}{{&source.Admit, DefaultAdmit}, {&source.Rank, DefaultRank}, {&source.Retry, retry}, {&source.Refuse, DefaultRefuse}} {
		if *expression.text == "" {
			*expression.text = expression.fallback
		}
	}
}

// Set holds the compiled policies. It is immutable and safe for concurrent use.
type Set struct {
	repeatable, once *policy.Program
}

// Compile checks and compiles policies. The returned error joins the errors of all of
// them.
func Compile(sources Sources) (*Set, error) {
	sources = sources.withDefaults()
	set := &Set{}
	var errs []error
	for _, entry := range []struct {
		key    string
		source policy.Source
		target **policy.Program
	}{{"policies.repeatable", sources.Repeatable, &set.repeatable}, {"policies.once", sources.Once, &set.once}} {
		program, err := policy.Compile(entry.source)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", entry.key, err))
		}
		*entry.target = program
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return set, nil
}

// For returns the policy of the given kind of route.
func (s *Set) For(kind routetable.Kind) *policy.Program {
	if kind == routetable.AtMostOnce {
		return s.once
	}
	return s.repeatable
}

// Holder holds the policies in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Set]
}

// NewHolder returns a holder whose policies in force are those of the set.
func NewHolder(set *Set) *Holder {
	h := &Holder{}
	h.current.Store(set)
	return h
}

// Put replaces the policies in force.
func (h *Holder) Put(set *Set) { h.current.Store(set) }

// For returns the policy in force for the given kind of route.
func (h *Holder) For(kind routetable.Kind) *policy.Program { return h.current.Load().For(kind) }
