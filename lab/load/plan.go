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
	// DefaultMaxInFlight is the default maximum number of open calls.
	DefaultMaxInFlight = 20_000
	// DefaultMaxCalls is the default maximum number of calls of a run.
	DefaultMaxCalls = 5_000_000
	// DefaultBucket is the default width of the timeline's buckets.
	DefaultBucket = time.Second
	// maxLateness is the 99th percentile of the start delay above which a result
	// is marked as limited by the generator.
	maxLateness = 10 * time.Millisecond
	// maxAnswerBytes is the maximum size of an answer.
	maxAnswerBytes = 16 << 20
	// maxIdlePerEdge is the maximum number of idle connections to an edge address.
	maxIdlePerEdge = 4096
)

// Phase is a part of a run with a constant rate.
type Phase struct {
	Name     string
	Duration time.Duration
	// Multiplier is multiplied with the plan's rate.
	Multiplier float64
	// KindMultipliers are multiplied with the rates of single kinds, in addition
	// to Multiplier. The default is 1.
	KindMultipliers map[string]float64
}

// Retry is the retry policy of clients for calls that weren't answered
// completely.
type Retry struct {
	// Attempts is the maximum number of attempts; zero and one disable retries.
	Attempts int
	// Delay is the delay between two attempts.
	Delay time.Duration
	// IgnoreRefusals makes the client also retry after a refusal without
	// Retry-After, which means that a retry is not useful.
	IgnoreRefusals bool
}

// NoRetry returns a policy without retries.
func NoRetry() Retry { return Retry{Attempts: 1} }

// ImmediateRetry returns a policy that retries every incomplete call without a
// delay, also after refusals, up to the given number of attempts.
func ImmediateRetry(attempts int) Retry { return Retry{Attempts: attempts, IgnoreRefusals: true} }

// Plan describes a run of the generator.
type Plan struct {
	Mesh *mesh.Mesh
	// Edges are the edge addresses by zone.
	Edges mesh.ZoneAddresses
	// Rate is the total rate of all kinds at multiplier one, in calls per second.
	Rate   float64
	Phases []Phase
	Seed   uint64
	Retry  Retry
	// EmulateClientLatency adds the mesh's latency between clients and zones in
	// both directions.
	EmulateClientLatency bool
	// MaxInFlight is the maximum number of open calls and MaxCalls the maximum
	// number of calls of the run; zero means the defaults.
	MaxInFlight int
	MaxCalls    int
	// Bucket is the width of the timeline's buckets; zero means the default.
	Bucket time.Duration
	// KeepHistory stores every call in the result.
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
