package guard

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/targetrate"
	"github.com/lugspur/lugspur/internal/transport"
)

// announcements holds what one start of a target announced in its responses. It is safe
// for concurrent use.
type announcements struct {
	rate  targetrate.Tracker
	pacer targetrate.Pacer
	pace  pace.Tracker
	// shedding determines the ranks to be refused upstream because of the rate limit.
	shedding *shed.Controller
	// refused is the number of calls refused by the pacer at the last tick of shedding, which
	// alone uses it.
	refused uint64

	mutex sync.Mutex
	// malformed is the text of the last malformed rate limit, which is logged once.
	malformed string
	leaving   bool
}

func newAnnouncements(config shed.Config) *announcements {
	return &announcements{shedding: shed.NewController(config)}
}

// setMalformed reports whether the text of a malformed rate limit is new.
func (a *announcements) setMalformed(text string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	isNew := a.malformed != text
	a.malformed = text
	return isNew
}

// setLeaving reports whether the target was not known before to be leaving.
func (a *announcements) setLeaving() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	isNew := !a.leaving
	a.leaving = true
	return isNew
}

func (a *announcements) isLeaving() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.leaving
}

// updatePacer applies the rate limit in force. Concurrent changes end with the last one.
func (a *announcements) updatePacer(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pacer.Set(a.rate.Current(), now)
}

// observeHeader processes the announcements in the header of a response that was read on the
// call's connection. Every response to a call counts, also one that belongs to another call or is
// not passed on.
func (g *Guard) observeHeader(inc *incarnation, call *peering.Call, status int, header http.Header, sentAt time.Time) {
	now := g.now()
	event := eventlog.Event{Request: call.RequestID, Status: status, Age: now.Sub(sentAt)}
	attribution := g.attribute(call, header)
	if attribution != transport.Own {
		g.logUnmatched(call, header, event)
	}
	if attribution == transport.Unattributed {
		return
	}
	announced, err := targetrate.Parse(header[g.config.Headers.RateLimit])
	observation := targetrate.Observation{Announcement: announced, SentAt: sentAt, ReceivedAt: now}
	// Another target answers with 421 to calls that expect this one.
	fromOtherTarget := status == http.StatusMisdirectedRequest
	if fromOtherTarget || attribution == transport.Other {
		// A response to another call may be older than this call.
		observation.SentAt, observation.ReceivedAt = time.Time{}, sentAt
	}
	previous := inc.announcements.rate.Current()
	switch {
	case err != nil:
		g.logMalformed(inc, previous, err)
	case inc.announcements.rate.Observe(observation):
		g.applyRate(inc, previous, now, event)
	}
	if !fromOtherTarget {
		g.observePace(inc, header, observation.ReceivedAt)
	}
	if !fromOtherTarget && slices.Contains(header[g.config.Headers.Leaving], targetrate.LeavingValue) {
		g.markLeaving(inc, event)
	}
}

// logUnmatched logs a response that does not state that it belongs to the call that waits for one.
func (g *Guard) logUnmatched(call *peering.Call, header http.Header, event eventlog.Event) {
	event.Kind = eventlog.ResponseUnmatched
	event.Route, event.Service = call.Route, call.Service
	event.Reason = "the response has no ID"
	if id := header.Get(g.config.Headers.RequestID); id != "" {
		event.Reason = "the response has the ID " + id
	}
	g.log.Record(event)
}

// observePace processes the load report in the header of a response.
func (g *Guard) observePace(inc *incarnation, header http.Header, receivedAt time.Time) {
	report, err := pace.Parse(header[g.config.Headers.Load])
	if report.Kind == pace.None {
		return
	}
	inc.announcements.pace.Observe(report, receivedAt)
	if g.config.Observer != nil {
		g.config.Observer.LoadReported(report.Kind)
	}
	if err != nil && inc.announcements.pace.FirstMalformed() {
		g.log.Record(eventlog.Event{Kind: eventlog.TargetLoadMalformed, Service: inc.target.Service, Target: inc.name, Reason: err.Error()})
	}
}

// adoptAnnouncements processes what a peer knows of the target. A home that was restarted
// thereby enforces a rate limit before the target's first response.
func (g *Guard) adoptAnnouncements(inc *incarnation, call *peering.Call) {
	if call.Target.Instance == "" || call.Target.Instance != inc.name {
		return
	}
	now := g.now()
	event := eventlog.Event{Request: call.RequestID, Peer: call.From}
	previous := inc.announcements.rate.Current()
	if call.Target.Rate.Limited && inc.announcements.rate.Adopt(call.Target.Rate, now) {
		g.applyRate(inc, previous, now, event)
	}
	if call.Target.Leaving {
		g.markLeaving(inc, event)
	}
}

// applyRate applies and logs a change of the rate limit. The event names its source.
func (g *Guard) applyRate(inc *incarnation, previous targetrate.Announcement, now time.Time, event eventlog.Event) {
	inc.announcements.updatePacer(now)
	event.Kind, event.Service, event.Target = eventlog.TargetRateChanged, inc.target.Service, inc.name
	current := inc.announcements.rate.Current()
	event.Outcome, event.Reason = current.String(), previous.String()
	g.log.Record(event)
	if g.config.OnRateLimit != nil {
		g.config.OnRateLimit(inc.target.Incarnation(), current)
	}
}

