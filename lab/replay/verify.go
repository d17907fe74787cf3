package replay

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lugspur/lugspur/internal/claim"
	"github.com/lugspur/lugspur/internal/resource"
)

// The results of a call as expectations name them.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
	resultOpen     = "open"
)

func (c *call) resultName() string {
	switch {
	case c.result == nil:
		return resultOpen
	case c.result.failure != nil:
		return resultRefused
	}
	return resultAnswered
}

// verifyCalls compares the calls with their stated outcomes, once all have ended.
func (r *Report) verifyCalls(p *player) {
	for _, c := range r.calls {
		if c.event.Expect != nil {
			r.verifyCall(p, c, c.event.Expect)
		}
	}
}

func (r *Report) verifyCall(p *player, c *call, stated *CallExpectation) {
	compare := func(member string, want, have any) {
		r.compare(p, c.line, "call "+c.id+" "+member, want, have)
	}
	if stated.Result != "" {
		compare("result", stated.Result, c.resultName())
	}
	if c.result == nil {
		return
	}
	if stated.Status != nil {
		compare("status", *stated.Status, c.result.status)
	}
	if stated.Level != "" {
		compare("level", stated.Level, c.context.Rank.Level)
	}
	if stated.Target != "" {
		compare("target", stated.Target, c.target)
	}
	if stated.Sent != nil {
		compare("sent", *stated.Sent, c.sent)
	}
	if stated.Admitted != nil {
		compare("admitted", stated.Admitted.Duration(), c.admittedText())
	}
	if stated.Finished != nil {
		compare("finished", stated.Finished.Duration(), c.result.at)
	}
	c.compareProblem(stated, compare)
}

func (c *call) compareProblem(stated *CallExpectation, compare func(member string, want, have any)) {
	var reason, step, detail, executed string
	if failure := c.result.failure; failure != nil {
		reason, step, detail = string(failure.Reason), failure.Step, failure.Detail
		executed = string(failure.Executed)
	}
	for _, member := range []struct{ name, want, have string }{
		{"reason", stated.Reason, reason},
		{"step", stated.Step, step},
		{"detail", stated.Detail, detail},
		{"executed", stated.Executed, executed},
	} {
		if member.want != "" {
			compare(member.name, member.want, member.have)
		}
	}
}

func (c *call) admittedText() string {
	if c.sent == 0 {
		return "never"
	}
	return c.admitted.String()
}

// check compares the state with what a check states.
func (p *player) check(event Event) {
	check := event.Check
	switch {
	case check.Limit != nil:
		p.checkLimit(event.Line, check.Limit)
	case check.Threshold != nil:
		p.checkThreshold(event.Line, check.Threshold)
	case check.Overloaded != nil:
		p.checkOverloaded(event.Line, check.Overloaded)
	case check.Revision != nil:
		p.checkRevision(event.Line, check.Revision)
	case check.Spent != nil:
		p.checkSpent(event.Line, check.Spent)
	case check.Order != nil:
		p.checkOrder(event.Line, check.Order)
	case check.Count != nil:
		p.checkCount(event.Line, check.Count)
	case check.Claim != nil:
		p.checkClaim(event.Line, check.Claim)
	case check.Claimed != nil:
		p.checkClaimed(event.Line, check.Claimed)
	}
}

func (p *player) checkLimit(line int, check *LimitCheck) {
	subject := "limit of " + check.Target
	g := p.guards[check.Target]
	if g == nil {
		p.report.unknown(p, line, subject)
		return
	}
	p.report.within(p, line, subject, check.Min, check.Max, g.limiter.Limit())
}

func (p *player) checkThreshold(line int, check *ThresholdCheck) {
	if check.Service != "" {
		threshold := p.shed.Threshold(check.Service, p.clock.now())
		p.report.within(p, line, "threshold of service "+check.Service, check.Min, check.Max, int(threshold))
		return
	}
	subject := "threshold of " + check.Target
	g := p.guards[check.Target]
	if g == nil {
		p.report.unknown(p, line, subject)
		return
	}
	p.report.within(p, line, subject, check.Min, check.Max, int(g.shedding.Threshold()))
}

