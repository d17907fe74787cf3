package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/claim"
	"github.com/lugspur/lugspur/internal/pause"
)

// rosterPath is the path at which a node serves its roster of claim replicas, so that
// a node that starts during a store outage can fetch the roster from a peer.
const rosterPath = "/peer/claim/roster"

const (
	// rosterFetchTimeout is the timeout of a request for a roster.
	rosterFetchTimeout = time.Second
	// handoverTimeout is the maximum time that a claim replica that shuts down waits
	// to be replaced in the roster.
	handoverTimeout = 15 * time.Second
	// handoverPollInterval is the interval at which that replica checks the roster.
	handoverPollInterval = 100 * time.Millisecond
	// maxRosterBytes is the maximum size of an encoded roster.
	maxRosterBytes = claim.MaximumMessageBytes
)

func (c *claims) serveRoster(w http.ResponseWriter, _ *http.Request) {
	roster, found := c.service.Roster()
	if !found {
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

// handleRosterEpoch schedules a fetch of the peer's roster if the peer
// advertises a newer epoch. It does not block.
func (c *claims) handleRosterEpoch(epoch uint64, peer string) {
	if epoch <= c.epoch() {
		return
	}
	select {
	case c.newerRosterPeers <- peer:
	default:
		// A fetch is pending already. Gossip repeats the epoch, so a later payload
		// schedules a fetch if this roster is still newer.
	}
}

// fetchNewerRosters fetches rosters from the peers that advertise a newer epoch,
// until the context is cancelled. Coordinators also receive newer rosters from the
// claim replicas that vote, but not if the replicas that have the newer roster no
// longer vote.
func (c *claims) fetchNewerRosters(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-c.newerRosterPeers:
			if err := c.fetchRoster(ctx, peer); err != nil {
				c.log.WithError(err).Debug("failed to fetch the roster from a peer")
			}
		}
	}
}

func (c *claims) fetchRoster(ctx context.Context, peer string) error {
	errorBuilder := oops.In("node").With("step", "learn roster").With("peer", peer)
	ctx, cancel := context.WithTimeout(ctx, rosterFetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+rosterPath, nil)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRosterBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	roster, err := claim.DecodeRoster(body)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	c.service.Adopt(roster)
	return nil
}

// awaitHandover waits until this node is no longer a claim replica, if it is one
// and another node can replace it.
func (c *claims) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil && c.handoverPending() {
		pause.For(ctx, handoverPollInterval)
	}
}

// handoverPending reports whether this node is a claim replica and can be replaced,
// because a live node exists that is not a claim replica.
func (c *claims) handoverPending() bool {
	roster, found := c.service.Roster()
	if !found {
		return false
	}
	replicas := map[string]bool{}
	for _, seat := range roster.Seats {
		replicas[seat.Holder.Identity.Name] = true
	}
	if !replicas[c.node] {
		return false
	}
	for _, member := range c.members.Live("") {
		if !replicas[member.Name] {
			return true
		}
	}
	return false
}
