package replay

import (
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/claim"
	"github.com/lugspur/lugspur/internal/problem"
)

// claimCluster is the claim replicas of a trace and the attempts to claim.
type claimCluster struct {
	roster   claim.Roster
	names    []string
	replicas map[string]*claim.Replica
	members  map[string]claim.Member
	attempts map[string]*attempt
	granted  map[string]int
	drawn    byte
}

// attempt is one sending of a keyed call.
type attempt struct {
	id          claim.AttemptID
	key         string
	hash        claim.KeyHash
	coordinator *claim.Coordinator
	counted     bool
}

// newClaimCluster returns the replicas of the first roster, nil for none.
func newClaimCluster(settings *ClaimReplicas) (*claimCluster, error) {
	if settings == nil {
		return nil, nil
	}
	c := &claimCluster{
		replicas: map[string]*claim.Replica{},
		members:  map[string]claim.Member{},
		attempts: map[string]*attempt{},
		granted:  map[string]int{},
		names:    settings.Replicas,
	}
	var members []claim.Member
	for _, name := range settings.Replicas {
		c.boot(name)
		members = append(members, c.members[name])
	}
	roster, err := claim.NewGenesis(settings.Retention.Duration(), members)
	if err != nil {
		return nil, oops.In("replay").With("step", "found claim replicas").Wrap(err)
	}
	c.adopt(roster, traceStart)
	return c, nil
}

// boot starts a replica without memory under a new boot id.
func (c *claimCluster) boot(name string) {
	c.drawn++
	identity := claim.Identity{Name: name, Boot: claim.BootID{c.drawn}}
	c.members[name] = claim.Member{Identity: identity, Zone: name}
	c.replicas[name] = claim.NewReplica(identity, claim.DefaultCapacity)
}

func (c *claimCluster) adopt(roster claim.Roster, now time.Time) {
	c.roster = roster
	for _, name := range c.names {
		c.replicas[name].Adopt(roster, now)
	}
}

func (c *claimCluster) newAttempt(scope, key string, now time.Time) *attempt {
	c.drawn++
	a := &attempt{id: claim.AttemptID{c.drawn}, key: key, hash: claim.HashKey(scope, key)}
	a.coordinator = claim.NewCoordinator(c.roster, a.hash, a.id, now)
	return a
}

// begin begins an attempt whose messages the trace delivers.
func (c *claimCluster) begin(event *ClaimEvent, now time.Time) error {
	if c == nil {
		return fmt.Errorf("the trace has no claim replicas")
	}
	c.attempts[event.Attempt] = c.newAttempt("", event.Key, now)
	return nil
}

// deliver takes an attempt's request to a replica and the answers back.
func (c *claimCluster) deliver(event *DeliverEvent, now time.Time) error {
	if c == nil || c.attempts[event.Attempt] == nil || c.replicas[event.Replica] == nil {
		return fmt.Errorf("no attempt %s or replica %s", event.Attempt, event.Replica)
	}
	c.ask(c.attempts[event.Attempt], event, now)
	return nil
}

// ask asks the holder of the replica's seat by the attempt's roster, which is
// the process that runs now only if it did not restart meanwhile.
func (c *claimCluster) ask(a *attempt, event *DeliverEvent, now time.Time) {
	for _, voter := range a.coordinator.Voters() {
		if voter.Identity.Name != event.Replica {
			continue
		}
		for range max(event.Copies, 1) {
			response := c.replicas[event.Replica].Handle(a.coordinator.Request(voter.Identity), now)
			if !event.LoseAnswer {
				a.receive(response, now)
			}
		}
	}
	if a.coordinator.Decide(now) == claim.Granted && !a.counted {
		a.counted = true
		c.granted[a.key]++
	}
}

// receive counts an answer, after taking over a newer roster that it brings.
func (a *attempt) receive(response claim.Response, now time.Time) {
	if response.Roster != nil && a.coordinator.Restart(*response.Roster) {
		return
	}
	a.coordinator.Receive(response, now)
}

// claimNow claims a call's key with every replica within the same moment.
func (c *claimCluster) claimNow(call *call, now time.Time) (*attempt, *problem.Problem) {
	if c == nil {
		return nil, problem.New(problem.ClaimsUnavailable, problem.ExecutedNo, "claim", nodeName, "the trace has no claim replicas")
	}
	a := c.newAttempt(call.service.Name+"\x00"+call.context.Caller, call.event.Key, now)
	for _, name := range c.names {
		c.ask(a, &DeliverEvent{Replica: name}, now)
	}
	switch a.coordinator.Abort() {
	case claim.Granted:
		return a, nil
	case claim.Held:
		c.release(a, now)
		return nil, problem.New(problem.DuplicateRequest, problem.ExecutedUnknown, "claim", nodeName,
			"a call with this idempotency key was made before")
	default:
		c.release(a, now)
		return nil, problem.New(problem.ClaimsUnavailable, problem.ExecutedNo, "claim", nodeName,
			"no majority of claim replicas answered").WithRetryAfter(retryAfterDefault)
	}
}

// release gives up an attempt that will never run.
func (c *claimCluster) release(a *attempt, now time.Time) {
	for _, voter := range a.coordinator.Voters() {
		request := claim.ReleaseRequest{To: voter.Identity, Key: a.hash, Attempt: a.id}
		c.replicas[voter.Identity.Name].Release(request, now)
	}
}

func (c *claimCluster) restart(name string) error {
	if c == nil || c.replicas[name] == nil {
		return fmt.Errorf("no replica %s", name)
	}
	c.boot(name)
	return nil
}

// rejoin gives a restarted replica its seat back: the old holder is marked
// lost, and the new one copies the claims of a majority before it votes.
func (c *claimCluster) rejoin(name string, now time.Time) error {
	if c == nil || c.replicas[name] == nil {
		return fmt.Errorf("no replica %s", name)
	}
	joining := c.members[name]
	roster, err := c.roster.NextLost(joining.Identity)
	if err != nil {
		return err
	}
	for _, seat := range roster.Seats {
		if seat.Lost && seat.Holder.Identity.Name == name {
			roster, err = roster.NextReplace(seat.Holder.Identity, joining)
		}
	}
	if err != nil {
		return err
	}
	c.adopt(roster, now)
	c.copyClaims(c.replicas[name], now)
	if epoch, ready := c.replicas[name].Ready(); !ready || epoch != c.roster.Epoch {
		return fmt.Errorf("replica %s could not copy the claims of a majority", name)
	}
	roster, err = c.roster.NextActivate(joining.Identity)
	if err == nil {
		c.adopt(roster, now)
	}
	return err
}

func (c *claimCluster) copyClaims(joining *claim.Replica, now time.Time) {
	for advanced := true; advanced; {
		advanced = false
		for _, request := range joining.PageRequests() {
			page := c.replicas[request.Member.Identity.Name].Page(request.Request, now)
			advanced = joining.ReceivePage(page, now) || advanced
		}
	}
}
