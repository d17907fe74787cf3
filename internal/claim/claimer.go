package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/pause"
)

const (
	// DefaultClaimTimeout is the default timeout of a request to one replica.
	DefaultClaimTimeout = time.Second
	// DefaultMaximumClaims is the default maximum of concurrent claims.
	DefaultMaximumClaims = 1024

	// maximumRestarts limits how often one claim restarts with a newer roster.
	maximumRestarts     = 2
	maximumReleaseTries = 2

	// maximumSplitRetries limits how often a claim is retried after a split
	// vote.
	maximumSplitRetries = 4
	minimumSplitBackoff = 2 * time.Millisecond
	splitBackoffJitter  = 10 * time.Millisecond
)

// Reasons why a claim was not granted.
var (
	ErrNoRoster      = errors.New("no roster known")
	ErrTooManyClaims = errors.New("too many concurrent claims")
	ErrClosed        = errors.New("claimer closed")
	ErrNoMajority    = errors.New("no majority of replicas granted the claim")
	ErrKeyExpired    = errors.New("idempotency key is older than its lifetime")
	ErrKeyHeld       = errors.New("another attempt holds the idempotency key")
)

// ClaimerConfig configures a Claimer.
type ClaimerConfig struct {
	Service *Service
	// Client sends requests to peers. It should keep connections alive.
	Client *http.Client
	// Timeout applies to a request to one replica; zero means
	// DefaultClaimTimeout. It is capped at half of ClaimWindow.
	Timeout time.Duration
	// MaximumClaims limits concurrent claims; zero means DefaultMaximumClaims.
	// A claim counts until its last request has ended, also after the decision.
	MaximumClaims int
}

// Decision is the result of Claim.
type Decision struct {
	// Outcome is Granted, Held or Unavailable.
	Outcome Outcome
	// Epoch is the epoch in which the claim was decided, or zero without a
	// roster.
	Epoch uint64
	// RetryAfter is the longest time that a replica of a new generation must
	// still wait before it can vote. It is zero if no replica reported a wait.
	RetryAfter time.Duration

	key     KeyHash
	attempt AttemptID
	voters  []Member
}

// Claimer claims keys for the calls that this node receives. It is safe for
// concurrent use.
type Claimer struct {
	service *Service
	client  *http.Client
	timeout time.Duration
	slots   chan struct{}

	baseContext context.Context
	cancel      context.CancelFunc
	mutex       sync.Mutex // protects closed; once it is set, no goroutine is added
	closed      bool
	goroutines  sync.WaitGroup
}

// NewClaimer returns a claimer. The caller must call Close.
func NewClaimer(config ClaimerConfig) *Claimer {
	if config.Timeout <= 0 {
		config.Timeout = DefaultClaimTimeout
	}
	if config.MaximumClaims <= 0 {
		config.MaximumClaims = DefaultMaximumClaims
	}
	c := &Claimer{
		service: config.Service,
		client:  config.Client,
		timeout: min(config.Timeout, ClaimWindow/2),
		slots:   make(chan struct{}, config.MaximumClaims),
	}
	c.baseContext, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close stops all goroutines. Pending claims are not granted.
func (c *Claimer) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.goroutines.Wait()
}

// start runs a function in a goroutine and returns true, or returns false if the
// claimer is closed.
func (c *Claimer) start(run func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.goroutines.Go(run)
	return true
}

// Claim claims a key within its scope for a new attempt. It must be called as
// soon as the call's header has been read. If the outcome is Granted, the call
// may run unless Release is called. With any other outcome the attempt must
// never run, the error gives the reason, and claims granted by replicas are
// released.
//
// If concurrent attempts split the votes so that none has a majority, Claim
// retries up to maximumSplitRetries times with new attempt IDs.
func (c *Claimer) Claim(ctx context.Context, scope, key string, attempt AttemptID) (Decision, error) {
	decision, err := c.claim(ctx, scope, key, attempt)
	c.service.counters.countOutcome(decision.Outcome)
	return decision, oops.In("claim").With("step", "claim").With("attempt", attempt.String()).Wrap(err)
}

