package claim

import "time"

// copyState is the progress of a joining replica in copying the claims of a
// majority of the voters of one epoch. Each new epoch starts a new copy.
type copyState struct {
	epoch    uint64
	majority int
	sources  []copySource
}

type copySource struct {
	member Member
	cursor uint64
	done   bool
}

func newCopyState(roster Roster) *copyState {
	c := &copyState{epoch: roster.Epoch, majority: roster.Majority()}
	for _, voter := range roster.Voters() {
		c.sources = append(c.sources, copySource{member: voter})
	}
	return c
}

func (c *copyState) complete() bool {
	done := 0
	for _, s := range c.sources {
		if s.done {
			done++
		}
	}
	return done >= c.majority
}

// OutgoingPageRequest is a PageRequest with its destination.
type OutgoingPageRequest struct {
	Member  Member
	Request PageRequest
}

// PageRequests returns the requests that a joining replica must send next. It
// returns none if the replica isn't joining or has finished copying.
func (r *Replica) PageRequests() []OutgoingPageRequest {
	if r.copying == nil || r.copying.complete() {
		return nil
	}
	var requests []OutgoingPageRequest
	for _, s := range r.copying.sources {
		if s.done {
			continue
		}
		request := PageRequest{To: s.member.Identity, Epoch: r.copying.epoch, Cursor: s.cursor, Roster: r.roster}
		requests = append(requests, OutgoingPageRequest{Member: s.member, Request: request})
	}
	return requests
}

// ReceivePage merges a page and reports whether the copy progressed. Pages that
// are duplicate, delayed or of another epoch are ignored. A page that exceeds
// the capacity makes no progress either.
func (r *Replica) ReceivePage(page Page, now time.Time) bool {
	if r.copying == nil || page.Refused || page.Epoch != r.copying.epoch {
		return false
	}
	for i := range r.copying.sources {
		s := &r.copying.sources[i]
		if s.member.Identity == page.From && !s.done && s.cursor == page.Cursor {
			return r.mergePage(s, page, now)
		}
	}
	return false
}

func (r *Replica) mergePage(s *copySource, page Page, now time.Time) bool {
	r.claims.expire(now, r.roster.Retention)
	for _, c := range page.Claims {
		if !r.claims.merge(c, now) {
			return false
		}
	}
	s.cursor = page.Next
	s.done = page.Last
	if r.copying.complete() {
		r.copied = true
	}
	return true
}

// Ready reports whether the replica has finished copying and can be activated,
// and in which epoch. The activation must be written by compare-and-swap on the
// roster of exactly this epoch.
func (r *Replica) Ready() (uint64, bool) {
	if r.copying == nil || !r.copying.complete() {
		return 0, false
	}
	return r.copying.epoch, true
}
