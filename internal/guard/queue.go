package guard

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/scheduler"
)

// acquire queues the call until the target has capacity. It returns a permit, or the reply
// for a refused call.
func (g *Guard) acquire(ctx context.Context, inc *incarnation, call *peering.Call, deadline time.Time) (*scheduler.Permit, *peering.Reply) {
	rank := criticality.RankOf(call.Rank)
	inc.shedding.Observe(rank)
	permit, err := inc.scheduler.Acquire(ctx, scheduler.Request{
		Rank:        rank,
		PriorCalls:  call.PriorCalls,
		Deadline:    deadline,
		ID:          call.RequestID,
		MaxWait:     call.MaxWait,
		Usual:       inc.stats.latency(call.Route, g.now()),
		Alternative: call.Alternative,
	})
	if err != nil {
		return nil, g.replyForAcquireError(call, err)
	}
	if inc.draining.Load() {
		permit.Cancel()
		return nil, refusedReply(peering.TargetLeaving)
	}
	return permit, nil
}

// schedulerReasons maps the scheduler's refusal reasons to those of the peer protocol.
var schedulerReasons = map[scheduler.Reason]peering.Reason{
	scheduler.QueueFull:        peering.QueueFull,
	scheduler.Evicted:          peering.Evicted,
	scheduler.Deadline:         peering.WouldMissDeadline,
	scheduler.Overloaded:       peering.QueueTimeout,
	scheduler.Closed:           peering.TargetLeaving,
	scheduler.EarlierElsewhere: peering.EarlierElsewhere,
}

func (g *Guard) replyForAcquireError(call *peering.Call, err error) *peering.Reply {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		return refusedReply(peering.CallCanceled)
	}
	reply := refusedReply(schedulerReasons[refusal.Reason])
	reply.RetryAfter = refusal.RetryAfter
	if reply.Reason == peering.EarlierElsewhere && g.config.Observer != nil {
		g.config.Observer.CallGivenBack(call.Service)
	}
	return reply
}

// paceFactor returns the factor by which calls at the target currently take longer than usual.
func (inc *incarnation) paceFactor(now time.Time) float64 { return inc.stats.pace.Factor(now) }
