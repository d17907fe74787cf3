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
	// cohortPeriod is how long callers keep their cohort, which orders them within a
	// level.
	cohortPeriod = time.Hour
	// budgetGrace is how long after its request's deadline a retry budget expires.
	budgetGrace = time.Second
	// defaultRetryAfter is the Retry-After of problems for which no better value is
	// known.
	defaultRetryAfter = time.Second
)

// ingressAddress is the peer address in call contexts at which the simulated node
// grants retries.
var ingressAddress = netip.MustParseAddrPort("127.0.0.1:7000")

// call is the state of one call.
type call struct {
	id       string
	line     int
	event    *CallEvent
	caller   string
	sequence int

	service *catalog.Service
	context callcontext.Context
	// downstreamContext is the context of the calls that the target makes while it
	// runs the latest attempt.
	downstreamContext callcontext.Context
	policy            policy.Call
	threshold         uint16
	fingerprint       resend.Fingerprint
	attempts          int
	triedTargets      []string
	mayHaveExecuted   bool
	route             gateway.Route
	targetState       *targetState
	permit            *scheduler.Permit
	response          Response
	claimAttempt      *claimAttempt

	sendCount      int
	admissionOrder int
	admittedAt     time.Duration
	lastTarget     string
	result         *callResult
}

// callResult is the final outcome of a call.
type callResult struct {
	elapsed time.Duration
	status  int
	failure *problem.Problem
}

func newCall(event Event, index int) *call {
	c := &call{id: event.Call.ID, line: event.Line, event: event.Call, caller: event.Call.Caller}
	if event.Call.Count > 1 {
		c.id = fmt.Sprintf("%s-%d", c.id, index+1)
	}
	if event.Call.CallerCount > 1 {
		c.caller = fmt.Sprintf("%s-%d", c.caller, index%event.Call.CallerCount+1)
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

// receiveCall receives a call and starts it if it is admitted, as the gateway does.
func (p *player) receiveCall(c *call) {
	p.sequence++
	c.sequence = p.sequence
	c.service = p.router.View().Services[c.event.Service]
	if c.service == nil {
		p.finish(c, 0, p.newProblem(problem.UnknownService, "receive", "no such service"))
		return
	}
	if failure := p.setContext(c); failure != nil {
		p.finish(c, 0, failure)
		return
	}
	if failure := p.admit(c); failure != nil {
		p.finish(c, 0, failure)
		return
	}
	p.startCall(c)
}

// newProblem returns a problem of the node for a call that was not executed.
func (p *player) newProblem(reason problem.Reason, step, detail string) *problem.Problem {
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

// setContext sets the call's context: a new one for a call without a parent, that of
// the parent for a call from a target.
func (p *player) setContext(c *call) *problem.Problem {
	now := p.clock.now()
	deadline := now.Add(p.timeoutOf(c))
	if c.event.Parent == "" {
		c.context = callcontext.Context{
			RequestID: requestIDOf(c.sequence),
			Ingress:   ingressAddress,
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
	if parent == nil || parent.sendCount == 0 {
		return p.newProblem(problem.BadContext, "context", "the parent call has not been sent to a target")
	}
	c.context = parent.downstreamContext
	c.context.Hops++
	if deadline.Before(c.context.Deadline) {
		c.context.Deadline = deadline
	}
	if !c.context.Deadline.After(now) {
		return p.newProblem(problem.DeadlineExceeded, "context", "the deadline has passed")
	}
	return nil
}

func requestIDOf(sequence int) callcontext.RequestID {
	var id callcontext.RequestID
	binary.LittleEndian.PutUint64(id[:], uint64(sequence))
	return id
}

func cohortOf(caller string, now time.Time) uint8 {
	return criticality.CohortOf(caller, uint64(now.Unix()/int64(cohortPeriod/time.Second)))
}

// admit applies the service's policy and the shed thresholds to a call. It returns
// the problem if the call is refused.
func (p *player) admit(c *call) *problem.Problem {
	c.policy = p.policyCall(c)
	sheddingService := ""
	c.threshold, sheddingService = p.shedThreshold(c.service)
	load := p.policyLoad(c)
	admitted, err := c.service.Policy.Admit(c.policy, load)
	p.notePolicyError(c, err)
	if !admitted {
		return p.newProblem(problem.NotAdmitted, "policy", "the service's policy does not admit the call")
	}
	if !c.event.Orphan {
		c.context.Rank.Level, err = c.service.Policy.Rank(c.policy)
		p.notePolicyError(c, err)
	}
	if c.context.Rank.Key() >= c.threshold {
		return p.setRetryAfter(c, p.newProblem(problem.Overloaded, "shed", "calls of this rank are being shed by "+sheddingService))
	}
	return nil
}

// shedThreshold returns the lowest shed threshold of the service and its
// dependencies, and the service that has it.
func (p *player) shedThreshold(called *catalog.Service) (threshold uint16, service string) {
	now := p.clock.now()
	service = called.Name
	threshold = p.shed.Threshold(service, now)
	for _, dependency := range called.Dependencies {
		if dependencyThreshold := p.shed.Threshold(dependency, now); dependencyThreshold < threshold {
			threshold, service = dependencyThreshold, dependency
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

// notePolicyError adds a note to the report if the error is not nil.
func (p *player) notePolicyError(c *call, err error) {
	if err != nil {
		p.report.addNote(p, "call %s: policy evaluation failed: %v", c.id, err)
	}
}

// setRetryAfter sets the problem's Retry-After from the service's policy.
func (p *player) setRetryAfter(c *call, failure *problem.Problem) *problem.Problem {
	outcome := policy.Outcome{Status: failure.Status, Executed: string(failure.Executed), Reason: string(failure.Reason)}
	seconds, err := c.service.Policy.RefuseSeconds(c.policy, p.policyLoad(c), outcome)
	p.notePolicyError(c, err)
	return failure.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// requestGrant requests one retry from the request's budget. If the response is
// lost, a granted retry is charged to the budget but not used.
func (p *player) requestGrant(c *call, responseLost bool) bool {
	if c.event.Orphan {
		return false
	}
	p.lastToken++
	var token grant.Token
	binary.LittleEndian.PutUint64(token[:], p.lastToken)
	return p.budgets.Grant(c.context.RequestID, token) && !responseLost
}

// playGrantRequest plays a retry grant request from another node.
func (p *player) playGrantRequest(event Event) error {
	c := p.calls[event.GrantRequest.Call]
	if c == nil {
		return fmt.Errorf("unknown call %s", event.GrantRequest.Call)
	}
	var token grant.Token
	copy(token[:], event.GrantRequest.Token)
	granted := p.budgets.Grant(c.context.RequestID, token)
	if event.GrantRequest.Granted != nil {
		p.report.compare(p, event.Line, "grant "+event.GrantRequest.Token+" for "+c.id, *event.GrantRequest.Granted, granted)
	}
	return nil
}
