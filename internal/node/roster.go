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

// rosterPath is where a node tells others the roster of claim replicas that it
// knows, so that a node that starts while the store is down learns it as well.
const rosterPath = "/peer/claim/roster"

const (
	// learnTimeout bounds one question.
	learnTimeout = time.Second
	// handoverTimeout bounds the time that a stopping replica waits for another
	// node to take its seat.
	handoverTimeout = 15 * time.Second
	// handoverPoll is how often that is looked at.
	handoverPoll = 100 * time.Millisecond
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

// heardOf notes that a node knows the roster of an epoch. It does not block.
func (c *claims) heardOf(epoch uint64, peer string) {
	if epoch <= c.epoch() {
		return
	}
	select {
	case c.newer <- peer:
	default:
		// The peer, or another one, is heard again soon.
	}
}

// learnRosters fetches newer rosters from the nodes that are heard to know
// them, until the context ends. Replicas tell coordinators of newer rosters as
// well, but not when those who know them do not vote any more.
func (c *claims) learnRosters(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-c.newer:
			if err := c.fetchRoster(ctx, peer); err != nil {
				c.log.WithError(err).Debug("roster not learnt")
			}
		}
	}
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

// awaitHandover waits until this node has no seat in the roster any more, if it
// has one and another node could take it.
func (c *claims) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil && c.handoverDue() {
		pause.For(ctx, handoverPoll)
	}
}

// handoverDue reports whether this node has a seat in the roster and there is a
// live node that has none, or that is about to take this node's.
func (c *claims) handoverDue() bool {
	roster, known := c.service.Roster()
	if !known {
		return false
	}
	holders := map[string]bool{}
	for _, seat := range roster.Seats {
		holders[seat.Holder.Identity.Name] = true
	}
	if !holders[c.node] {
		return false
	}
	for _, member := range c.members.Live("") {
		if !holders[member.Name] {
			return true
		}
	}
	return false
}
