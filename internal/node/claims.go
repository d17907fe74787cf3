package node

import (
	"context"
	"encoding/binary"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/claim"
	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/settings"
)

// rosterSettle is how long a node that finds no roster in the store waits for
// other nodes before it creates the first one.
const rosterSettle = 2 * time.Second

// rosterInterval is how often a node looks whether the roster needs a change; a
// replica that died is replaced within a few of them.
const rosterInterval = 500 * time.Millisecond

// claimRetryAfter is told when a claim could not be decided and nothing better
// is known.
const claimRetryAfter = time.Second

// claims joins the gateway to the claim replicas.
type claims struct {
	node    string
	members *membership.Membership
	client  *http.Client
	log     *logrus.Entry
	// newer holds the peer address of a node that knows a newer roster.
	newer   chan string
	service *claim.Service
	claimer *claim.Claimer
	manager *claim.Manager
}

// bootIDOf returns a member's boot id as claim replicas know it. The
// membership draws 64 random bits at each start.
func bootIDOf(member membership.Member) claim.BootID {
	var id claim.BootID
	binary.BigEndian.PutUint64(id[:], member.BootID)
	return id
}

func (n *Node) newClaims() *claims {
	self := n.members.Self()
	service := claim.NewService(claim.ServiceConfig{Self: claim.Identity{Name: self.Name, Boot: bootIDOf(self)}})
	size := n.settings.Claims.Replicas
	if n.settings.Store.Kind == settings.StoreMemory {
		// A node with an embedded store is alone.
		size = 1
	}
	return &claims{
		node:    n.settings.Name,
		members: n.members,
		client:  n.peerClient,
		log:     n.log.WithField("step", "claim"),
		newer:   make(chan string, 1),
		service: service,
		claimer: claim.NewClaimer(claim.ClaimerConfig{Service: service, Client: n.peerClient}),
		manager: claim.NewManager(claim.ManagerConfig{
			Service:    service,
			Store:      n.store,
			Members:    claimMembers{n.members},
			Client:     n.peerClient,
			Logger:     n.log.WithField("step", "claim"),
			Size:       size,
			Retention:  n.settings.Claims.Retention.Duration(),
			SettleTime: rosterSettle,
			Interval:   rosterInterval,
		}),
	}
}

// claimMembers shows the membership as the claim replicas see nodes.
type claimMembers struct{ members *membership.Membership }

// Members returns the nodes known now.
func (v claimMembers) Members() []claim.Node {
	known := v.members.Members()
	nodes := make([]claim.Node, 0, len(known))
	for _, member := range known {
		nodes = append(nodes, claim.Node{
			Name:        member.Name,
			BootID:      bootIDOf(member),
			Zone:        member.Zone,
			PeerAddress: member.PeerAddress,
			Alive:       member.State.Live(),
		})
	}
	return nodes
}

func (c *claims) register(mux *http.ServeMux) {
	c.service.Register(mux)
	mux.HandleFunc("GET "+rosterPath, c.serveRoster)
}

// run keeps the roster up to date until the context ends.
func (c *claims) run(ctx context.Context) {
	var learning sync.WaitGroup
	learning.Go(func() { c.learnRosters(ctx) })
	c.manager.Run(ctx)
	c.claimer.Close()
	learning.Wait()
}

// epoch returns the epoch of the roster that the node knows, zero without one.
func (c *claims) epoch() uint64 {
	roster, _ := c.service.Roster()
	return roster.Epoch
}

// Claim claims the key.
func (c *claims) Claim(ctx context.Context, scope, key string) (gateway.Claim, *problem.Problem) {
	decision, err := c.claimer.Claim(ctx, scope, key, claim.NewAttemptID())
	switch {
	case decision.Outcome == claim.Granted:
		return grantedClaim{claimer: c.claimer, decision: decision}, nil
	case errors.Is(err, claim.ErrKeyExpired):
		return nil, problem.New(problem.DuplicateRequest, problem.ExecutedUnknown, "claim", c.node,
			"the idempotency key is older than its lifetime").WithCause(err)
	case decision.Outcome == claim.Held:
		return nil, problem.New(problem.DuplicateRequest, problem.ExecutedUnknown, "claim", c.node,
			"a call with this idempotency key was made before").WithCause(err)
	default:
		return nil, problem.New(problem.ClaimsUnavailable, problem.ExecutedNo, "claim", c.node,
			"no majority of claim replicas answered").WithCause(err).WithRetryAfter(max(decision.RetryAfter, claimRetryAfter))
	}
}

// grantedClaim is a claim that was granted.
type grantedClaim struct {
	claimer  *claim.Claimer
	decision claim.Decision
}

// Release gives the claim up.
func (g grantedClaim) Release() { g.claimer.Release(g.decision) }
