package configfeed

import (
	"context"
	"sync"
	"time"
)

// Verification reports how recent a copy of the store is known to be.
type Verification interface {
	// VerifiedAt returns the latest time at which the copy is certain to have held everything
	// in the store; zero if there is none.
	VerifiedAt() time.Time
	// Await waits until the condition holds. The condition is called with the result of
	// VerifiedAt and must not call the verification.
	Await(ctx context.Context, condition func(verified time.Time) bool) error
}

// Freshness reports how recent the applied configuration is known to be. A store that was
// restored from a backup and holds an older document than the applied one has lost acknowledged
// changes. Reads of that store do not count as verifications until the operator has written the
// newest version again, because another lost version may have revoked an API key. It is safe for
// concurrent use.
type Freshness struct {
	feed         *Feed
	verification Verification

	mutex sync.Mutex
	// verified is the latest time at which the store held the applied document.
	verified time.Time
}

// NewFreshness returns the freshness of what the feed applies from a copy of the store.
func NewFreshness(feed *Feed, verification Verification) *Freshness {
	return &Freshness{feed: feed, verification: verification}
}

// VerifiedAt returns a time at which the newest configuration in the store was the one that is
// applied now, or an older one; zero if none is known.
func (f *Freshness) VerifiedAt() time.Time { return f.update(f.verification.VerifiedAt()) }

// Await waits until the condition holds. The condition is called with the result of VerifiedAt.
func (f *Freshness) Await(ctx context.Context, condition func(verified time.Time) bool) error {
	return f.verification.Await(ctx, func(verified time.Time) bool { return condition(f.update(verified)) })
}

func (f *Freshness) update(verified time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.feed.storedIsOlder() && verified.After(f.verified) {
		f.verified = verified
	}
	return f.verified
}
