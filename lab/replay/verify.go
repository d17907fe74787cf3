package replay

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lugspur/lugspur/internal/claim"
	"github.com/lugspur/lugspur/internal/resource"
)

// Names of a call's result in expectations.
const (
	resultAnswered   = "answered"
	resultRefused    = "refused"
	resultUnfinished = "open"
)

func (c *call) resultName() string {
	switch {
	case c.result == nil:
		return resultUnfinished
	case c.result.failure != nil:
		return resultRefused
	}
	return resultAnswered
}

// verifyCalls compares the calls with their expected outcomes after the trace has
// been played.
func (r *Report) verifyCalls(p *player) {
	for _, c := range r.calls {
		if c.event.Expect != nil {
			r.verifyCall(p, c, c.event.Expect)
		}
	}
}

func (r *Report) verifyCall(p *player, c *call, expected *CallExpectation) {
	compare := func(member string, want, have any) {
		r.compare(p, c.line, "call "+c.id+" "+member, want, have)
	}
	if expected.Result != "" {
		compare("result", expected.Result, c.resultName())
	}
	if c.result == nil {
		return
	}
	if expected.Status != nil {
		compare("status", *expected.Status, c.result.status)
	}
	if expected.Level != "" {
		compare("level", expected.Level, c.context.Rank.Level)
	}
	if expected.Target != "" {
		compare("target", expected.Target, c.lastTarget)
	}
	if expected.SendCount != nil {
		compare("sent", *expected.SendCount, c.sendCount)
	}
	if expected.AdmittedAt != nil {
		compare("admitted", expected.AdmittedAt.Duration(), c.admittedText())
	}
	if expected.FinishedAt != nil {
		compare("finished", expected.FinishedAt.Duration(), c.result.elapsed)
	}
	c.compareProblem(expected, compare)
}

func (c *call) compareProblem(expected *CallExpectation, compare func(member string, want, have any)) {
	var reason, step, detail, executed string
	if failure := c.result.failure; failure != nil {
		reason, step, detail = string(failure.Reason), failure.Step, failure.Detail
		executed = string(failure.Executed)
	}
	for _, member := range []struct{ name, want, have string }{
		{"reason", expected.Reason, reason},
		{"step", expected.Step, step},
		{"detail", expected.Detail, detail},
		{"executed", expected.Executed, executed},
	} {
		if member.want != "" {
			compare(member.name, member.want, member.have)
		}
	}
}

func (c *call) admittedText() string {
	if c.sendCount == 0 {
		return "never"
	}
	return c.admittedAt.String()
}

// check compares the node's state with the expectation of a check.
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
	case check.GrantedRetries != nil:
		p.checkGrantedRetries(event.Line, check.GrantedRetries)
	case check.Order != nil:
		p.checkOrder(event.Line, check.Order)
	case check.Count != nil:
		p.checkCount(event.Line, check.Count)
	case check.Claim != nil:
		p.checkClaim(event.Line, check.Claim)
	case check.GrantedClaims != nil:
		p.checkGrantedClaims(event.Line, check.GrantedClaims)
	}
}

func (p *player) checkLimit(line int, check *LimitCheck) {
	subject := "limit of " + check.Target
	state := p.targetStates[check.Target]
	if state == nil {
		p.report.addMissing(p, line, subject)
		return
	}
	p.report.compareRange(p, line, subject, check.Min, check.Max, state.limiter.Limit())
}

func (p *player) checkThreshold(line int, check *ThresholdCheck) {
	if check.Service != "" {
		threshold := p.shed.Threshold(check.Service, p.clock.now())
		p.report.compareRange(p, line, "threshold of service "+check.Service, check.Min, check.Max, int(threshold))
		return
	}
	subject := "threshold of " + check.Target
	state := p.targetStates[check.Target]
	if state == nil {
		p.report.addMissing(p, line, subject)
		return
	}
	p.report.compareRange(p, line, subject, check.Min, check.Max, int(state.shedController.Threshold()))
}

func (p *player) checkOverloaded(line int, check *OverloadedCheck) {
	subject := "overload of " + check.Target
	state := p.targetStates[check.Target]
	if state == nil || check.Is == nil {
		p.report.addMissing(p, line, subject)
		return
	}
	p.report.compare(p, line, subject, *check.Is, state.scheduler.Stats().Overloaded)
}

