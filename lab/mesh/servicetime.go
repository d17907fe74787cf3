package mesh

import (
	"math"
	"math/rand/v2"
	"time"
)

// Values of ServiceTime.Distribution.
const (
	Lognormal   = "lognormal"
	Exponential = "exponential"
)

// ServiceTime is the distribution of the duration of a call's own work.
type ServiceTime struct {
	Distribution string `toml:"distribution" validate:"required,oneof=lognormal exponential"`
	// MedianMs and Sigma describe a lognormal distribution; sigma is the
	// standard deviation of the logarithm.
	MedianMs float64 `toml:"median_ms" validate:"required_if=Distribution lognormal,gte=0"`
	Sigma    float64 `toml:"sigma" validate:"gte=0,lte=3"`
	// MeanMs describes an exponential distribution.
	MeanMs float64 `toml:"mean_ms" validate:"required_if=Distribution exponential,gte=0"`
}

// Mean returns the mean of the distribution.
func (t ServiceTime) Mean() time.Duration {
	if t.Distribution == Exponential {
		return Milliseconds(t.MeanMs)
	}
	return Milliseconds(t.MedianMs * math.Exp(t.Sigma*t.Sigma/2))
}

// Sample returns one random service time. The caller must synchronize access to the
// source.
func (t ServiceTime) Sample(source *rand.Rand) time.Duration {
	if t.Distribution == Exponential {
		return Milliseconds(t.MeanMs * source.ExpFloat64())
	}
	return Milliseconds(t.MedianMs * math.Exp(t.Sigma*source.NormFloat64()))
}
