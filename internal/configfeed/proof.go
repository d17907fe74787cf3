package configfeed

import (
	"context"
	"sync"
	"time"
)

// Verification tells how recent a copy of the store is known to be.
type Verification interface {
	// VerifiedAt returns the latest moment of which it is certain that the copy holds all
	// that the store held; zero if there is none.
	VerifiedAt() time.Time
	// Await waits until the condition holds, which is told that moment and must not call
	// the verification.
	Await(ctx context.Context, settled func(verified time.Time) bool) error
}

// Proof tells how recent the configuration in force is known to be. A store that came back
// from a copy and holds an older document than the one in force has lost what was confirmed
// since, and proves nothing until the operator has written the newest again: a key may have
// been taken away by a version that it lost too. It is safe for concurrent use.
type Proof struct {
	feed *Feed
	copy Verification

	mutex sync.Mutex
	// last is the latest moment at which the store held the document in force.
	last time.Time
}

// NewFreshness returns the proof of what the feed put in force out of a copy.
func NewFreshness(feed *Feed, copy Verification) *Proof { return &Proof{feed: feed, copy: copy} }

// VerifiedAt returns a moment at which the store held the configuration that is in force
// now, or an older one that was then the newest; zero if none is known.
func (p *Proof) VerifiedAt() time.Time { return p.judge(p.copy.VerifiedAt()) }

// Await waits until the condition holds, which is told that moment.
func (p *Proof) Await(ctx context.Context, settled func(verified time.Time) bool) error {
	return p.copy.Await(ctx, func(verified time.Time) bool { return settled(p.judge(verified)) })
}

func (p *Proof) judge(verified time.Time) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.feed.Stored() >= p.feed.Version() && verified.After(p.last) {
		p.last = verified
	}
	return p.last
}
