package stall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTick(t *testing.T) {
	const period, tolerance = 100 * time.Millisecond, 150 * time.Millisecond
	for name, c := range map[string]struct {
		interval, lateness time.Duration
	}{
		"on time":              {period, 0},
		"early":                {period / 2, 0},
		"within the tolerance": {period + tolerance, 0},
		"process stalled":      {1600 * time.Millisecond, 1500 * time.Millisecond},
		"clock set back":       {-time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			detector := Detector{Period: period, Tolerance: tolerance}
			now := time.Unix(1, 0)
			assert.Equal(t, detector.Tick(now), time.Duration(0), "the first tick")
			now = now.Add(c.interval)
			assert.Equal(t, detector.Tick(now), c.lateness)
			assert.Equal(t, detector.Tick(now.Add(period)), time.Duration(0), "the tick after it")
		})
	}
}