func (c *Claimer) claim(ctx context.Context, scope, key string, attempt AttemptID) (Decision, error) {
	received := c.service.now()
	roster, ok := c.service.Roster()
	if !ok {
		return Decision{Outcome: Unavailable}, ErrNoRoster
	}
	if keyExpired(key, roster, received) {
		return Decision{Outcome: Held, Epoch: roster.Epoch}, ErrKeyExpired
	}
	hash := HashKey(scope, key)
	for round := 1; ; round++ {
		decision, split, err := c.collectVotes(ctx, NewCoordinator(roster, hash, attempt, received))
		if decision.Outcome == Unavailable && round > 1 {
			// In an earlier round another attempt held the key and may have run.
			decision.Outcome, err = Held, ErrKeyHeld
		}
		if !split || round > maximumSplitRetries || !pause.For(ctx, splitBackoff(round)) {
			return decision, err
		}
		attempt = NewAttemptID()
		roster, _ = c.service.Roster()
	}
}

// collectVotes executes one attempt. It reports a split if some replicas
// granted the attempt while others hold the key for another one.
func (c *Claimer) collectVotes(ctx context.Context, coordinator *Coordinator) (decision Decision, split bool, err error) {
	decision = Decision{Epoch: coordinator.Epoch(), key: coordinator.key, attempt: coordinator.attempt}
	select {
	case c.slots <- struct{}{}:
	default:
		decision.Outcome = Unavailable
		return decision, false, ErrTooManyClaims
	}
	collector := newVoteCollector(c, coordinator)
	decision.Outcome = collector.run(ctx)
	if !c.start(collector.drain) {
		<-c.slots
	}
	decision.Epoch = coordinator.Epoch()
	decision.RetryAfter = coordinator.MaxWait()
	decision.voters = coordinator.Voters()
	granted, _ := coordinator.countVotes()
	return decision, decision.Outcome == Held && granted > 0, collector.cause()
}

// splitBackoff returns a random delay that grows with each round, so that the
// competing attempts are sent at different times and one can get a majority.
func splitBackoff(round int) time.Duration {
	return time.Duration(round) * (minimumSplitBackoff + rand.N(splitBackoffJitter))
}

// Release releases the claim of an attempt that was granted and will never run,
// so that the key can be claimed again. It doesn't block. If a release message
// is lost, the key stays held until the retention has passed.
func (c *Claimer) Release(decision Decision) {
	for _, voter := range decision.voters {
		req := ReleaseRequest{To: voter.Identity, Key: decision.key, Attempt: decision.attempt}
		if !c.start(func() { c.sendRelease(voter, req) }) {
			c.service.counters.releasesFailed.Add(1)
		}
	}
}

func (c *Claimer) sendRelease(voter Member, req ReleaseRequest) {
	if voter.Identity == c.service.self {
		c.service.handleRelease(req)
		return
	}
	for range maximumReleaseTries {
		ctx, cancel := context.WithTimeout(c.baseContext, c.timeout)
		_, err := exchange[Response](ctx, c.client, voter.Address, PathRelease, req)
		cancel()
		if err == nil {
			return
		}
	}
	c.service.counters.releasesFailed.Add(1)
}

// sendRequest sends a request to a voter. If the voter doesn't have the epoch's
// roster yet, it sends the request again with the roster attached.
func (c *Claimer) sendRequest(voter Member, req Request, roster Roster) (Response, error) {
	if voter.Identity == c.service.self {
		return c.service.handleRequest(req), nil
	}
	ctx, cancel := context.WithTimeout(c.baseContext, c.timeout)
	defer cancel()
	response, err := exchange[Response](ctx, c.client, voter.Address, PathClaim, req)
	if err != nil || response.Answer != AnswerBehind {
		return response, err
	}
	req.Roster = &roster
	return exchange[Response](ctx, c.client, voter.Address, PathClaim, req)
}