func (p *player) checkOverloaded(line int, check *OverloadedCheck) {
	subject := "overload of " + check.Target
	g := p.guards[check.Target]
	if g == nil || check.Is == nil {
		p.report.unknown(p, line, subject)
		return
	}
	p.report.compare(p, line, subject, *check.Is, g.scheduler.Stats().Overloaded)
}

func (p *player) checkRevision(line int, check *RevisionCheck) {
	id := resource.ID{Kind: resource.Kind(check.Kind), Name: check.Name}
	version, found := p.replica.Get(id)
	if !found {
		p.report.unknown(p, line, id.String())
		return
	}
	if check.Equals != nil {
		p.report.compare(p, line, "revision of "+id.String(), *check.Equals, int(version.Revision))
	}
	if check.Deleted != nil {
		p.report.compare(p, line, id.String()+" deleted", *check.Deleted, version.Deleted)
	}
}

func (p *player) checkSpent(line int, check *SpentCheck) {
	subject := "retries granted to " + check.Call
	c := p.calls[check.Call]
	if c == nil {
		p.report.unknown(p, line, subject)
		return
	}
	spent, closed := p.report.spent[c.id]
	if !closed {
		spent = p.budgets.Spent(c.context.RequestID)
	}
	p.report.within(p, line, subject, check.Min, check.Max, spent)
}

// checkOrder compares the admission of groups pair by pair. A group of which no
// call was admitted has no order.
func (p *player) checkOrder(line int, check *OrderCheck) {
	for i := 1; i < len(check.Calls); i++ {
		before, after := check.Calls[i-1], check.Calls[i]
		subject := "admission of " + before + " before " + after
		_, last := p.admissions(before)
		first, _ := p.admissions(after)
		if last == 0 || first == 0 {
			p.report.unknown(p, line, subject)
			continue
		}
		p.report.compare(p, line, subject, true, last < first)
	}
}

// admissions returns the places of the first and the last admitted call of a
// group, or of one call; zero for none.
func (p *player) admissions(name string) (first, last int) {
	calls := p.groups[name]
	if single := p.calls[name]; single != nil {
		calls = []*call{single}
	}
	for _, c := range calls {
		if c.order == 0 {
			continue
		}
		if first == 0 || c.order < first {
			first = c.order
		}
		last = max(last, c.order)
	}
	return first, last
}

func (p *player) checkCount(line int, check *CountCheck) {
	found := 0
	for _, name := range check.Calls {
		if p.groups[name] == nil {
			p.report.unknown(p, line, "calls "+name)
			return
		}
		for _, c := range p.groups[name] {
			if check.selects(c) {
				found++
			}
		}
	}
	p.report.within(p, line, check.subject(), check.Min, check.Max, found)
}

func (c *CountCheck) selects(counted *call) bool {
	if c.Result != "" && c.Result != counted.resultName() {
		return false
	}
	if c.Target != "" && c.Target != counted.target {
		return false
	}
	if c.Reason == "" && c.Step == "" {
		return true
	}
	if counted.result == nil || counted.result.failure == nil {
		return false
	}
	failure := counted.result.failure
	reasonFits := c.Reason == "" || c.Reason == string(failure.Reason) || c.Reason == failure.Detail
	return reasonFits && (c.Step == "" || c.Step == failure.Step)
}

func (c *CountCheck) subject() string {
	parts := []string{c.Result, c.Reason, c.Step, c.Target}
	parts = slices.DeleteFunc(parts, func(part string) bool { return part == "" })
	return fmt.Sprintf("calls of %s that are [%s]", strings.Join(c.Calls, ", "), strings.Join(parts, " "))
}

func (p *player) checkClaim(line int, check *ClaimCheck) {
	subject := "claim by " + check.Attempt
	if p.claims == nil || p.claims.attempts[check.Attempt] == nil {
		p.report.unknown(p, line, subject)
		return
	}
	outcome := p.claims.attempts[check.Attempt].coordinator.Decide(p.clock.now())
	p.report.compare(p, line, subject, check.Outcome, claim.Outcome(outcome))
}

func (p *player) checkClaimed(line int, check *ClaimedCheck) {
	subject := "attempts granted the key " + check.Key
	if p.claims == nil || check.Equals == nil {
		p.report.unknown(p, line, subject)
		return
	}
	p.report.compare(p, line, subject, *check.Equals, p.claims.granted[check.Key])
}
