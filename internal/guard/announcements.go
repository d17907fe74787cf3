package guard

import (
	"net/http"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// announcements holds what one start of a target announced in its responses. It is safe
// for concurrent use.
type announcements struct {
	rate targetrate.Tracker

	mutex sync.Mutex
	// malformed is the text of the last malformed rate limit, which is logged once.
	malformed string
	leaving   bool
}

// setMalformed reports whether the text of a malformed rate limit is new.
func (a *announcements) setMalformed(text string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	isNew := a.malformed != text
	a.malformed = text
	return isNew
}

// setLeaving reports whether the target had not announced before that it is leaving.
func (a *announcements) setLeaving() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	isNew := !a.leaving
	a.leaving = true
	return isNew
}

// leavingValue is the value of the header by which a target announces that it is leaving.
const leavingValue = "1"

// observeHeader processes the announcements in the header of a response that was read on the
// call's connection. Every response counts, also one that belongs to another call or is not
// passed on.
func (g *Guard) observeHeader(inc *incarnation, call *peering.Call, status int, header http.Header, sentAt time.Time) {
	now := g.now()
	g.observeRate(inc, call, status, header, sentAt, now)
	for _, value := range header[g.config.Headers.Leaving] {
		if value == leavingValue && inc.announcements.setLeaving() {
			g.log.Record(eventlog.Event{Kind: eventlog.TargetLeaving, Request: call.RequestID, Service: inc.target.Service,
				Target: inc.target.Incarnation().String(), Status: status, Age: now.Sub(sentAt)})
		}
	}
}

func (g *Guard) observeRate(inc *incarnation, call *peering.Call, status int, header http.Header, sentAt, now time.Time) {
	tracker := &inc.announcements.rate
	announced, err := targetrate.Parse(header[g.config.Headers.RateLimit])
	previous := tracker.Current()
	if err != nil {
		if inc.announcements.setMalformed(err.Error()) {
			g.log.Record(eventlog.Event{Kind: eventlog.TargetRateMalformed, Service: inc.target.Service, Target: inc.target.Incarnation().String(),
				Outcome: previous.String(), Reason: err.Error()})
		}
		return
	}
	observation := targetrate.Observation{Announcement: announced, SentAt: sentAt, ReceivedAt: now}
	if status == http.StatusMisdirectedRequest || !g.matches(call, header) {
		// It may be older than the call, or come from another target.
		observation.SentAt, observation.ReceivedAt = time.Time{}, sentAt
	}
	if tracker.Observe(observation) {
		g.log.Record(eventlog.Event{Kind: eventlog.TargetRateChanged, Request: call.RequestID, Service: inc.target.Service,
			Target: inc.target.Incarnation().String(), Status: status, Outcome: announced.String(), Reason: previous.String(), Age: now.Sub(sentAt)})
	}
}

// RateLimit returns the rate limit that the local target announces.
func (g *Guard) RateLimit() targetrate.Announcement {
	inc := g.current.Load()
	if inc == nil {
		return targetrate.Announcement{}
	}
	return inc.announcements.rate.Current()
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
