// Package routepolicy gives each route the policy that decides on its requests:
// whether they are admitted, how they rank, how often they are tried, and when
// a refused one is told to come back. Routes change with every configuration, so
// that operators write one policy for each kind of route and not for each route;
// a policy sees the route's priority, attempts and objective.
package routepolicy

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/routetable"
)

// Expressions that stand in for those which an operator leaves out. By the default rank a
// tenant's priority goes before that of the route: requests of tenants of priority 0 rank
// highest, others by the sum.
const (
	DefaultAdmit           = `true`
	DefaultRank            = `call.tenant != "" && call.tenant_priority <= 0 || call.priority + call.tenant_priority <= 0 ? "critical-plus" : call.priority + call.tenant_priority == 1 ? "critical" : call.priority + call.tenant_priority == 2 ? "sheddable-plus" : "sheddable"`
	DefaultRepeatableRetry = `outcome.executed == "no" ? 3 : call.attempts - 1`
	DefaultOnceRetry       = `outcome.executed == "no" ? 3 : 0`
	DefaultRefuse          = `load.free_in`
)

// Sources are the policies as operators write them. An empty expression means
// its default.
type Sources struct {
	// Repeatable decides on requests that may run more than once, and Once on those
	// that must not.
	Repeatable policy.Source `toml:"repeatable"`
	Once       policy.Source `toml:"once"`
}

// withDefaults fills in what is left out.
func (s Sources) withDefaults() Sources {
	fill(&s.Repeatable, DefaultRepeatableRetry)
	fill(&s.Once, DefaultOnceRetry)
	return s
}

func fill(source *policy.Source, retry string) {
	for _, expression := range []struct {
		text     *string
		fallback string
	}{{&source.Admit, DefaultAdmit}, {&source.Rank, DefaultRank}, {&source.Retry, retry}, {&source.Refuse, DefaultRefuse}} {
		if *expression.text == "" {
			*expression.text = expression.fallback
		}
	}
}

// Set holds the compiled policies. It doesn't change and is safe for concurrent
// use.
type Set struct {
	repeatable, once *policy.Program
}

// Compile checks and compiles policies. The error names every fault.
func Compile(sources Sources) (*Set, error) {
	sources = sources.withDefaults()
	set := &Set{}
	var faults []error
	for _, each := range []struct {
		key    string
		source policy.Source
		target **policy.Program
	}{{"policies.repeatable", sources.Repeatable, &set.repeatable}, {"policies.once", sources.Once, &set.once}} {
		program, err := policy.Compile(each.source)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", each.key, err))
		}
		*each.target = program
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return set, nil
}

// For returns the policy of a kind of route.
func (s *Set) For(kind routetable.Kind) *policy.Program {
	if kind == routetable.Once {
		return s.once
	}
	return s.repeatable
}

// Holder publishes the policies in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Set]
}

// NewHolder returns a holder with the set in force.
func NewHolder(set *Set) *Holder {
	h := &Holder{}
	h.current.Store(set)
	return h
}

// Put brings a set into force.
func (h *Holder) Put(set *Set) { h.current.Store(set) }

// For returns the policy in force for a kind of route.
func (h *Holder) For(kind routetable.Kind) *policy.Program { return h.current.Load().For(kind) }
