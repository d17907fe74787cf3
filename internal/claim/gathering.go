package claim

import (
	"context"
	"sync"

	"github.com/samber/oops"
)

// gathering connects one Coordinator to the network. Only the goroutine of the
// call uses the coordinator.
type gathering struct {
	claimer     *Claimer
	coordinator *Coordinator
	replies     chan reply
	asking      sync.WaitGroup
	restarts    int
	failure     error
	// outcome is set before decided is closed.
	outcome Outcome
	decided chan struct{}
}

type reply struct {
	voter    Member
	epoch    uint64
	response Response
	err      error
}

func newGathering(c *Claimer, coordinator *Coordinator) *gathering {
	return &gathering{
		claimer:     c,
		coordinator: coordinator,
		// Room for all replies, so that no asking goroutine ever blocks.
		replies: make(chan reply, MaximumSeats*(1+maximumRestarts)),
		decided: make(chan struct{}),
	}
}

// run asks all voters and returns as soon as the outcome is certain.
func (g *gathering) run(ctx context.Context) Outcome {
	defer close(g.decided)
	g.askAll()
	g.outcome = g.coordinator.Decide(g.claimer.service.now())
	for g.outcome == Pending {
		select {
		case r := <-g.replies:
			g.outcome = g.take(r)
		case <-ctx.Done():
			g.failure = ctx.Err()
			g.outcome = g.coordinator.Abort()
		case <-g.claimer.base.Done():
			g.failure = ErrClosed
			g.outcome = g.coordinator.Abort()
		}
	}
	return g.outcome
}

func (g *gathering) askAll() {
	for _, voter := range g.coordinator.Voters() {
		g.ask(voter)
	}
}

func (g *gathering) ask(voter Member) {
	q := g.coordinator.Request(voter.Identity)
	roster := g.coordinator.roster
	g.asking.Add(1)
	started := g.claimer.start(func() {
		defer g.asking.Done()
		response, err := g.claimer.ask(voter, q, roster)
		g.replies <- reply{voter: voter, epoch: q.Epoch, response: response, err: err}
		g.releaseUnlessGranted(voter, q)
	})
	if !started {
		g.asking.Done()
		g.replies <- reply{voter: voter, epoch: q.Epoch, err: ErrClosed}
	}
}

// releaseUnlessGranted gives up, after the voter's answer, an attempt that will
// never run.
func (g *gathering) releaseUnlessGranted(voter Member, q Request) {
	<-g.decided
	if g.outcome != Granted {
		g.claimer.sendRelease(voter, ReleaseRequest{To: voter.Identity, Key: q.Key, Attempt: q.Attempt})
	}
}

func (g *gathering) take(r reply) Outcome {
	now := g.claimer.service.now()
	if r.err != nil {
		g.failure = r.err
		return g.coordinator.Fail(r.voter.Identity, r.epoch, now)
	}
	if r.response.Roster != nil && g.follow(*r.response.Roster) {
		return g.coordinator.Decide(now)
	}
	if r.response.From != r.voter.Identity || r.response.Answer == 0 || r.response.Answer >= answerCount {
		return g.coordinator.Fail(r.voter.Identity, r.epoch, now)
	}
	return g.coordinator.Receive(r.response, now)
}

// follow goes on with a newer roster that a replica attached.
func (g *gathering) follow(roster Roster) bool {
	g.claimer.service.Adopt(roster)
	if g.restarts == maximumRestarts || !g.coordinator.Restart(roster) {
		return false
	}
	g.restarts++
	g.askAll()
	return true
}

// finish waits for the replies that the outcome didn't need, and for releases.
func (g *gathering) finish() {
	g.asking.Wait()
	<-g.claimer.slots
}

func (g *gathering) cause() error {
	switch {
	case g.outcome == Granted:
		return nil
	case g.outcome == Held:
		return ErrKeyHeld
	case g.failure != nil:
		return oops.Join(ErrNoMajority, g.failure)
	default:
		return ErrNoMajority
	}
}
