package replica

import (
	"context"
	"time"
)

// VerifiedAt returns the latest moment of which it is certain that the changes told
// by then were all that the store held; zero if there is none.
func (c *Copy) VerifiedAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.published
}

// Await waits until the condition holds. It is told the moment that VerifiedAt returns,
// whenever the copy changed or was verified, and must not call the copy.
func (c *Copy) Await(ctx context.Context, settled func(verified time.Time) bool) error {
	return c.await(ctx, func() bool { return settled(c.published) })
}

// publish lets readers rely on the latest verification, unless changes that it covers
// were not told yet.
func (c *Copy) publish() {
	if !c.telling {
		c.published = c.verified
	}
}

// verify notes that the copy holds what the store held at a moment.
func (c *Copy) verify(moment time.Time) {
	if moment.After(c.verified) {
		c.verified = moment
	}
}

// verifyByPeer takes the verification that a peer, whose copy holds the same, told after
// it was asked at the given moment. As the peer told its age later than that, the
// difference is at or before the moment of the read.
func (c *Copy) verifyByPeer(digest Digest, asked time.Time) {
	if digest.Verified >= 0 && !asked.IsZero() {
		c.verify(asked.Add(-digest.Verified))
	}
}
