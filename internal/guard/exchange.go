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
	"github.com/lugspur/lugspur/internal/targetrate"
	"github.com/lugspur/lugspur/internal/transport"
)

// admission is what a call needs to be sent to the target: a permit under the concurrency
// limit, and a token under the rate limit.
type admission struct {
	permit *scheduler.Permit
	token  targetrate.Decision
}

// cancel returns the permit and the token of a call that is not sent.
func (a *admission) cancel(inc *incarnation) {
	a.permit.Cancel()
	inc.announcements.pacer.Return(a.token)
}

// checkBeforeSend returns the refusal of an admitted call that must not be sent any more: its
// deadline has passed, there is no memory for its usual response, or its quarantine state or the target's rate limit has changed while
// it was queued.
func (g *Guard) checkBeforeSend(inc *incarnation, admitted *admission, call *peering.Call, screened *screening, remainingMillis int64) *peering.Reply {
	if remainingMillis <= 0 {
		return refusedReply(peering.WouldMissDeadline)
	}
	if !g.endsBeforeShutdown(inc, call, g.now()) {
		return refusedReply(peering.Stopping)
	}
	if !call.ResponseMemory.GrowToUsual(call.Route) {
		return &peering.Reply{Outcome: peering.Refused, Reason: peering.OutOfMemory, RetryAfter: call.ResponseMemory.RetryDelay()}
	}
	if reply := g.screenBeforeSend(screened, call); reply != nil {
		return reply
	}
	if admitted.token.Limited {
		return nil
	}
	token, reply := g.takeToken(inc, call)
	admitted.token = token
	return reply
}

// exchange sends an admitted call to the target and returns the reply for its response.
func (g *Guard) exchange(ctx context.Context, inc *incarnation, admitted admission, call *peering.Call, screened *screening, deadline time.Time) *peering.Reply {
	started := g.now()
	remainingMillis := deadline.Sub(started).Milliseconds()
	if reply := g.checkBeforeSend(inc, &admitted, call, screened, remainingMillis); reply != nil {
		admitted.cancel(inc)
		return reply
	}
	permit := admitted.permit
	ctx, cancel := clock.WithCancelCause(ctx)
	defer cancel(nil)
	finish := g.running.begin(call, cancel)
	inc.stats.recordStart(call.Route, started)
	g.countSent(call)
	response, err := inc.pool.Exchange(ctx, g.targetCall(inc, call, started, deadline))
	ended := g.now()
	calls := finish(err == nil, ended)
	duration := ended.Sub(started)
	if err != nil {
		permit.Release(limit.Sample{Outcome: limit.Failure})
		reply := g.replyForError(ctx, call, err)
		if reply.Reason == peering.ExchangeBroken {
			openCall := screened.openCall(call)
			if g.handleBrokenCall(ctx, inc, openCall) {
				reply.Reason = peering.TargetCrashed
				if inc.crashDetector.isSuspect(openCall.Fingerprint) {
					reply.Crashes = openCall.Crashes
				}
			}
		}
		inc.stats.recordEnd(call.Route, reply, duration, ended)
		if reply.Reason == peering.ConnectFailed {
			g.recordReachability(inc, false)
		}
		return reply
	}
	defer response.Close()
	if inc.crashDetector.recordResponse(started) {
		g.recordReachability(inc, true)
	}
	reply := g.replyForResponse(response)
	reply.TargetError = isTargetFailure(reply) && !calls.failed
	g.recordCosts(inc, call, reply, calls, duration, ended)
	if reply.Outcome == peering.Answered {
		g.recordAnswered(screened, call, ended)
	}
	permit.Release(limit.Sample{Outcome: limitOutcome(reply), Latency: duration})
	inc.stats.recordEnd(call.Route, reply, duration, ended)
	if reply.Reason == peering.Misdirected {
		inc.drain()
	}
	return reply
}

// isTargetFailure reports whether the response is an error of the target. A gateway timeout
// is not: the remaining time of the call may have been too short.
func isTargetFailure(reply *peering.Reply) bool {
	return reply.Outcome == peering.Answered && reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout
}

// limitOutcome returns the outcome of a call as it is reported to the concurrency limit.
func limitOutcome(reply *peering.Reply) limit.Outcome {
	switch {
	case reply.Outcome == peering.Answered && reply.Status < http.StatusInternalServerError:
		return limit.Success
	case reply.Outcome == peering.Refused:
		return limit.Overload
	}
	return limit.Failure
}

