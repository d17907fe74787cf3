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
	// DefaultClaimTimeout is the default time for one replica to answer.
	DefaultClaimTimeout = time.Second
	// DefaultMaximumClaims is the default number of claims under way at once.
	DefaultMaximumClaims = 1024

	// maximumRestarts bounds how often one claim follows a newer roster.
	maximumRestarts = 2
	releaseTries    = 2

	// maximumSplits bounds how often a claim is tried again after a split.
	maximumSplits    = 4
	minimumSplitWait = 2 * time.Millisecond
	splitWaitSpread  = 10 * time.Millisecond
)

// Causes why a claim was not granted.
var (
	ErrNoRoster      = errors.New("no roster known")
	ErrTooManyClaims = errors.New("too many claims under way")
	ErrClosed        = errors.New("claimer closed")
	ErrNoMajority    = errors.New("no majority of replicas granted the claim")
	ErrKeyExpired    = errors.New("idempotency key is older than its lifetime")
	ErrKeyHeld       = errors.New("another attempt has the idempotency key")
)

// ClaimerConfig configures a Claimer.
type ClaimerConfig struct {
	Service *Service
	// Client sends requests to peers; it should keep connections alive.
	Client *http.Client
	// Timeout is for one replica to answer; zero is DefaultClaimTimeout. Above
	// half of ClaimWindow it is lowered to that.
	Timeout time.Duration
	// MaximumClaims bounds the claims under way, including answers that come
	// after the decision; zero is DefaultMaximumClaims.
	MaximumClaims int
}

// Decision is the end of a claim.
type Decision struct {
	// Outcome is Granted, Held or Unavailable.
	Outcome Outcome
	// Epoch is the roster's in which the claim ended; zero without a roster.
	Epoch uint64
	// RetryAfter is how long replicas of a new generation still wait, where
	// that is why the claim is Unavailable; otherwise zero.
	RetryAfter time.Duration

	key     KeyHash
	attempt AttemptID
	voters  []Member
}

// Claimer claims keys for the calls that enter this node. It is safe for
// concurrent use.
type Claimer struct {
	service *Service
	client  *http.Client
	timeout time.Duration
	slots   chan struct{}

	base   context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex // guards closed against running.Add
	closed bool
	// running counts the goroutines.
	running sync.WaitGroup
}

// NewClaimer returns a claimer. Close must be called in the end.
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
	c.base, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends all goroutines. Claims under way end as not granted.
func (c *Claimer) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.running.Wait()
}

// start runs a function in a goroutine unless the claimer is closed.
func (c *Claimer) start(run func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.running.Go(run)
	return true
}

// Claim claims a key within its scope for an attempt, which must be new. It
// must be called as soon as the call's header was read. With Granted the call
// may run, unless Release is called. With any other outcome the attempt must
// never run, and the error tells why; claims at replicas are released.
//
// When attempts split the votes, so that none has a majority, Claim tries again
// a few times under further attempt ids.
func (c *Claimer) Claim(ctx context.Context, scope, key string, attempt AttemptID) (Decision, error) {
	decision, err := c.claim(ctx, scope, key, attempt)
	c.service.counters.outcome(decision.Outcome)
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
		decision, split, err := c.gather(ctx, NewCoordinator(roster, hash, attempt, received))
		if decision.Outcome == Unavailable && round > 1 {
			// An earlier round saw another attempt, which may have run.
			decision.Outcome, err = Held, ErrKeyHeld
		}
		if !split || round > maximumSplits || !pause.For(ctx, splitWait(round)) {
			return decision, err
		}
		attempt = NewAttemptID()
		roster, _ = c.service.Roster()
	}
}

// gather carries out one attempt. It reports a split when some replicas
// granted the attempt and others hold the key for another one.
func (c *Claimer) gather(ctx context.Context, coordinator *Coordinator) (decision Decision, split bool, err error) {
	decision = Decision{Epoch: coordinator.Epoch(), key: coordinator.key, attempt: coordinator.attempt}
	select {
	case c.slots <- struct{}{}:
	default:
		decision.Outcome = Unavailable
		return decision, false, ErrTooManyClaims
	}
	g := newGathering(c, coordinator)
	decision.Outcome = g.run(ctx)
	if !c.start(g.finish) {
		<-c.slots
	}
	decision.Epoch = coordinator.Epoch()
	decision.RetryAfter = coordinator.Wait()
	decision.voters = coordinator.Voters()
	granted, _ := coordinator.count()
	return decision, decision.Outcome == Held && granted > 0, g.cause()
}

// splitWait is a random time, longer with each round, so that one of the
// attempts that split the votes comes before the others.
func splitWait(round int) time.Duration {
	return time.Duration(round) * (minimumSplitWait + rand.N(splitWaitSpread))
}

// Release gives up an attempt that was granted its claim and will never run,
// so that the key can be claimed again. It returns at once; a release that
// gets lost leaves the key held until the retention has passed.
func (c *Claimer) Release(decision Decision) {
	for _, voter := range decision.voters {
		q := ReleaseRequest{To: voter.Identity, Key: decision.key, Attempt: decision.attempt}
		if !c.start(func() { c.sendRelease(voter, q) }) {
			c.service.counters.releasesFailed.Add(1)
		}
	}
}

func (c *Claimer) sendRelease(voter Member, q ReleaseRequest) {
	if voter.Identity == c.service.self {
		c.service.release(q)
		return
	}
	for range releaseTries {
		ctx, cancel := context.WithTimeout(c.base, c.timeout)
		_, err := exchange[Response](ctx, c.client, voter.Address, PathRelease, q)
		cancel()
		if err == nil {
			return
		}
	}
	c.service.counters.releasesFailed.Add(1)
}

// ask sends a request to a voter, and once more with the roster if the voter
// doesn't know it yet.
func (c *Claimer) ask(voter Member, q Request, roster Roster) (Response, error) {
	if voter.Identity == c.service.self {
		return c.service.handle(q), nil
	}
	ctx, cancel := context.WithTimeout(c.base, c.timeout)
	defer cancel()
	response, err := exchange[Response](ctx, c.client, voter.Address, PathClaim, q)
	if err != nil || response.Answer != AnswerBehind {
		return response, err
	}
	q.Roster = &roster
	return exchange[Response](ctx, c.client, voter.Address, PathClaim, q)
}
