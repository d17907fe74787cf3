package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/claim"
)

// rosterPath is where a node tells others the roster of claim replicas that it
// knows, so that a node that starts while the store is down learns it as well.
const rosterPath = "/peer/claim/roster"

const (
	// learnInterval is the time between two questions for the roster.
	learnInterval = time.Second
	// learnTimeout bounds one question.
	learnTimeout = time.Second
	// maxRosterBytes bounds an encoded roster.
	maxRosterBytes = claim.MaximumMessageBytes
)

func (c *claims) serveRoster(w http.ResponseWriter, _ *http.Request) {
	roster, known := c.service.Roster()
	if !known {
		http.Error(w, "no roster known", http.StatusNotFound)
		return
	}
	encoded, err := claim.EncodeRoster(roster)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(encoded)
}

// learnRoster asks other nodes for the roster until one is known.
func (c *claims) learnRoster(ctx context.Context) {
	for c.epoch() == 0 && ctx.Err() == nil {
		if peer, found := c.anyPeer(); found {
			if err := c.fetchRoster(ctx, peer); err != nil {
				c.log.WithError(err).Debug("roster not learnt")
			}
		}
		sleep(ctx, learnInterval)
	}
}

// anyPeer returns the address of a live node chosen at random.
func (c *claims) anyPeer() (address string, found bool) {
	live := c.members.Live("")
	if len(live) == 0 {
		return "", false
	}
	peer := live[rand.IntN(len(live))]
	return peer.PeerAddress, peer.Name != c.node
}

func (c *claims) fetchRoster(ctx context.Context, peer string) error {
	failure := oops.In("node").With("step", "learn roster").With("peer", peer)
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+rosterPath, nil)
	if err != nil {
		return failure.Wrap(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return failure.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRosterBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	if err != nil {
		return failure.Wrap(err)
	}
	roster, err := claim.DecodeRoster(body)
	if err != nil {
		return failure.Wrap(err)
	}
	c.service.Adopt(roster)
	return nil
}
