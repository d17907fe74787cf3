package guard

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/scheduler"
)

// acquire waits for room at the target. It returns a permit, or the refusal.
func (g *Guard) acquire(ctx context.Context, i *incarnation, call *peering.Call, deadline time.Time) (*scheduler.Permit, *peering.Reply) {
	rank := criticality.RankOf(call.Rank)
	i.shedding.Observe(rank)
	permit, err := i.scheduler.Acquire(ctx, scheduler.Request{
		Rank:         rank,
		EarlierCalls: call.PriorCalls,
		Deadline:     deadline,
		ID:           call.RequestID,
		MaxWait:      call.MaxWait,
	})
	if err != nil {
		return nil, refusalOf(err)
	}
	if i.leaving.Load() {
		permit.Cancel()
		return nil, refused(peering.TargetLeaving)
	}
	return permit, nil
}

var schedulerReasons = map[scheduler.Reason]peering.Reason{
	scheduler.QueueFull:  peering.QueueFull,
	scheduler.Evicted:    peering.Evicted,
	scheduler.Deadline:   peering.Late,
	scheduler.Overloaded: peering.QueueTimeout,
	scheduler.Closed:     peering.TargetLeaving,
}

func refusalOf(err error) *peering.Reply {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		return refused(peering.CallerLeft)
	}
	reply := refused(schedulerReasons[refusal.Reason])
	reply.RetryAfter = refusal.RetryAfter
	return reply
}
