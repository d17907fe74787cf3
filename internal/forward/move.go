package forward

import (
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

// callMove is the state of a request that a home may give back, once, while it waits there.
type callMove struct {
	// alternative is what the last offer named as the expected time at the next best home; zero if the
	// home must not give the call back.
	alternative time.Duration
	// givenBack reports whether a home has given the call back, and from is that home while it is
	// excluded for this reason.
	givenBack bool
	from      *registry.Home
	// charged is set while the charge of the offer that was given back pays for the next one.
	charged bool
}

// setAlternative sets what the next offer names as the alternative. A call that was given back
// once has none.
func (q *request) setAlternative(next choice) {
	q.move.alternative = next.alternative
	if q.move.givenBack {
		q.move.alternative = 0
	}
}

// countedOffers returns the number of offers without the one that was given back.
func (q *request) countedOffers() int {
	if q.move.givenBack {
		return q.offers - 1
	}
	return q.offers
}

// takeBack reports whether the home gave the call back, as it was allowed to. The call has not
// run, so that the offer does not count and the charge of a retry is kept for the next one.
func (f *Forwarder) takeBack(q *request, home *registry.Home, reply *peering.Reply) bool {
	if reply.Outcome != peering.Refused || reply.Reason != peering.EarlierElsewhere || q.move.alternative == 0 {
		return false
	}
	q.move = callMove{givenBack: true, from: home, charged: q.isRetry()}
	q.excluded = append(q.excluded, home)
	q.lastReason = reply.Reason
	f.logRetry(q)
	return true
}

// takeCharge reports whether the charge of the offer that was given back pays for the next one.
func (m *callMove) takeCharge() bool {
	charged := m.charged
	m.charged = false
	return charged
}

// refundMove refunds the charge of an offer that was given back if none followed.
func (f *Forwarder) refundMove(q *request) {
	if q.move.takeCharge() {
		f.budget(q.service).Refund(q.charge)
	}
}

// readmit makes homes eligible again that rejected the request or gave it back. It reports whether
// there are any.
func (q *request) readmit() bool {
	if len(q.rejected) == 0 && q.move.from == nil {
		return false
	}
	q.rejected = nil
	if from := q.move.from; from != nil {
		q.excluded = slices.DeleteFunc(q.excluded, func(home *registry.Home) bool { return home == from })
		q.move.from = nil
	}
	return true
}
