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

// rosterSettleDelay is how long a node that finds no roster in the store waits
// for other nodes to join before it creates the first roster.
const rosterSettleDelay = 2 * time.Second

// rosterCheckInterval is the interval at which a node checks whether the roster
// must change. A failed replica is replaced within a few intervals.
const rosterCheckInterval = 500 * time.Millisecond

// claimRetryAfter is the minimum Retry-After of a call whose claim could not be
// decided.
const claimRetryAfter = time.Second

// claims connects the gateway to the claim replicas.
type claims struct {
	node    string
	members *membership.Membership
	client  *http.Client
	log     *logrus.Entry
	// newerRosterPeers buffers the address of a peer that has advertised a newer
	// roster.
	newerRosterPeers chan string
	service          *claim.Service
	claimer          *claim.Claimer
	manager          *claim.Manager
}

// bootIDOf converts the boot ID of a member, which consists of 64 random bits that
// the membership generates at each start, to the form that claim replicas use.
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
		// The in-memory store supports a single node only.
		size = 1
	}
	return &claims{
		node:             n.settings.Name,
		members:          n.members,
		client:           n.peerClient,
		log:              n.log.WithField("step", "claim"),
		newerRosterPeers: make(chan string, 1),
		service:          service,
		claimer:          claim.NewClaimer(claim.ClaimerConfig{Service: service, Client: n.peerClient}),
		manager: claim.NewManager(claim.ManagerConfig{
			Service:    service,
			Store:      n.store,
			Members:    claimMembership{n.members},
			Client:     n.peerClient,
			Logger:     n.log.WithField("step", "claim"),
			Size:       size,
			Retention:  n.settings.Claims.Retention.Duration(),
			SettleTime: rosterSettleDelay,
			Interval:   rosterCheckInterval,
		}),
	}
}

// claimMembership adapts the membership to the interface of package claim.
type claimMembership struct{ members *membership.Membership }

// Members returns all known nodes, including those that are not alive.
func (m claimMembership) Members() []claim.Node {
	members := m.members.Members()
	nodes := make([]claim.Node, 0, len(members))
	for _, member := range members {
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

// run keeps the roster up to date until the context is cancelled.
func (c *claims) run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { c.fetchNewerRosters(ctx) })
	c.manager.Run(ctx)
	c.claimer.Close()
	background.Wait()
}

// epoch returns the epoch of the node's roster, or zero if it has none.
func (c *claims) epoch() uint64 {
	roster, _ := c.service.Roster()
	return roster.Epoch
}

// Claim implements gateway.Claims.
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

// grantedClaim is a granted claim that can be released.
type grantedClaim struct {
	claimer  *claim.Claimer
	decision claim.Decision
}

// Release releases the claim.
func (g grantedClaim) Release() { g.claimer.Release(g.decision) }
