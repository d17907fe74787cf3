package replay

import (
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/claim"
	"github.com/lugspur/lugspur/internal/problem"
)

// claimCluster holds the claim replicas of a trace and the attempts to claim keys.
type claimCluster struct {
	roster       claim.Roster
	replicaNames []string
	replicas     map[string]*claim.Replica
	members      map[string]claim.Member
	attempts     map[string]*claimAttempt
	grantCounts  map[string]int
	lastID       byte
}

// claimAttempt is an attempt to claim the idempotency key of a call.
type claimAttempt struct {
	id           claim.AttemptID
	key          string
	hash         claim.KeyHash
	coordinator  *claim.Coordinator
	grantCounted bool
}

// newClaimCluster starts the replicas of the first roster. It returns nil if the trace
// has none.
func newClaimCluster(config *ClaimReplicas) (*claimCluster, error) {
	if config == nil {
		return nil, nil
	}
	c := &claimCluster{
		replicas:     map[string]*claim.Replica{},
		members:      map[string]claim.Member{},
		attempts:     map[string]*claimAttempt{},
		grantCounts:  map[string]int{},
		replicaNames: config.Replicas,
	}
	var members []claim.Member
	for _, name := range config.Replicas {
		c.startReplica(name)
		members = append(members, c.members[name])
	}
	roster, err := claim.NewGenesis(config.Retention.Duration(), members)
	if err != nil {
		return nil, oops.In("replay").With("step", "create claim roster").Wrap(err)
	}
	c.adoptRoster(roster, traceStart)
	return c, nil
}

// startReplica starts a replica with an empty state and a new boot ID.
func (c *claimCluster) startReplica(name string) {
	c.lastID++
	identity := claim.Identity{Name: name, Boot: claim.BootID{c.lastID}}
	c.members[name] = claim.Member{Identity: identity, Zone: name}
	c.replicas[name] = claim.NewReplica(identity, claim.DefaultCapacity)
}

func (c *claimCluster) adoptRoster(roster claim.Roster, now time.Time) {
	c.roster = roster
	for _, name := range c.replicaNames {
		c.replicas[name].Adopt(roster, now)
	}
}

func (c *claimCluster) newAttempt(scope, key string, now time.Time) *claimAttempt {
	c.lastID++
	a := &claimAttempt{id: claim.AttemptID{c.lastID}, key: key, hash: claim.HashKey(scope, key)}
	a.coordinator = claim.NewCoordinator(c.roster, a.hash, a.id, now)
	return a
}

// startAttempt starts an attempt whose messages are delivered by the trace.
func (c *claimCluster) startAttempt(event *ClaimEvent, now time.Time) error {
	if c == nil {
		return fmt.Errorf("the trace has no claim replicas")
	}
	c.attempts[event.Attempt] = c.newAttempt("", event.Key, now)
	return nil
}

// deliver delivers an attempt's request to a replica and the responses to the attempt.
func (c *claimCluster) deliver(event *DeliveryEvent, now time.Time) error {
	if c == nil || c.attempts[event.Attempt] == nil || c.replicas[event.Replica] == nil {
		return fmt.Errorf("unknown attempt %s or replica %s", event.Attempt, event.Replica)
	}
	c.sendRequest(c.attempts[event.Attempt], event, now)
	return nil
}

// sendRequest sends the attempt's request to the replica. The request is addressed to
// the process that holds the replica's seat in the attempt's roster; a replica that
// has restarted since is another process.
func (c *claimCluster) sendRequest(a *claimAttempt, event *DeliveryEvent, now time.Time) {
	for _, voter := range a.coordinator.Voters() {
		if voter.Identity.Name != event.Replica {
			continue
		}
		for range max(event.Copies, 1) {
			response := c.replicas[event.Replica].Handle(a.coordinator.Request(voter.Identity), now)
			if !event.DropResponse {
				a.receive(response, now)
			}
		}
	}
	if a.coordinator.Decide(now) == claim.Granted && !a.grantCounted {
		a.grantCounted = true
		c.grantCounts[a.key]++
	}
}

// receive processes a response. If it contains a newer roster, the attempt restarts
// with that roster.
func (a *claimAttempt) receive(response claim.Response, now time.Time) {
	if response.Roster != nil && a.coordinator.Restart(*response.Roster) {
		return
	}
	a.coordinator.Receive(response, now)
}

// claimKey claims a call's key at all replicas without delay.
func (c *claimCluster) claimKey(call *call, now time.Time) (*claimAttempt, *problem.Problem) {
	if c == nil {
		return nil, problem.New(problem.ClaimsUnavailable, problem.ExecutedNo, "claim", nodeName, "the trace has no claim replicas")
	}
	a := c.newAttempt(call.service.Name+"\x00"+call.context.Caller, call.event.Key, now)
	for _, name := range c.replicaNames {
		c.sendRequest(a, &DeliveryEvent{Replica: name}, now)
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
			"no majority of claim replicas answered").WithRetryAfter(defaultRetryAfter)
	}
}

// release releases the claim of an attempt whose call will not be executed.
func (c *claimCluster) release(a *claimAttempt, now time.Time) {
	for _, voter := range a.coordinator.Voters() {
		request := claim.ReleaseRequest{To: voter.Identity, Key: a.hash, Attempt: a.id}
		c.replicas[voter.Identity.Name].Release(request, now)
	}
}

func (c *claimCluster) restart(name string) error {
	if c == nil || c.replicas[name] == nil {
		return fmt.Errorf("unknown replica %s", name)
	}
	c.startReplica(name)
	return nil
}

// rejoin returns its seat to a restarted replica: the old holder is marked as lost,
// and the new one copies the claims of a majority before it votes.
func (c *claimCluster) rejoin(name string, now time.Time) error {
	if c == nil || c.replicas[name] == nil {
		return fmt.Errorf("unknown replica %s", name)
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
	c.adoptRoster(roster, now)
	c.copyClaims(c.replicas[name], now)
	if epoch, ready := c.replicas[name].Ready(); !ready || epoch != c.roster.Epoch {
		return fmt.Errorf("replica %s could not copy the claims of a majority", name)
	}
	roster, err = c.roster.NextActivate(joining.Identity)
	if err == nil {
		c.adoptRoster(roster, now)
	}
	return err
}

// copyClaims copies the claims of the other replicas page by page until a round of
// requests makes no progress.
func (c *claimCluster) copyClaims(joining *claim.Replica, now time.Time) {
	for progressed := true; progressed; {
		progressed = false
		for _, request := range joining.PageRequests() {
			page := c.replicas[request.Member.Identity.Name].Page(request.Request, now)
			progressed = joining.ReceivePage(page, now) || progressed
		}
	}
}
