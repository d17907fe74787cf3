package guard

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/transport"
)

// exchange sends an admitted call and judges the answer.
func (g *Guard) exchange(ctx context.Context, i *incarnation, permit *scheduler.Permit, call *peering.Call, screened *screening, deadline time.Time) *peering.Reply {
	started := g.now()
	remaining := deadline.Sub(started).Milliseconds()
	if remaining <= 0 {
		permit.Cancel()
		return refused(peering.Late)
	}
	if reply := g.screenLast(screened, call); reply != nil {
		permit.Cancel()
		return reply
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := g.running.begin(call, cancel)
	i.record.began(call.Route, started)
	answer, err := i.pool.Exchange(ctx, g.message(i, call, remaining))
	ended := g.now()
	callFailed := done(err == nil, ended)
	duration := ended.Sub(started)
	if err != nil {
		permit.Release(limit.Sample{Outcome: limit.Failure})
		reply := g.failureOf(ctx, call, err)
		if reply.Reason == peering.ExchangeBroken {
			open := screened.openCall(call)
			if g.brokeOff(ctx, i, open) {
				reply.Reason = peering.TargetCrashed
				if i.crash.suspects(open.Fingerprint) {
					reply.Crashes = open.Crashes
				}
			}
		}
		i.record.ended(call.Route, reply, duration, ended)
		if reply.Reason == peering.ConnectFailed {
			g.noteReach(i, false)
		}
		return reply
	}
	defer answer.Close()
	i.crash.noteAnswer(ended)
	g.noteReach(i, true)
	reply := g.judge(answer)
	reply.TargetError = failedItself(reply) && !callFailed
	if reply.Outcome == peering.Answered {
		g.noteAnswered(screened, call, ended)
	}
	permit.Release(limit.Sample{Outcome: outcomeOf(reply), Latency: duration})
	i.record.ended(call.Route, reply, duration, ended)
	if reply.Reason == peering.Misdirected {
		i.leave()
	}
	return reply
}

// failedItself reports whether the answer says that the target failed. One at the
// deadline says more of the time that the target was given.
func failedItself(reply *peering.Reply) bool {
	return reply.Outcome == peering.Answered && reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout
}

func outcomeOf(reply *peering.Reply) limit.Outcome {
	switch {
	case reply.Outcome == peering.Answered && reply.Status < http.StatusInternalServerError:
		return limit.Success
	case reply.Outcome == peering.Refused:
		return limit.Overload
	}
	return limit.Failure
}

// message returns the call as the target receives it.
func (g *Guard) message(i *incarnation, call *peering.Call, remainingMillis int64) *transport.Call {
	names := &g.config.Headers
	header := call.Header
	if header == nil {
		header = make(http.Header)
	}
	header[names.RequestID] = []string{call.RequestID}
	header[names.DeadlineMillis] = []string{strconv.FormatInt(remainingMillis, 10)}
	header[names.Caller] = []string{call.Caller}
	header[names.ExpectInstance] = []string{i.target.ID}
	return &transport.Call{
		Method:     call.Method,
		Host:       call.Host,
		RequestURI: call.URI,
		Header:     header,
		Body:       call.Body,
		Matches: func(answered http.Header) bool {
			id := answered.Get(names.RequestID)
			return id == "" || id == call.RequestID
		},
	}
}

// failureOf says what an exchange without answer means for the call.
func (g *Guard) failureOf(ctx context.Context, call *peering.Call, err error) *peering.Reply {
	var failure *transport.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	reason := peering.ExchangeBroken
	switch {
	case errors.Is(context.Cause(ctx), errQuarantined):
		reason = peering.Quarantined
	case clock.Expired(ctx):
		reason = peering.DeadlinePassed
	case ctx.Err() != nil:
		reason = peering.CallerLeft
	case !sent:
		reason = peering.ConnectFailed
	}
	if ctx.Err() == nil {
		g.log.Record(eventlog.Event{Kind: eventlog.CallFailed, Request: call.RequestID, Route: call.Route, Reason: err.Error()})
	}
	if sent {
		return failed(reason)
	}
	return refused(reason)
}

// judge decides whether the target's answer may be passed on.
func (g *Guard) judge(answer *transport.Response) *peering.Reply {
	names := &g.config.Headers
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return refused(peering.Misdirected)
	case answer.Header.Get(names.NotExecuted) != "":
		return refused(peering.TargetFull)
	case answer.Remainder != nil:
		return failed(peering.InvalidResponse)
	case answer.Header.Get(names.RequestID) == "":
		return failed(peering.InvalidResponse)
	case answer.Header.Get("Content-Encoding") != "":
		return failed(peering.InvalidResponse)
	case answer.Status < http.StatusMultipleChoices && answer.Header.Get(names.Signature) == "":
		return failed(peering.InvalidResponse)
	}
	callheader.StripConnection(answer.Header)
	answer.Header.Del(names.Load)
	// It is the call's own, which the caller's node knows.
	answer.Header.Del(names.RequestID)
	return &peering.Reply{Outcome: peering.Answered, Status: answer.Status, Header: answer.Header, Body: answer.Body}
}