func (g *Guard) logMalformed(inc *incarnation, inForce targetrate.Announcement, err error) {
	if inc.announcements.setMalformed(err.Error()) {
		g.log.Record(eventlog.Event{Kind: eventlog.TargetRateMalformed, Service: inc.target.Service, Target: inc.name,
			Outcome: inForce.String(), Reason: err.Error()})
	}
}

// markLeaving refuses queued and new calls for the rest of the target's life. The event names
// the source.
func (g *Guard) markLeaving(inc *incarnation, event eventlog.Event) {
	if !inc.announcements.setLeaving() {
		return
	}
	inc.drain()
	event.Kind, event.Service, event.Target = eventlog.TargetLeaving, inc.target.Service, inc.name
	g.log.Record(event)
	if g.config.OnLeaving != nil {
		g.config.OnLeaving(inc.target.Incarnation())
	}
}

// pacedCall returns what the pacer needs to know of a call.
func pacedCall(call *peering.Call) targetrate.Call {
	return targetrate.Call{Rank: criticality.RankOf(call.Rank), Continues: call.PriorCalls > 0}
}

// takeToken takes a token for a call under the target's rate limit. It returns a refusal if
// there is none.
func (g *Guard) takeToken(inc *incarnation, call *peering.Call) (targetrate.Decision, *peering.Reply) {
	paced := pacedCall(call)
	decision := inc.announcements.pacer.Take(paced, g.now())
	if decision.Limited {
		inc.announcements.shedding.Observe(paced.Rank)
	}
	if decision.Admitted {
		return decision, nil
	}
	reply := refusedReply(peering.RateLimited)
	reply.RetryAfter = decision.Wait
	return decision, reply
}

// tickShedding updates the shed threshold that follows from the rate limit. To the controller,
// tokens that were taken are calls in flight until they are refilled, and the calls refused per
// second are the queue.
func (a *announcements) tickShedding(now time.Time) {
	usage, limited := a.pacer.Usage(now)
	refused := int(usage.Refused - a.refused)
	a.refused = usage.Refused
	if !limited && a.shedding.Threshold() == shed.None {
		return
	}
	state := shed.State{Limit: max(int(usage.Depth), 1), Queued: int(float64(refused) / shedInterval.Seconds()), Overloaded: refused > 0, Served: usage.Admitted}
	state.InFlight = min(int(math.Ceil(usage.Used)), state.Limit)
	if refused > 0 {
		state.InFlight = state.Limit
	}
	a.shedding.Tick(now, state)
}

// rateShedConfig returns the configuration of the controller of the rate limit. It lets hardly more
// calls through than the limit admits: unlike calls in a queue, those beyond it are refused.
func (g *Guard) rateShedConfig() shed.Config {
	config := shed.Config{Floor: shedFloor, QueueShare: 0.01}
	if g.config.Shortages != nil {
		config.SettleTime = fastShedConfig.SettleTime
	}
	return config
}

// targetAnnouncement returns what peers need to know of the target's announcements.
func (inc *incarnation) targetAnnouncement() peering.TargetAnnouncement {
	announced := peering.TargetAnnouncement{Instance: inc.name, Rate: inc.announcements.rate.Current(), Leaving: inc.announcements.isLeaving()}
	if !announced.Rate.Limited && !announced.Leaving {
		return peering.TargetAnnouncement{}
	}
	return announced
}

// RateLimit returns the rate limit that the local target announces.
func (g *Guard) RateLimit() targetrate.Announcement {
	inc := g.current.Load()
	if inc == nil {
		return targetrate.Announcement{}
	}
	return inc.announcements.rate.Current()
}

// Pace returns the last pace that the local target reported.
func (g *Guard) Pace() pace.Reading {
	inc := g.current.Load()
	if inc == nil {
		return pace.Reading{}
	}
	return inc.announcements.pace.Reading(g.now())
}

// SendKind is the kind of a call that is sent to the target.
type SendKind uint8

// Kinds of calls that are sent to the target.
const (
	// FirstSend is the first time that a request is sent to a target.
	FirstSend SendKind = iota
	// NestedSend is a call that a running request makes.
	NestedSend
	// RetrySend is a call of a request that was sent to a target before, or whose parent was.
	RetrySend
)

var sendKindNames = [...]string{"first", "nested", "retry"}

// String returns the label value used in metrics.
func (k SendKind) String() string { return sendKindNames[k] }

// countSent counts a call that is about to be sent to the target.
func (g *Guard) countSent(call *peering.Call) {
	if g.config.Observer == nil {
		return
	}
	kind := FirstSend
	switch {
	case call.Retried:
		kind = RetrySend
	case call.Nested:
		kind = NestedSend
	}
	g.config.Observer.CallSent(kind)
}
