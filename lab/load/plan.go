package load

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/lugspur/lugspur/lab/mesh"
)

// Defaults and limits of a plan.
const (
	// DefaultMaxInFlight bounds the calls that are open at once.
	DefaultMaxInFlight = 20_000
	// DefaultMaxCalls bounds the calls of a run.
	DefaultMaxCalls = 5_000_000
	// DefaultBucket is the width of the timeline's buckets.
	DefaultBucket = time.Second
	// maxLateness is the 99th percentile of the start delay above which the
	// generator calls itself the bottleneck.
	maxLateness = 10 * time.Millisecond
	// maxAnswerBytes bounds an answer, in bytes.
	maxAnswerBytes = 16 << 20
	// maxIdlePerEdge is the number of idle connections kept to an edge.
	maxIdlePerEdge = 4096
)

// Phase is a part of a run with its own rate.
type Phase struct {
	Name     string
	Duration time.Duration
	// Multiplier scales the plan's rate.
	Multiplier float64
	// KindMultipliers scale single kinds on top; a kind without one keeps its
	// share.
	KindMultipliers map[string]float64
}

// Retry is what a client does by itself after a call that wasn't answered
// completely.
type Retry struct {
	// Attempts is the number of tries in all; zero and one mean no retry.
	Attempts int
	// Delay between two tries; hard clients have none.
	Delay time.Duration
	// IgnoreRefusals makes the client try again although it was told, by a
	// refusal without Retry-After, that coming back is of no use.
	IgnoreRefusals bool
}

// NoRetry is the behaviour of a client that gives up at once.
func NoRetry() Retry { return Retry{Attempts: 1} }

// HardRetry is the behaviour of a client that tries at once and always again,
// up to a number of tries.
func HardRetry(attempts int) Retry { return Retry{Attempts: attempts, IgnoreRefusals: true} }

// Plan is a run of the generator.
type Plan struct {
	Mesh *mesh.Mesh
	// Edges are the edge addresses by zone.
	Edges mesh.ZoneAddresses
	// Rate is the calls a second of all kinds at multiplier one.
	Rate   float64
	Phases []Phase
	Seed   uint64
	Retry  Retry
	// EmulateClientLatency adds the mesh's latency between clients and zones
	// on both ways.
	EmulateClientLatency bool
	// MaxInFlight and MaxCalls bound the run; zero means the defaults.
	MaxInFlight int
	MaxCalls    int
	// Bucket is the width of the timeline's buckets; zero means the default.
	Bucket time.Duration
	// KeepHistory keeps every call in the result.
	KeepHistory bool
	// History receives every call as a JSON line, if set.
	History io.Writer
}

func (p *Plan) setDefaults() {
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	if p.MaxCalls <= 0 {
		p.MaxCalls = DefaultMaxCalls
	}
	if p.Bucket <= 0 {
		p.Bucket = DefaultBucket
	}
	if p.Retry.Attempts < 1 {
		p.Retry.Attempts = 1
	}
}

func (p *Plan) validate() error {
	if p.Mesh == nil {
		return errors.New("the plan has no mesh")
	}
	if p.Rate <= 0 {
		return fmt.Errorf("rate %g isn't positive", p.Rate)
	}
	if len(p.Phases) == 0 {
		return errors.New("the plan has no phase")
	}
	if len(p.Edges) == 0 {
		return errors.New("the plan has no edge address")
	}
	for zone, addresses := range p.Edges {
		if len(addresses) == 0 {
			return fmt.Errorf("zone %s has no edge address", zone)
		}
	}
	for _, phase := range p.Phases {
		if err := p.validatePhase(phase); err != nil {
			return fmt.Errorf("phase %q: %w", phase.Name, err)
		}
	}
	return nil
}

func (p *Plan) validatePhase(phase Phase) error {
	if phase.Duration <= 0 {
		return errors.New("the duration isn't positive")
	}
	if phase.Multiplier < 0 {
		return errors.New("the multiplier is negative")
	}
	for name, multiplier := range phase.KindMultipliers {
		if _, ok := p.Mesh.Kind(name); !ok {
			return fmt.Errorf("unknown kind %q", name)
		}
		if multiplier < 0 {
			return fmt.Errorf("the multiplier of kind %s is negative", name)
		}
	}
	return nil
}

func (p *Plan) duration() time.Duration {
	var total time.Duration
	for _, phase := range p.Phases {
		total += phase.Duration
	}
	return total
}
