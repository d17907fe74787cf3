package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/returnplace"
)

// takePlace reports whether the request returns on time to a place that was reserved for it.
// It then gets the best cohort of its level, so that its calls precede those of new requests.
func (f *Forwarder) takePlace(q *request) bool {
	if f.places == nil || !f.places.Take(q.route.Name, q.content, q.arrived) {
		return false
	}
	q.rank.Cohort = 0
	return true
}

// countAdmitted counts a request that may be executed. Nested calls are not counted: they are
// always admitted and get no places.
func (f *Forwarder) countAdmitted(q *request) {
	if f.places != nil && !q.nested {
		f.places.CountAdmitted(q.route.Name, q.rank.Level, q.arrived)
	}
}

// refuseWithPlace refuses a request because of a threshold and reserves a place for its return.
// If the policy tells the caller another time, the place moves there.
func (f *Forwarder) refuseWithPlace(q *request, header http.Header, detail string) *problem.Problem {
	if f.places == nil {
		return f.refusal(q, problem.Overloaded, "admit", detail, shedDelay)
	}
	reserved := f.places.Reserve(returnplace.Request{
		Content:     q.content,
		Route:       q.route.Name,
		Level:       q.rank.Level,
		Deadline:    f.callerDeadline(q, header),
		UsefulUntil: f.usefulUntil(q),
	}, f.now())
	failure := f.refusal(q, problem.Overloaded, "admit", "", reserved.Delay)
	reserved = f.places.Move(reserved, failure.RetryDelay)
	failure.Detail = detail + ", " + describePlace(reserved)
	return failure
}

func describePlace(r returnplace.Reservation) string {
	if !r.Given {
		return "no place"
	}
	return "place in " + strconv.FormatInt(r.Delay.Milliseconds(), 10) + " ms"
}

// usefulUntil returns the latest time at which the request may return and, at the usual latency of
// its route, still meet its objective; zero if the route has none.
func (f *Forwarder) usefulUntil(q *request) time.Time {
	if q.route.Objective <= 0 {
		return time.Time{}
	}
	return q.arrived.Add(q.route.Objective - f.homes.statsOf(q.route.Name).latency)
}

// callerDeadline returns the time until which the caller waits for an answer. It may be later
// than the deadline of the request, because a route's timeout bounds each try of its own.
func (f *Forwarder) callerDeadline(q *request, header http.Header) time.Time {
	if timeout, sent := f.callerTimeout(header); sent {
		return q.arrived.Add(timeout)
	}
	return q.deadline
}
