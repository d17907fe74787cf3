package soak

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// announcementRun builds a run whose target announces something in its first response.
func announcementRun(first func(*Request)) *runBuilder {
	j := newRunBuilder()
	request := j.addAnswered("first", 0)
	request.Target = incarnationID(j.target)
	first(request)
	return j
}

// addArrivals adds requests that arrive at the target at the given interval.
func (j *runBuilder) addArrivals(count int, from, interval float64) {
	var arrivals []platformstub.Arrival
	for i := range count {
		id := fmt.Sprintf("arrival-%d", i)
		sent := from + float64(i)*interval
		j.addAnswered(id, sent)
		arrivals = append(arrivals, platformstub.Arrival{ID: id, At: at(sent)})
	}
	j.target.SetArrivals(arrivals)
}

func (j *runBuilder) disturb(kind disturbanceKind, from, to float64) {
	j.recorder.disturbances = append(j.recorder.disturbances, disturbance{kind: kind, from: at(from), to: at(to)})
}

func TestRequestsBeyondAnnouncedRateAreDetected(t *testing.T) {
	const rate = 2.0
	for _, c := range []struct {
		name     string
		count    int
		prepare  func(*runBuilder)
		detected bool
	}{
		{"as many as allowed", 17, func(*runBuilder) {}, false},
		{"one more", 18, func(*runBuilder) {}, true},
		{"machine was restarted", 18, func(j *runBuilder) { j.disturb(processRestart, 8, 9) }, false},
		{"machine was frozen", 18, func(j *runBuilder) { j.disturb(processFreeze, 8, 9) }, false},
		{"machine was cut off", 18, func(j *runBuilder) { j.disturb(linkCut, 8, 9) }, false},
		{"store was down", 18, func(j *runBuilder) { j.disturb(otherDisturbance, 8, 9) }, true},
		{"no response was passed on", 18, func(j *runBuilder) { j.recorder.requests[0].RateLimited = false }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := announcementRun(func(r *Request) { r.RateLimited = true })
			j.target.SetRateAnnouncements([]platformstub.RateAnnouncement{{Values: []string{fmt.Sprint(rate)}, At: at(0), FirstSent: at(0)}, {At: at(20)}})
			j.addArrivals(c.count, 10, 0.1)
			c.prepare(j)
			assert.Equal(t, slices.Contains(j.violatedGuarantees(), WithinTargetRate), c.detected)
		})
	}
}

func TestRequestsToLeavingTargetAreDetected(t *testing.T) {
	for _, c := range []struct {
		name     string
		sent     float64
		prepare  func(*runBuilder)
		detected bool
	}{
		{"sent in time", 2, func(*runBuilder) {}, false},
		{"sent too late", 2.2, func(*runBuilder) {}, true},
		{"machine was restarted", 5, func(j *runBuilder) { j.disturb(processRestart, 3, 4) }, false},
		{"machine was frozen", 5, func(j *runBuilder) { j.disturb(processFreeze, 3, 4) }, false},
		{"machine was cut off", 5, func(j *runBuilder) { j.disturb(linkCut, 3, 4) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := announcementRun(func(r *Request) { r.Leaving = true })
			j.addArrivals(1, c.sent, 0)
			c.prepare(j)
			assert.Equal(t, slices.Contains(j.violatedGuarantees(), NoWorkAfterDrain), c.detected)
		})
	}
}
