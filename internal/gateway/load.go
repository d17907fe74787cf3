package gateway

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/policy"
)

const (
	// loadReportMaxAge is the age after which a home's load report is dropped.
	loadReportMaxAge = 2 * time.Second
	// loadRefreshInterval is the minimum interval between two aggregations of a
	// service's load.
	loadRefreshInterval = 50 * time.Millisecond
)

// serviceLoad holds the last load reports of the homes of one service's targets,
// for the service's policy. It is safe for concurrent use.
type serviceLoad struct {
	mutex    sync.Mutex
	targets  map[string]targetLoad
	sum      policy.Load
	summedAt time.Time
}

type targetLoad struct {
	home.Load
	reportedAt time.Time
}

func newServiceLoad() *serviceLoad { return &serviceLoad{targets: map[string]targetLoad{}} }

// record stores a load report from the home of a target.
func (s *serviceLoad) record(target string, load home.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targets[target] = targetLoad{Load: load, reportedAt: now}
}

// aggregate returns the service's load without its shed level: the sums of the calls
// in flight and of the limits, and the longest queueing delay.
func (s *serviceLoad) aggregate(now time.Time) policy.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.summedAt) < loadRefreshInterval {
		return s.sum
	}
	s.summedAt = now
	s.sum = policy.Load{}
	for name, target := range s.targets {
		if now.Sub(target.reportedAt) > loadReportMaxAge {
			delete(s.targets, name)
			continue
		}
		s.sum.InFlight += target.InFlight
		s.sum.Limit += target.Limit
		s.sum.QueueMs = max(s.sum.QueueMs, float64(target.QueueDelay)/float64(time.Millisecond))
	}
	return s.sum
}
