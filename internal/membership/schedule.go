package membership

import "time"

const (
	// exchangePause is the shortest time, in periods, between two exchanges.
	exchangePause = 2
	// apartPeriods is how long no peer's digest may equal ours before lists are exchanged.
	// Changes that are being passed on make digests differ for less.
	apartPeriods = 3
)

// exchangeSchedule says when and with whom the next exchange is due.
type exchangeSchedule struct {
	wanted string
	// earliest is the end of the pause after an exchange.
	earliest time.Duration
	// regular is when the next one is due that nothing has prompted.
	regular time.Duration
	// pause is the time from the next exchange to the one after it. It doubles with each
	// exchange that teaches nothing until lists agree, so that nodes which can't agree, as
	// where a path works in one direction only, spend no more on it than on regular ones.
	pause time.Duration
	// apart tells that each digest that was told since apartSince differed from ours.
	apart      bool
	apartSince time.Duration
}

// learned notes that an exchange taught something: the next one may teach more.
func (s *exchangeSchedule) learned(now, period time.Duration) {
	s.pause = exchangePause * period
	s.earliest = min(s.earliest, now+s.pause)
}

// agreed notes that a peer's list is the same as ours.
func (s *exchangeSchedule) agreed(period time.Duration) {
	s.apart = false
	s.pause = exchangePause * period
}

// differs notes that the list of the peer at the address is not the same as ours, and asks
// for an exchange if that lasts: a change has then been missed, by one side at least, and
// is not passed on any more.
func (s *exchangeSchedule) differs(address string, now, period time.Duration) {
	if !s.apart {
		s.apart, s.apartSince = true, now
	}
	if now-s.apartSince >= apartPeriods*period {
		s.want(address)
	}
}

// begin notes that an exchange is made now.
func (s *exchangeSchedule) begin(now, interval time.Duration) {
	s.wanted = ""
	s.earliest = now + s.pause
	s.regular = now + interval
	s.pause = min(2*s.pause, interval)
}

// want asks for an exchange with the peer at the address soon.
func (s *exchangeSchedule) want(address string) {
	if address != "" {
		s.wanted = address
	}
}

// ExchangeDue returns the address of a peer whose list should be fetched now,
// with our digest. Run calls it; who drives Step directly calls it too, and
// hands the list to Merge.
func (m *Membership) ExchangeDue() (address string, digest uint64, due bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now.Monotonic
	if now < m.exchange.earliest || m.self.State.Gone() {
		return "", 0, false
	}
	address = m.exchange.wanted
	if address == "" && now >= m.exchange.regular {
		address = m.randomPeer()
	}
	if address == "" {
		return "", 0, false
	}
	m.exchange.begin(now, m.config.ExchangeInterval)
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
