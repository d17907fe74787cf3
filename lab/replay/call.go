package replay

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/grant"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resend"
	"github.com/lugspur/lugspur/internal/scheduler"
)

const (
	defaultTimeout = 5 * time.Second
	// cohortEpoch is how long the order of callers inside a level stays the same.
	cohortEpoch = time.Hour
	// budgetGrace is how long a retry budget outlives its request's deadline.
	budgetGrace = time.Second
	// retryAfterDefault is told where nothing better is known.
	retryAfterDefault = time.Second
)

// ingress is the peer address at which the node gives grants.
var ingress = netip.MustParseAddrPort("127.0.0.1:7000")

// call is one call on its way.
type call struct {
	id     string
	line   int
	event  *CallEvent
	caller string
	number int

	service *catalog.Service
	context callcontext.Context
	// below is the context of the calls that the target makes for the last sending.
	below       callcontext.Context
	policy      policy.Call
	threshold   uint16
	fingerprint resend.Fingerprint
	attempt     int
	tried       []string
	mayHaveRun  bool
	route       gateway.Route
	guard       *guard
	permit      *scheduler.Permit
	answer      Answer
	claimed     *attempt

	sent     int
	order    int
	admitted time.Duration
	target   string
	result   *result
}

// result is how a call ended.
type result struct {
	at      time.Duration
	status  int
	failure *problem.Problem
}

func newCall(event Event, index int) *call {
	c := &call{id: event.Call.ID, line: event.Line, event: event.Call, caller: event.Call.Caller}
	if event.Call.Count > 1 {
		c.id = fmt.Sprintf("%s-%d", c.id, index+1)
	}
	if event.Call.Callers > 1 {
		c.caller = fmt.Sprintf("%s-%d", c.caller, index%event.Call.Callers+1)
	}
	return c
}

func (c *call) external() bool { return c.event.Parent == "" && !c.event.Orphan }

func (c *call) method() string {
	if c.event.Method == "" {
		return http.MethodGet
	}
	return c.event.Method
}

// arrive takes a call up to the point where it is admitted, as the gateway does.
func (p *player) arrive(c *call) {
	p.sequence++
	c.number = p.sequence
	c.service = p.router.View().Services[c.event.Service]
	if c.service == nil {
		p.finish(c, 0, p.problem(problem.UnknownService, "receive", "no such service"))
		return
	}
	if failure := p.readContext(c); failure != nil {
		p.finish(c, 0, failure)
		return
	}
	if failure := p.admit(c); failure != nil {
		p.finish(c, 0, failure)
		return
	}
	p.run(c)
}

func (p *player) problem(reason problem.Reason, step, detail string) *problem.Problem {
	return problem.New(reason, problem.ExecutedNo, step, nodeName, detail)
}

func (p *player) timeoutOf(c *call) time.Duration {
	switch {
	case c.event.Timeout > 0:
		return c.event.Timeout.Duration()
	case c.service.Spec.TimeoutMillis > 0:
		return time.Duration(c.service.Spec.TimeoutMillis) * time.Millisecond
	case p.header.DefaultTimeout > 0:
		return p.header.DefaultTimeout.Duration()
	}
	return defaultTimeout
}

func (p *player) readContext(c *call) *problem.Problem {
	now := p.clock.now()
	deadline := now.Add(p.timeoutOf(c))
	if c.event.Parent == "" {
		c.context = callcontext.Context{
			RequestID: requestIDOf(c.number),
			Ingress:   ingress,
			Deadline:  deadline,
			Rank:      criticality.Rank{Level: criticality.SheddablePlus, Cohort: cohortOf(c.caller, now)},
			Caller:    callcontext.CallerName(c.caller),
		}
		if c.event.Orphan {
			c.context.Rank = criticality.Lowest
		}
		return nil
	}
	parent := p.calls[c.event.Parent]
	if parent == nil || parent.sent == 0 {
		return p.problem(problem.BadContext, "context", "the parent has not been sent to a target")
	}
	c.context = parent.below
	c.context.Hops++
	if deadline.Before(c.context.Deadline) {
		c.context.Deadline = deadline
	}
	if !c.context.Deadline.After(now) {
		return p.problem(problem.DeadlineExceeded, "context", "the deadline has passed")
	}
	return nil
}

