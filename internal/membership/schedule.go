package membership

import "time"

const (
	// minExchangePeriods is the shortest time, in periods, between two exchanges.
	minExchangePeriods = 2
	// mismatchPeriods is the time, in periods, without a matching digest from any peer after
	// which lists are exchanged. Digests that differ only because an update is still spreading
	// match again within a shorter time.
	mismatchPeriods = 3
)

// exchangeSchedule determines when the next exchange is due and with which peer.
type exchangeSchedule struct {
	// requestedPeer is the address of the peer for the next exchange; empty if no exchange was
	// requested.
	requestedPeer string
	// earliest is the time before which no exchange starts.
	earliest time.Duration
	// nextPeriodic is when an exchange with a random peer is due if none has been requested.
	nextPeriodic time.Duration
	// backoff is the minimum time between the next exchange and the one after it. It doubles
	// with each exchange, up to the periodic interval, and is reset when an exchange changes the
	// list or a digest matches. Nodes whose lists cannot converge, for example because a path
	// works in one direction only, thus do not exchange lists more often than at that interval.
	backoff time.Duration
	// mismatched is whether every digest received since mismatchedSince differed from the
	// node's own.
	mismatched      bool
	mismatchedSince time.Duration
}

// recordChange records that an exchange changed the list. It resets the backoff, as the next
// exchange may change the list again.
func (s *exchangeSchedule) recordChange(now, period time.Duration) {
	s.backoff = minExchangePeriods * period
	s.earliest = min(s.earliest, now+s.backoff)
}

// recordMatch records that the digest of a peer's list equals the node's own.
func (s *exchangeSchedule) recordMatch(period time.Duration) {
	s.mismatched = false
	s.backoff = minExchangePeriods * period
}

// recordMismatch records that the digest of the list of the peer at the address differs from the
// node's own. If no digest has matched for mismatchPeriods, it requests an exchange: at least one
// of the two nodes has then missed an update that is no longer being sent.
func (s *exchangeSchedule) recordMismatch(address string, now, period time.Duration) {
	if !s.mismatched {
		s.mismatched, s.mismatchedSince = true, now
	}
	if now-s.mismatchedSince >= mismatchPeriods*period {
		s.request(address)
	}
}

// start records the start of an exchange.
func (s *exchangeSchedule) start(now, interval time.Duration) {
	s.requestedPeer = ""
	s.earliest = now + s.backoff
	s.nextPeriodic = now + interval
	s.backoff = min(2*s.backoff, interval)
}

// request requests an exchange with the peer at the address.
func (s *exchangeSchedule) request(address string) {
	if address != "" {
		s.requestedPeer = address
	}
}

// ExchangeDue returns the address of a peer whose list should be fetched now and the digest of
// the node's own list. Run calls it. A caller that drives Step directly must call it as well
// and pass the fetched list to Merge.
func (m *Membership) ExchangeDue() (address string, digest uint64, due bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now.Monotonic
	if now < m.exchange.earliest || m.self.State.DeadOrLeft() {
		return "", 0, false
	}
	address = m.exchange.requestedPeer
	if address == "" && now >= m.exchange.nextPeriodic {
		address = m.randomPeer()
	}
	if address == "" {
		return "", 0, false
	}
	m.exchange.start(now, m.config.ExchangeInterval)
	m.stats.Exchanges++
	return address, m.currentDigest(), true
}

func (m *Membership) randomPeer() string {
	present := m.table.present
	if present.size() == 0 {
		return ""
	}
	return present.entries[m.random.IntN(present.size())].PeerAddress
}
