package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

const (
	// verifyPositionDelay is by how much later each position verifies the copy than the one
	// before it. A verification reaches the next node with the messages of requests, which
	// takes some hundred milliseconds: with 100 ms, four nodes of a small fleet verified each
	// second.
	verifyPositionDelay    = 250 * time.Millisecond
	maxVerifyPositionDelay = 2 * time.Second
	// verifyJitter keeps nodes with the same delay from reading at the same time.
	verifyJitter = 100 * time.Millisecond
	// verifyTimeout bounds one read: the store answers within milliseconds, and another node
	// may have verified the copy meanwhile.
	verifyTimeout = 400 * time.Millisecond
	// overdueAfter is how far the age of a verification exceeds MaxAge before peers are queried
	// more often for a newer one. Nodes that no peer calls depend on it: of 300 nodes, one relied
	// on a verification of 2.5 s and more in 4 of 128 simulations of 10 s.
	overdueAfter = 500 * time.Millisecond
)

// Verifier bounds the age of a copy's verification: it reads the prefix from the store whenever
// no node has done so for MaxAge and a delay that depends on the node's position. A watch does not
// count as a verification, because a blocked watch misses changes in history that the store
// compacts.
type Verifier struct {
	Syncer *Syncer
	// MaxAge is the age from which the copy is verified again.
	MaxAge time.Duration
	// Needed reports whether anything depends on the verification now.
	Needed func() bool
}

// Run verifies the copy until the context ends.
func (v *Verifier) Run(ctx context.Context) {
	delay := v.positionDelay()
	for ctx.Err() == nil {
		if wait := v.wait(delay); wait > 0 {
			pause.For(ctx, max(wait, minSleep))
			continue
		}
		v.verify(ctx)
		delay = v.positionDelay()
	}
}

// wait returns the time until the next read is due.
func (v *Verifier) wait(delay time.Duration) time.Duration {
	if !v.Needed() {
		return v.MaxAge
	}
	verified := v.Syncer.Copy.VerifiedAt()
	return v.MaxAge + delay - v.Syncer.Now().Sub(verified)
}

// Overdue reports whether the verification has recently become so old that most peers are
// likely to have a newer one.
func (v *Verifier) Overdue() bool {
	if !v.Needed() {
		return false
	}
	age := v.Syncer.Now().Sub(v.Syncer.Copy.VerifiedAt()) - v.MaxAge - overdueAfter
	return age > 0 && age < staleDuration
}

// positionDelay returns by how much later than the first node this one verifies.
func (v *Verifier) positionDelay() time.Duration {
	delay := maxVerifyPositionDelay
	if position, known := v.Syncer.Position(); known {
		delay = min(time.Duration(position)*verifyPositionDelay, maxVerifyPositionDelay)
	}
	return delay + rand.N(verifyJitter)
}

func (v *Verifier) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	if err := v.Syncer.list(ctx); err != nil {
		pause.For(ctx, failurePause/2+rand.N(failurePause))
	}
}
