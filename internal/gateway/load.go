package gateway

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/policy"
)

const (
	// loadReportMaxAge is the age above which a home's load report is discarded.
	loadReportMaxAge = 2 * time.Second
	// loadRefreshInterval is the minimum interval between two aggregations of a
	// service's load.
	loadRefreshInterval = 50 * time.Millisecond
)

// serviceLoad aggregates the last load reports of the homes of a service's targets. The
// aggregate is input for the service's policy. It is safe for concurrent use.
type serviceLoad struct {
	mutex        sync.Mutex
	targets      map[string]targetLoad
	aggregated   policy.Load
	aggregatedAt time.Time
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

// aggregate returns the service's load without its shed level: the sum of the calls in
// flight, the sum of the limits, and the longest queueing delay. The result is up to
// loadRefreshInterval old.
func (s *serviceLoad) aggregate(now time.Time) policy.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.aggregatedAt) < loadRefreshInterval {
		return s.aggregated
	}
	s.aggregatedAt = now
	s.aggregated = policy.Load{}
	for name, target := range s.targets {
		if now.Sub(target.reportedAt) > loadReportMaxAge {
			delete(s.targets, name)
			continue
		}
		s.aggregated.InFlight += target.InFlight
		s.aggregated.Limit += target.Limit
		s.aggregated.QueueMs = max(s.aggregated.QueueMs, float64(target.QueueDelay)/float64(time.Millisecond))
	}
	return s.aggregated
}