func requestIDOf(number int) callcontext.RequestID {
	var id callcontext.RequestID
	binary.LittleEndian.PutUint64(id[:], uint64(number))
	return id
}

func cohortOf(caller string, now time.Time) uint8 {
	return criticality.CohortOf(caller, uint64(now.Unix()/int64(cohortEpoch/time.Second)))
}

// admit applies the service's policy and the shed levels.
func (p *player) admit(c *call) *problem.Problem {
	c.policy = p.policyCall(c)
	shedBy := ""
	c.threshold, shedBy = p.shedThreshold(c.service)
	load := p.policyLoad(c)
	admitted, err := c.service.Policy.Admit(c.policy, load)
	p.notEvaluated(c, err)
	if !admitted {
		return p.problem(problem.NotAdmitted, "policy", "the service's policy does not admit the call")
	}
	if !c.event.Orphan {
		c.context.Rank.Level, err = c.service.Policy.Rank(c.policy)
		p.notEvaluated(c, err)
	}
	if c.context.Rank.Key() >= c.threshold {
		return p.whenToComeBack(c, p.problem(problem.Overloaded, "shed", "calls of this rank are being shed by "+shedBy))
	}
	return nil
}

// shedThreshold returns the strictest shed threshold of the service and those that
// it requires, and the service whose it is.
func (p *player) shedThreshold(called *catalog.Service) (threshold uint16, service string) {
	now := p.clock.now()
	service = called.Name
	threshold = p.shed.Threshold(service, now)
	for _, required := range called.Dependencies {
		if next := p.shed.Threshold(required, now); next < threshold {
			threshold, service = next, required
		}
	}
	return threshold, service
}

func (p *player) policyCall(c *call) policy.Call {
	incoming := ""
	if c.event.Parent != "" {
		incoming = c.context.Rank.Level.String()
	}
	return policy.Call{
		Service:      c.service.Name,
		Method:       c.method(),
		Path:         c.event.Path,
		Caller:       c.context.Caller,
		Zone:         p.header.Zone,
		IncomingRank: incoming,
		Repeatable:   c.event.Key == "" && c.service.Repeatable(c.method()),
		Keyed:        c.event.Key != "",
		External:     c.external(),
		Hops:         int(c.context.Hops),
		TimeoutMs:    int(c.context.Deadline.Sub(p.clock.now()).Milliseconds()),
	}
}

func (p *player) policyLoad(c *call) policy.Load {
	load := p.router.Load(c.service.Name)
	if c.threshold < criticality.RankCount {
		load.ShedLevel = criticality.RankOf(c.threshold).Level.String()
	}
	return load
}

func (p *player) notEvaluated(c *call, err error) {
	if err != nil {
		p.report.note(p, "call %s: policy was not evaluated: %v", c.id, err)
	}
}

func (p *player) whenToComeBack(c *call, failure *problem.Problem) *problem.Problem {
	outcome := policy.Outcome{Status: failure.Status, Executed: string(failure.Executed), Reason: string(failure.Reason)}
	seconds, err := c.service.Policy.RefuseSeconds(c.policy, p.policyLoad(c), outcome)
	p.notEvaluated(c, err)
	return failure.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// granted asks the request's budget for one retry. A lost answer is a grant
// that is spent and not used.
func (p *player) granted(c *call, lost bool) bool {
	if c.event.Orphan {
		return false
	}
	p.tokens++
	var token grant.Token
	binary.LittleEndian.PutUint64(token[:], p.tokens)
	return p.budgets.Grant(c.context.RequestID, token) && !lost
}

// grantTo plays another node's question for a grant.
func (p *player) grantTo(event Event) error {
	c := p.calls[event.Grant.Call]
	if c == nil {
		return fmt.Errorf("no call %s", event.Grant.Call)
	}
	var token grant.Token
	copy(token[:], event.Grant.Token)
	granted := p.budgets.Grant(c.context.RequestID, token)
	if event.Grant.Granted != nil {
		p.report.compare(p, event.Line, "grant "+event.Grant.Token+" for "+c.id, *event.Grant.Granted, granted)
	}
	return nil
}
