package soak

import (
	"context"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

// loweredRateShare is the share of its first rate limit that a target announces later.
const loweredRateShare = 0.5

// announceRateLimit makes the machine's target announce a rate limit, lower it and lift it. The
// announcements belong to this start of the target. Other faults may affect the machine
// meanwhile.
func (i *injector) announceRateLimit(ctx context.Context, fault Fault) {
	target := i.deployment.machines[fault.Machine].currentTarget.Load()
	for _, rate := range []float64{fault.Rate, fault.Rate * loweredRateShare} {
		target.AnnounceRateLimit(strconv.FormatFloat(rate, 'f', 2, 64))
		pause.For(ctx, fault.For/2)
	}
	target.AnnounceRateLimit()
}

// announceLeaving makes the machine's target announce that it is leaving, for half of the time,
// and replaces it at the end. Its heartbeats go on reporting it as ready. Other faults may affect
// the machine meanwhile.
func (i *injector) announceLeaving(ctx context.Context, fault Fault) {
	m := i.deployment.machines[fault.Machine]
	target := m.currentTarget.Load()
	target.AnnounceLeaving(true)
	pause.For(ctx, fault.For/2)
	target.AnnounceLeaving(false)
	pause.For(ctx, fault.For/2)
	i.machineLocks[fault.Machine].Lock()
	defer i.machineLocks[fault.Machine].Unlock()
	if m.currentTarget.Load() == target && !m.stopping.Load() {
		m.stopTarget()
		i.replaceTarget(m)
	}
}

// Bounds of rate limits, as the platform sets them.
const (
	// rateWindow is the span in which requests are counted. A limit must be kept in all
	// windows that begin rateStart after the target first announced it.
	rateWindow = 4 * time.Second
	rateStart  = 3 * time.Second
	// rateFactor and rateSlack are the allowed multiple of the limit, and the number of
	// requests beyond it in a window.
	rateFactor = 1.5
	rateSlack  = 5
	// rateDelay is the time after which requests count of a machine that has passed on a
	// response with the announcement. A changed limit is in force after the same time.
	rateDelay = 500 * time.Millisecond
)
