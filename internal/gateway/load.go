package gateway

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/policy"
)

const (
	// loadLifetime is how long what a home told of its target counts.
	loadLifetime = 2 * time.Second
	// loadRefresh is how often the load of a service is added up anew.
	loadRefresh = 50 * time.Millisecond
)

// serviceLoad is what the homes of one service's targets last told, for the
// service's policy. It is safe for concurrent use.
type serviceLoad struct {
	mutex   sync.Mutex
	targets map[string]targetLoad
	sum     policy.Load
	summed  time.Time
}

type targetLoad struct {
	home.Load
	at time.Time
}

func newServiceLoad() *serviceLoad { return &serviceLoad{targets: map[string]targetLoad{}} }

// report takes in what the home of a target told.
func (s *serviceLoad) report(target string, load home.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targets[target] = targetLoad{Load: load, at: now}
}

// load returns the service's load without its shed level: calls in flight and
// limits added up, and the longest queueing delay.
func (s *serviceLoad) load(now time.Time) policy.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.summed) < loadRefresh {
		return s.sum
	}
	s.summed = now
	s.sum = policy.Load{}
	for name, target := range s.targets {
		if now.Sub(target.at) > loadLifetime {
			delete(s.targets, name)
			continue
		}
		s.sum.InFlight += target.InFlight
		s.sum.Limit += target.Limit
		s.sum.QueueMs = max(s.sum.QueueMs, float64(target.QueueDelay)/float64(time.Millisecond))
	}
	return s.sum
}