func (p *player) checkRevision(line int, check *RevisionCheck) {
	id := resource.ID{Kind: resource.Kind(check.Kind), Name: check.Name}
	version, found := p.replica.Get(id)
	if !found {
		p.report.addMissing(p, line, id.String())
		return
	}
	if check.Equals != nil {
		p.report.compare(p, line, "revision of "+id.String(), *check.Equals, int(version.Revision))
	}
	if check.Deleted != nil {
		p.report.compare(p, line, id.String()+" deleted", *check.Deleted, version.Deleted)
	}
}

func (p *player) checkGrantedRetries(line int, check *GrantedRetriesCheck) {
	subject := "retries granted to " + check.Call
	c := p.calls[check.Call]
	if c == nil {
		p.report.addMissing(p, line, subject)
		return
	}
	granted, closed := p.report.retriesGranted[c.id]
	if !closed {
		granted = p.budgets.Spent(c.context.RequestID)
	}
	p.report.compareRange(p, line, subject, check.Min, check.Max, granted)
}

// checkOrder compares the admission order of each pair of successive groups. The
// comparison fails if a group has no admitted calls.
func (p *player) checkOrder(line int, check *OrderCheck) {
	for i := 1; i < len(check.Calls); i++ {
		before, after := check.Calls[i-1], check.Calls[i]
		subject := "admission of " + before + " before " + after
		_, lastBefore := p.admissionRange(before)
		firstAfter, _ := p.admissionRange(after)
		if lastBefore == 0 || firstAfter == 0 {
			p.report.addMissing(p, line, subject)
			continue
		}
		p.report.compare(p, line, subject, true, lastBefore < firstAfter)
	}
}

// admissionRange returns the admission order of the first and the last admitted call
// of a group, or that of a single call. It is zero if no call was admitted.
func (p *player) admissionRange(name string) (first, last int) {
	calls := p.callGroups[name]
	if single := p.calls[name]; single != nil {
		calls = []*call{single}
	}
	for _, c := range calls {
		if c.admissionOrder == 0 {
			continue
		}
		if first == 0 || c.admissionOrder < first {
			first = c.admissionOrder
		}
		last = max(last, c.admissionOrder)
	}
	return first, last
}

func (p *player) checkCount(line int, check *CountCheck) {
	matching := 0
	for _, name := range check.Calls {
		if p.callGroups[name] == nil {
			p.report.addMissing(p, line, "calls "+name)
			return
		}
		for _, c := range p.callGroups[name] {
			if check.matches(c) {
				matching++
			}
		}
	}
	p.report.compareRange(p, line, check.subject(), check.Min, check.Max, matching)
}

func (c *CountCheck) matches(candidate *call) bool {
	if c.Result != "" && c.Result != candidate.resultName() {
		return false
	}
	if c.Target != "" && c.Target != candidate.lastTarget {
		return false
	}
	if c.Reason == "" && c.Step == "" {
		return true
	}
	if candidate.result == nil || candidate.result.failure == nil {
		return false
	}
	failure := candidate.result.failure
	reasonMatches := c.Reason == "" || c.Reason == string(failure.Reason) || c.Reason == failure.Detail
	return reasonMatches && (c.Step == "" || c.Step == failure.Step)
}

func (c *CountCheck) subject() string {
	parts := []string{c.Result, c.Reason, c.Step, c.Target}
	parts = slices.DeleteFunc(parts, func(part string) bool { return part == "" })
	return fmt.Sprintf("number of calls of %s with outcome [%s]", strings.Join(c.Calls, ", "), strings.Join(parts, " "))
}

func (p *player) checkClaim(line int, check *ClaimCheck) {
	subject := "claim by " + check.Attempt
	if p.claims == nil || p.claims.attempts[check.Attempt] == nil {
		p.report.addMissing(p, line, subject)
		return
	}
	outcome := p.claims.attempts[check.Attempt].coordinator.Decide(p.clock.now())
	p.report.compare(p, line, subject, check.Outcome, claim.Outcome(outcome))
}

func (p *player) checkGrantedClaims(line int, check *GrantedClaimsCheck) {
	subject := "attempts granted the key " + check.Key
	if p.claims == nil || check.Equals == nil {
		p.report.addMissing(p, line, subject)
		return
	}
	p.report.compare(p, line, subject, *check.Equals, p.claims.grantCounts[check.Key])
}
