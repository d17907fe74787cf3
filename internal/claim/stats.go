package claim

import "sync/atomic"

// Stats are the counters of a node since its start and the state of its
// replica.
type Stats struct {
	// Granted, Held and Unavailable count the outcomes of claims that this node
	// coordinated.
	Granted     uint64
	Held        uint64
	Unavailable uint64
	// ReleasesFailed counts releases that failed. The replica then holds the
	// key until the retention has passed.
	ReleasesFailed uint64

	// Answers counts this node's answers as a replica.
	Answers [answerCount]uint64
	// Records is the number of claims in this node's replica, and Capacity its
	// maximum.
	Records  int
	Capacity int

	// Epoch, Lost and Voters describe the current roster; they are zero without
	// one.
	Epoch  uint64
	Lost   int
	Voters int
	// Changes counts the roster changes that this node wrote, and StoreErrors
	// the reconciliations that failed.
	Changes     uint64
	StoreErrors uint64
}

type counters struct {
	granted        atomic.Uint64
	held           atomic.Uint64
	unavailable    atomic.Uint64
	releasesFailed atomic.Uint64
	answers        [answerCount]atomic.Uint64
	changes        atomic.Uint64
	storeErrors    atomic.Uint64
}

func (c *counters) countOutcome(o Outcome) {
	switch o {
	case Granted:
		c.granted.Add(1)
	case Held:
		c.held.Add(1)
	case Unavailable:
		c.unavailable.Add(1)
	}
}

// Stats returns the current counters and the state of the replica.
func (s *Service) Stats() Stats {
	c := &s.counters
	stats := Stats{
		Granted:        c.granted.Load(),
		Held:           c.held.Load(),
		Unavailable:    c.unavailable.Load(),
		ReleasesFailed: c.releasesFailed.Load(),
		Changes:        c.changes.Load(),
		StoreErrors:    c.storeErrors.Load(),
		Capacity:       s.capacity,
	}
	for i := range c.answers {
		stats.Answers[i] = c.answers[i].Load()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats.Records = s.replica.Len()
	if roster, ok := s.replica.Roster(); ok {
		stats.Epoch = roster.Epoch
		stats.Lost = roster.LostSeats()
		stats.Voters = len(roster.Voters())
	}
	return stats
}

// String returns the answer's name as used in metric labels.
func (a Answer) String() string {
	names := [answerCount]string{
		"none", "granted", "held", "stale", "behind", "not-voter", "waiting", "full", "released",
	}
	if a >= answerCount {
		return "no-answer"
	}
	return names[a]
}
