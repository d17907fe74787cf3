package replica

import (
	"context"
	"time"
)

// VerifiedAt returns the latest time at which the store is certain to have held nothing beyond
// the changes passed to onChange by then; zero if there is none.
func (c *Copy) VerifiedAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.published
}

// Await waits until the condition holds. The condition is called with the result of VerifiedAt
// whenever the copy was changed or verified, and must not call the copy.
func (c *Copy) Await(ctx context.Context, condition func(verified time.Time) bool) error {
	return c.await(ctx, func() bool { return condition(c.published) })
}

// publish makes the latest verification visible to readers, unless onChange has not yet been
// called with changes that it covers.
func (c *Copy) publish() {
	if !c.notifying {
		c.published = c.verified
	}
}

// markVerified records that the copy holds what the store held at the given time.
func (c *Copy) markVerified(at time.Time) {
	if at.After(c.verified) {
		c.verified = at
	}
}

// markVerifiedByPeer applies the verification of a peer whose copy has the same revision, and
// that was queried at sentAt. As the peer computed the age after that, sentAt minus the age is
// not after the start of the read.
func (c *Copy) markVerifiedByPeer(digest Digest, sentAt time.Time) {
	if digest.Verified >= 0 && !sentAt.IsZero() {
		c.markVerified(sentAt.Add(-digest.Verified))
	}
}
