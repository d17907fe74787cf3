package claim

import "time"

// copying is the state of a joining replica that copies the claims of a
// majority of the voters of one epoch. A new epoch starts it again.
type copying struct {
	epoch    uint64
	majority int
	sources  []source
}

type source struct {
	member Member
	cursor uint64
	done   bool
}

func newCopying(roster Roster) *copying {
	c := &copying{epoch: roster.Epoch, majority: roster.Majority()}
	for _, voter := range roster.Voters() {
		c.sources = append(c.sources, source{member: voter})
	}
	return c
}

func (c *copying) complete() bool {
	done := 0
	for _, s := range c.sources {
		if s.done {
			done++
		}
	}
	return done >= c.majority
}

// OutgoingPageRequest is a PageRequest with the replica that it goes to.
type OutgoingPageRequest struct {
	Member  Member
	Request PageRequest
}

// PageRequests returns the requests that a joining replica must send next,
// none if it isn't joining or is ready.
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

// ReceivePage merges a page and reports whether the copy has advanced. Pages
// that repeat, come late or belong to another epoch are ignored, and so is one
// for which memory is lacking.
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

func (r *Replica) mergePage(s *source, page Page, now time.Time) bool {
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

// Ready returns the epoch from which the replica may be activated, and whether
// there is one. The activation must be written by compare-and-swap on the
// roster of just this epoch.
func (r *Replica) Ready() (uint64, bool) {
	if r.copying == nil || !r.copying.complete() {
		return 0, false
	}
	return r.copying.epoch, true
}
