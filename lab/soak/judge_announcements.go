package soak

import (
	"slices"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// passedOn is the first response of a target with an announcement that one process of a machine
// passed on.
type passedOn struct {
	target               string
	machine, incarnation int
}

// firstPassedOn returns when each process first passed on a response that matches.
func (j *judgement) firstPassedOn(matches func(*Request) bool) map[passedOn]time.Time {
	first := make(map[passedOn]time.Time)
	for index := range j.recorder.requests {
		request := &j.recorder.requests[index]
		if request.Target == "" || !matches(request) {
			continue
		}
		key := passedOn{target: request.Target, machine: request.Machine, incarnation: request.Incarnation}
		if at, found := first[key]; !found || request.Ended.Before(at) {
			first[key] = request.Ended
		}
	}
	return first
}

// disturbed reports whether a disturbance of one of the kinds affected the machine between the
// times.
func (j *judgement) disturbed(machine int, from, to time.Time, kinds ...disturbanceKind) bool {
	for _, d := range j.recorder.disturbances {
		if d.machine == machine && slices.Contains(kinds, d.kind) && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// judgeLeaving checks that a target that announced in its responses that it is leaving gets no
// request that a caller sent later than drainBound after its machine had passed on such a
// response. A restart or a freeze of the machine since then excuses it.
func (j *judgement) judgeLeaving(byID map[string]*Request) {
	announced := j.firstPassedOn(func(r *Request) bool { return r.Leaving })
	if len(announced) == 0 {
		return
	}
	j.eachArrival(func(target string, arrival platformstub.Arrival) {
		request := byID[arrival.ID]
		if request == nil {
			return
		}
		at, found := announced[passedOn{target: target, machine: request.Machine, incarnation: request.Incarnation}]
		if !found || !request.Sent.After(at.Add(drainBound)) || j.disturbed(request.Machine, at, arrival.At, processRestart, processFreeze) {
			return
		}
		j.addBreach(NoWorkAfterDrain, request, "it reached %s, which had announced %s earlier that it is leaving", target, request.Sent.Sub(at))
	})
}

func (j *judgement) eachArrival(visit func(target string, arrival platformstub.Arrival)) {
	for _, m := range j.machines {
		for _, target := range m.targets {
			for _, arrival := range target.Arrivals() {
				visit(incarnationID(target), arrival)
			}
		}
	}
}

// judgeRateLimits checks that targets get no more requests than they announced to accept.
func (j *judgement) judgeRateLimits(byID map[string]*Request) {
	announced := j.firstPassedOn(func(r *Request) bool { return r.RateLimited })
	for _, m := range j.machines {
		for _, target := range m.targets {
			if periods := limitedPeriods(target.RateAnnouncements()); len(periods) > 0 {
				j.judgeRateLimit(target, periods, j.countedArrivals(target, announced, byID))
			}
		}
	}
}

// countedArrivals returns the arrivals of requests whose machine had passed on a response with
// the announcement rateDelay before, and was not disturbed around the arrival.
func (j *judgement) countedArrivals(target *platformstub.Target, announced map[passedOn]time.Time, byID map[string]*Request) []time.Time {
	var counted []time.Time
	for _, arrival := range target.Arrivals() {
		request := byID[arrival.ID]
		if request == nil {
			continue
		}
		at, found := announced[passedOn{target: incarnationID(target), machine: request.Machine, incarnation: request.Incarnation}]
		if !found || arrival.At.Before(at.Add(rateDelay)) ||
			j.disturbed(request.Machine, arrival.At.Add(-quietPeriod), arrival.At, processRestart, processFreeze, linkCut) {
			continue
		}
		counted = append(counted, arrival.At)
	}
	return counted
}

// limitedPeriod is a time in which a target announces one rate limit. It begins with the first
// response that announces it.
type limitedPeriod struct {
	rate     float64
	from, to time.Time
	// first reports whether the target announced no limit before.
	first bool
}

// limitedPeriods returns the periods of consecutive announcements. The last one ends with the
// announcement that lifts the limit; without it, it is left out.
func limitedPeriods(announcements []platformstub.RateAnnouncement) []limitedPeriod {
	var periods []limitedPeriod
	for i, announcement := range announcements {
		if len(announcement.Values) == 0 || announcement.FirstSent.IsZero() || i+1 == len(announcements) {
			continue
		}
		rate, err := strconv.ParseFloat(announcement.Values[0], 64)
		if err != nil {
			continue
		}
		periods = append(periods, limitedPeriod{rate: rate, from: announcement.FirstSent, to: announcements[i+1].At, first: i == 0 || len(announcements[i-1].Values) == 0})
	}
	return periods
}

// judgeRateLimit checks each window that begins with a counted arrival and lies in one period.
func (j *judgement) judgeRateLimit(target *platformstub.Target, periods []limitedPeriod, arrivals []time.Time) {
	for _, period := range periods {
		from := period.from.Add(rateDelay)
		if period.first {
			from = period.from.Add(rateStart)
		}
		allowed := rateFactor*period.rate*rateWindow.Seconds() + rateSlack
		for i, first := range arrivals {
			if first.Before(from) || first.Add(rateWindow).After(period.to) {
				continue
			}
			count := 0
			for _, arrival := range arrivals[i:] {
				if arrival.Sub(first) < rateWindow {
					count++
				}
			}
			if float64(count) > allowed {
				j.addBreach(WithinTargetRate, nil, "%s with a limit of %.2f a second got %d requests in %s from %s on, allowed %.1f",
					incarnationID(target), period.rate, count, rateWindow, first.Format(time.StampMilli), allowed)
				break
			}
		}
	}
}
