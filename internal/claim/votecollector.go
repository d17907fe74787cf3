package claim

import (
	"context"
	"sync"

	"github.com/samber/oops"
)

// voteCollector connects a Coordinator to the network. The coordinator is used
// only by the goroutine that runs the call.
type voteCollector struct {
	claimer     *Claimer
	coordinator *Coordinator
	results     chan requestResult
	requests    sync.WaitGroup
	restarts    int
	lastError   error
	// outcome is set before decided is closed.
	outcome Outcome
	decided chan struct{}
}

// requestResult is a voter's response, or the error if the request failed.
type requestResult struct {
	voter    Member
	epoch    uint64
	response Response
	err      error
}

func newVoteCollector(c *Claimer, coordinator *Coordinator) *voteCollector {
	return &voteCollector{
		claimer:     c,
		coordinator: coordinator,
		// Capacity for all results, so that no request goroutine ever blocks.
		results: make(chan requestResult, MaximumSeats*(1+maximumRestarts)),
		decided: make(chan struct{}),
	}
}

// run sends requests to all voters and returns as soon as the outcome is
// certain.
func (v *voteCollector) run(ctx context.Context) Outcome {
	defer close(v.decided)
	v.sendRequests()
	v.outcome = v.coordinator.Decide(v.claimer.service.now())
	for v.outcome == Pending {
		select {
		case r := <-v.results:
			v.outcome = v.handleResult(r)
		case <-ctx.Done():
			v.lastError = ctx.Err()
			v.outcome = v.coordinator.Abort()
		case <-v.claimer.baseContext.Done():
			v.lastError = ErrClosed
			v.outcome = v.coordinator.Abort()
		}
	}
	return v.outcome
}

func (v *voteCollector) sendRequests() {
	for _, voter := range v.coordinator.Voters() {
		v.sendRequest(voter)
	}
}

func (v *voteCollector) sendRequest(voter Member) {
	req := v.coordinator.Request(voter.Identity)
	roster := v.coordinator.roster
	v.requests.Add(1)
	started := v.claimer.start(func() {
		defer v.requests.Done()
		response, err := v.claimer.sendRequest(voter, req, roster)
		v.results <- requestResult{voter: voter, epoch: req.Epoch, response: response, err: err}
		v.releaseUnlessGranted(voter, req)
	})
	if !started {
		v.requests.Done()
		v.results <- requestResult{voter: voter, epoch: req.Epoch, err: ErrClosed}
	}
}

// releaseUnlessGranted waits for the outcome and, if the attempt will never run,
// releases its claim at the voter. It must be called after the voter's answer.
func (v *voteCollector) releaseUnlessGranted(voter Member, req Request) {
	<-v.decided
	if v.outcome != Granted {
		v.claimer.sendRelease(voter, ReleaseRequest{To: voter.Identity, Key: req.Key, Attempt: req.Attempt})
	}
}

func (v *voteCollector) handleResult(r requestResult) Outcome {
	now := v.claimer.service.now()
	if r.err != nil {
		v.lastError = r.err
		return v.coordinator.RecordFailure(r.voter.Identity, r.epoch, now)
	}
	if r.response.Roster != nil && v.switchRoster(*r.response.Roster) {
		return v.coordinator.Decide(now)
	}
	if r.response.From != r.voter.Identity || r.response.Answer == 0 || r.response.Answer >= answerCount {
		return v.coordinator.RecordFailure(r.voter.Identity, r.epoch, now)
	}
	return v.coordinator.Receive(r.response, now)
}

// switchRoster adopts a newer roster that a replica attached and restarts the
// vote with it. It reports whether the vote was restarted.
func (v *voteCollector) switchRoster(roster Roster) bool {
	v.claimer.service.Adopt(roster)
	if v.restarts == maximumRestarts || !v.coordinator.Restart(roster) {
		return false
	}
	v.restarts++
	v.sendRequests()
	return true
}

// drain waits for the remaining requests and releases after the outcome is
// known, then frees the claim's slot.
func (v *voteCollector) drain() {
	v.requests.Wait()
	<-v.claimer.slots
}

// cause returns the reason why the claim was not granted, or nil if it was.
func (v *voteCollector) cause() error {
	switch {
	case v.outcome == Granted:
		return nil
	case v.outcome == Held:
		return ErrKeyHeld
	case v.lastError != nil:
		return oops.Join(ErrNoMajority, v.lastError)
	default:
		return ErrNoMajority
	}
}
