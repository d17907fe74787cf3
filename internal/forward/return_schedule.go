package forward

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// returnSchedule spreads the times at which callers are told to send requests again that were
// refused because of targets' rate limits: if all returned as soon as there is room for one,
// most would be refused again. It is safe for concurrent use.
type returnSchedule struct {
	mutex sync.Mutex
	// last is the latest return time given out, by service and level.
	last map[string]*[criticality.LevelCount]time.Time
}

// reserve returns the delay for a request of the level that may be served at the earliest after
// the given time. The interval is the expected time between two requests that are served. Less
// important requests return after more important ones.
func (s *returnSchedule) reserve(service string, level criticality.Level, earliest, interval time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.last == nil {
		s.last = make(map[string]*[criticality.LevelCount]time.Time)
	}
	last := s.last[service]
	if last == nil {
		last = &[criticality.LevelCount]time.Time{}
		s.last[service] = last
	}
	at := now.Add(max(earliest, targetrate.MinWait))
	if next := last[level].Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(targetrate.MaxWait); at.After(latest) {
		at = latest
	}
	for ; level < criticality.LevelCount; level++ {
		if at.After(last[level]) {
			last[level] = at
		}
	}
	return at.Sub(now)
}

// returnDelay returns the retry delay of a request that was refused because of rate limits.
func (f *Forwarder) returnDelay(q *request) time.Duration {
	return f.returns.reserve(q.service, q.rank.Level, q.retryAfter, f.servedInterval(q.service), f.now())
}

// servedInterval returns the expected time between two requests of this node to the service
// that are served under the rate limits of its targets, if all nodes have an equal share.
func (f *Forwarder) servedInterval(service string) time.Duration {
	rate := 0.0
	for _, home := range f.directory.Homes(service) {
		if announced, _ := f.announced.get(home.Instance); announced.Rate.Limited {
			rate += max(announced.Rate.Rate, targetrate.MinRate)
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(f.nodeCount()) / rate * float64(time.Second))
}

// nodeCount returns the number of nodes that share the rate limits of targets.
func (f *Forwarder) nodeCount() int { return max(len(f.directory.Addresses()), 1) }
