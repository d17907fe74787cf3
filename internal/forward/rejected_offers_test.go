package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

// budgetObserver counts the retry budget events of all nodes by service.
type budgetObserver struct {
	noopObserver
	counts map[string]map[BudgetEvent]int
}

func (o *budgetObserver) BudgetCounted(service string, kind BudgetEvent, _ peering.Reason) {
	if o.counts == nil {
		o.counts = make(map[string]map[BudgetEvent]int)
	}
	if o.counts[service] == nil {
		o.counts[service] = make(map[BudgetEvent]int)
	}
	o.counts[service][kind]++
}

// TestRejectedOffersAreChargedToRetryBudget guards against retries that are not charged to
// the budget because the target rejected the previous offer. The budget used to be charged
// only after failures of requests that may have been executed; a rejected request had not
// been, so that offering it again was free.
//
// In an incident, after traffic had doubled, the targets at the end of every call chain
// rejected 55% of arrivals at random although they had capacity. For nine seconds a third,
// then two thirds of the view requests and half of the command requests failed. Each rejected
// call was immediately offered to the next home, up to four homes in 0.3 s, but a view needs
// four successful calls there. In 10 s there were 10,281 retries for 14,247 requests, 3.5
// times the 2,906 that were allowed. The trace of one call shows four arrivals, three of them
// rejected, and 0.72 retries per request are close to the 0.55 + 0.55^2 = 0.85 expected if
// offers to three homes are free. A replay of the incident has 1,852 retries with the charge
// and 10,616 without. Without the charge, retries exceed the bound of this test by 9,013, and
// only 676 of 40,694 are charged.
func TestRejectedOffersAreChargedToRetryBudget(t *testing.T) {
	const callsPerSecond = 300
	s := newBudgetSimulation(t, 17, 13)
	s.rejectedShare, s.lostShare, s.delay = 0.55, 0.01, 100*time.Millisecond
	s.run(callsPerSecond, func(at time.Duration) float64 {
		if at < 5*time.Second {
			return 0.5
		}
		return 1
	})
	for _, service := range []string{"price", "card"} {
		assert.Check(t, s.maxExcess(service) <= 0, "%s exceeds the bound by %.0f", service, s.maxExcess(service))
		counted := s.observer.counts[service]
		assert.Check(t, counted[RetrySent] == len(s.retries[service]), "%s: %d retries reached targets, %d were charged",
			service, len(s.retries[service]), counted[RetrySent])
		assert.Check(t, counted[FirstSent] == len(s.requests[service]), "%s: %d requests, %d counted", service, len(s.requests[service]), counted[FirstSent])
	}
	assert.Assert(t, s.observer.counts["price"][RetryDenied] > 0, "the budget must have denied retries")
}