// targetCall returns the HTTP request to the target for a call.
func (g *Guard) targetCall(inc *incarnation, call *peering.Call, sentAt, deadline time.Time) *transport.Call {
	names := &g.config.Headers
	header := call.Header
	if header == nil {
		header = make(http.Header)
	}
	// One array holds the values. Their capacity of one makes later appends copy them.
	values := [...]string{call.RequestID, strconv.FormatInt(deadline.Sub(sentAt).Milliseconds(), 10), call.Caller, inc.target.ID}
	header[names.RequestID] = values[0:1:1]
	header[names.DeadlineMillis] = values[1:2:2]
	header[names.Caller] = values[2:3:3]
	header[names.ExpectInstance] = values[3:4:4]
	return &transport.Call{
		ID:         call.RequestID,
		Method:     call.Method,
		Host:       call.Host,
		RequestURI: call.URI,
		Header:     header,
		Body:       call.Body,
		OnHeader: func(status int, responseHeader http.Header) {
			g.observeHeader(inc, call, status, responseHeader, sentAt)
		},
		Attribute: func(responseHeader http.Header) transport.Attribution {
			return g.attribute(call, responseHeader)
		},
		// A call that may run twice is rather sent to another target than left waiting.
		SkipUnattributed: call.AtMostOnce,
		RepeatableUntil:  deadline,
		Memory:           call.ResponseMemory,
	}
}

// isRejection reports whether a response states that the target did not run the call.
func (g *Guard) isRejection(status int, header http.Header) bool {
	return status == http.StatusMisdirectedRequest || header.Get(g.config.Headers.NotExecuted) != ""
}

// logAvoidedConnection logs that a call is sent again over another connection than the one on which
// the target rejected it.
func (g *Guard) logAvoidedConnection(requestID string, opened bool) {
	outcome := "idle"
	if opened {
		outcome = "new"
	}
	g.log.Record(eventlog.Event{Kind: eventlog.ConnectionAvoided, Request: requestID, Outcome: outcome})
}

// attribute returns whose response one with the header is. Every call has an ID, and every response
// of a target repeats it.
func (g *Guard) attribute(call *peering.Call, header http.Header) transport.Attribution {
	switch header.Get(g.config.Headers.RequestID) {
	case call.RequestID:
		return transport.Own
	case "":
		return transport.Unattributed
	}
	return transport.Other
}

// replyForError returns the reply for an exchange that ended without a response. The call
// counts as failed if it may have been sent, and as refused otherwise.
func (g *Guard) replyForError(ctx context.Context, call *peering.Call, err error) *peering.Reply {
	var failure *transport.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	reason := peering.ExchangeBroken
	switch {
	case errors.Is(clock.Cause(ctx), errQuarantined):
		reason = peering.Quarantined
	case clock.Expired(ctx):
		reason = peering.DeadlinePassed
	case ctx.Err() != nil:
		reason = peering.CallCanceled
	case !sent:
		reason = peering.ConnectFailed
	}
	if ctx.Err() == nil {
		g.log.Record(eventlog.Event{Kind: eventlog.CallFailed, Request: call.RequestID, Route: call.Route, Reason: err.Error()})
	}
	if sent {
		return failedReply(reason)
	}
	return refusedReply(reason)
}

// replyForResponse validates the target's response and returns the reply for it.
func (g *Guard) replyForResponse(response *transport.Response) *peering.Reply {
	names := &g.config.Headers
	switch {
	case response.Header.Get(names.RequestID) == "":
		// Such a response states nothing about the call, not even that it was not executed.
		return failedReply(peering.InvalidResponse)
	case response.Status == http.StatusMisdirectedRequest:
		return refusedReply(peering.Misdirected)
	case response.Header.Get(names.NotExecuted) != "":
		return refusedReply(peering.TargetFull)
	case response.OutOfMemory:
		return failedReply(peering.OutOfMemory)
	case response.Remainder != nil:
		return failedReply(peering.InvalidResponse)
	case response.Header.Get("Content-Encoding") != "":
		return failedReply(peering.InvalidResponse)
	case response.Status < http.StatusMultipleChoices && response.Header.Get(names.Signature) == "":
		return failedReply(peering.InvalidResponse)
	}
	callheader.StripConnection(response.Header)
	response.Header.Del(names.Load)
	// The entry node restores the request ID.
	response.Header.Del(names.RequestID)
	return &peering.Reply{Outcome: peering.Answered, Status: response.Status, Header: response.Header, Body: response.Body}
}
