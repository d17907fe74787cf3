package platformstub

import (
	"fmt"
	"net/http"
	"time"
)

// AnnounceRateLimit sets the values of the header that announces the target's rate limit in
// all its responses; none announces no limit.
func (t *Target) AnnounceRateLimit(values ...string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rateLimits = values
	t.announcements = append(t.announcements, RateAnnouncement{Values: values, At: time.Now()})
}

// RateAnnouncement is the values of the header that announces the rate limit from a time on.
type RateAnnouncement struct {
	Values []string
	At     time.Time
	// FirstSent is when the first response with the values was sent, zero if none was.
	FirstSent time.Time
}

// RateAnnouncements returns all announcements in order.
func (t *Target) RateAnnouncements() []RateAnnouncement {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]RateAnnouncement(nil), t.announcements...)
}

// StartHeader is the header of responses that holds the target's start time, which
// distinguishes the starts of a target under one ID.
const StartHeader = "X-Target-Start"

// AnnounceLeaving sets whether the target's responses announce that it is leaving. Its
// heartbeats don't.
func (t *Target) AnnounceLeaving(leaving bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaving = leaving
}

// setAnnouncements sets the headers of a response that announce the target's state.
func (t *Target) setAnnouncements(header http.Header) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if last := len(t.announcements) - 1; last >= 0 && t.announcements[last].FirstSent.IsZero() {
		t.announcements[last].FirstSent = time.Now()
	}
	for _, value := range t.rateLimits {
		header.Add("Server-Limit", value)
	}
	if t.leaving {
		header.Set("Server-Leaving", "1")
	}
}

// SetRateAnnouncements replaces the announcements, for tests of code that reads them.
func (t *Target) SetRateAnnouncements(announcements []RateAnnouncement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.announcements = append([]RateAnnouncement(nil), announcements...)
}

// malformedReportEvery is the number of load reports of which one is malformed.
const malformedReportEvery = 50

// setLoadReport adds the report of the target's load: running and waiting requests, slots, and
// the service time in percent of the usual one.
func (t *Target) setLoadReport(header http.Header, faults TargetFaults, count uint64) {
	if !t.ReportsPace {
		return
	}
	pace := fmt.Sprint(100 * (t.ServiceTime + faults.Delay) / t.ServiceTime)
	if isNth(malformedReportEvery, count) {
		pace = "NaN"
	}
	header.Set("Lugspur-Server-Load", fmt.Sprintf("%d,0,%d,%s", t.running.Load(), targetSlots, pace))
}
