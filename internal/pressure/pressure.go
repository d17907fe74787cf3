// Package pressure implements backpressure along call chains. It records, by route,
// the load-shedding thresholds that homes, the nodes that serve targets, report on
// their replies. A route whose requests make downstream calls is subject to the
// thresholds of the called routes as well; which calls its requests make is learned
// by observation. Thresholds thus propagate upstream with the replies, and a request
// can be refused at the start of its chain, before any work is spent on it.
package pressure

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/shed"
)

const (
	// reportExpiry is the time for which a home's report is valid.
	reportExpiry = 1500 * time.Millisecond
	// minReportInterval is the time for which further unchanged reports are ignored.
	minReportInterval = 200 * time.Millisecond
	// maxRoutes limits the number of routes whose downstream calls are remembered.
	maxRoutes = 1024
	// maxCalledRoutes limits the number of downstream routes of one route.
	maxCalledRoutes = 32
)

// Table holds the thresholds and downstream calls of routes that a node has recorded.
// It is safe for concurrent use.
type Table struct {
	thresholds *shed.Table
	now        func() time.Time
	version    atomic.Uint64

	mutex sync.Mutex
	// calls maps each route to the routes that its requests call.
	calls            map[string]map[string]CallStats
	thresholdReports map[reportKey]thresholdReport
	callReports      map[string]callReport
}

// CallStats describes the calls of one route that a request of another route makes.
type CallStats struct {
	// Count is the maximum number of calls observed for one request.
	Count int
	// RetryBudgetLow reports whether this node's retry budget barely suffices to retry that
	// many calls.
	RetryBudgetLow bool
}

type reportKey struct{ route, home string }

type thresholdReport struct {
	threshold uint16
	at        time.Time
}

// Level is the load-shedding state of a route, or of the downstream calls of its requests.
type Level struct {
	// Threshold is the lowest rank key at which requests must be refused; shed.None
	// refuses nothing.
	Threshold uint16
	// CallsPerRequest is the total number of downstream calls, direct and indirect, that one
	// request causes.
	CallsPerRequest int
	// RetryBudgetLow reports whether the retry budgets would barely suffice for these calls
	// if the request were retried.
	RetryBudgetLow bool
}

// callReport is the homes' report on the downstream calls of a route.
type callReport struct {
	count int
	// retryBudgetLowAt is the time of the last report that the retry budget is low.
	retryBudgetLowAt time.Time
}

// New returns an instance without reports, which refuses nothing.
func New(now func() time.Time) *Table {
	return &Table{
		thresholds:       shed.NewTable(shed.TableConfig{Expiry: reportExpiry}),
		now:              now,
		calls:            make(map[string]map[string]CallStats),
		thresholdReports: make(map[reportKey]thresholdReport),
		callReports:      make(map[string]callReport),
	}
}

// RecordCalls records that a request of the route makes calls of the called route, and how
// many it has made so far.
func (l *Table) RecordCalls(route, called string, observed CallStats) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	calls := l.calls[route]
	if calls == nil {
		if len(l.calls) >= maxRoutes {
			return
		}
		calls = make(map[string]CallStats)
		l.calls[route] = calls
	}
	known, found := calls[called]
	if found || len(calls) < maxCalledRoutes {
		calls[called] = CallStats{Count: max(known.Count, observed.Count), RetryBudgetLow: observed.RetryBudgetLow}
	}
}

// ExpectedCalls returns the number of calls of the called route that a request of the
// route makes, zero if unknown.
func (l *Table) ExpectedCalls(route, called string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls[route][called].Count
}

// Report records a home's report for calls of the route. The weight is the home's
// capacity in concurrent calls.
func (l *Table) Report(route, home string, level Level, weight int) {
	now := l.now()
	threshold := level.Threshold
	key := reportKey{route: route, home: home}
	l.mutex.Lock()
	l.recordCallReport(route, level, now)
	last, known := l.thresholdReports[key]
	if known && last.threshold == threshold && now.Sub(last.at) < minReportInterval {
		l.mutex.Unlock()
		return
	}
	if len(l.thresholdReports) >= shed.DefaultMaxEntries {
		clear(l.thresholdReports)
	}
	l.thresholdReports[key] = thresholdReport{threshold: threshold, at: now}
	l.mutex.Unlock()
	l.thresholds.Update(shed.Entry{
		Service:   route,
		Target:    home,
		Threshold: threshold,
		Weight:    float64(weight),
		Version:   l.version.Add(1),
	}, now)
}

// Remove removes the thresholds that a home has reported for any route. It is called when
// the home accepts no more calls, because its last reports would still count as capacity.
func (l *Table) Remove(home string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key := range l.thresholdReports {
		if key.home == home {
			delete(l.thresholdReports, key)
			l.thresholds.Remove(key.route, home)
		}
	}
}

// recordCallReport records the downstream calls that a home reported for a route.
func (l *Table) recordCallReport(route string, level Level, now time.Time) {
	known, found := l.callReports[route]
	if !found && len(l.callReports) >= maxRoutes {
		return
	}
	if level.CallsPerRequest > 0 {
		known.count = level.CallsPerRequest
	}
	if level.RetryBudgetLow {
		known.retryBudgetLowAt = now
	}
	l.callReports[route] = known
}

// Calls returns the total number of downstream calls that a request of the route
// causes, zero if it makes none or none were reported.
func (l *Table) Calls(route string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.callReports[route].count
}

// RetryBudgetLow reports whether a home recently reported that the retry budgets barely
// suffice for the downstream calls of a retried request of the route.
func (l *Table) RetryBudgetLow(route string) bool {
	now := l.now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.retryBudgetLow(route, now)
}

func (l *Table) retryBudgetLow(route string, now time.Time) bool {
	at := l.callReports[route].retryBudgetLowAt
	return !at.IsZero() && now.Sub(at) < reportExpiry
}

// Threshold returns the lowest rank key at which requests of the route must be
// refused; shed.None refuses nothing.
func (l *Table) Threshold(route string) uint16 { return l.thresholds.Threshold(route, l.now()) }

// Downstream returns the level of the downstream calls of the route's requests: the lowest
// threshold, the total number of calls, and whether the retry budget of any is low.
func (l *Table) Downstream(route string) Level {
	now := l.now()
	level := Level{Threshold: shed.None}
	l.mutex.Lock()
	called := make([]string, 0, len(l.calls[route]))
	for name, calls := range l.calls[route] {
		called = append(called, name)
		level.CallsPerRequest += calls.Count * (1 + l.callReports[name].count)
		level.RetryBudgetLow = level.RetryBudgetLow || calls.RetryBudgetLow || l.retryBudgetLow(name, now)
	}
	l.mutex.Unlock()
	for _, name := range called {
		level.Threshold = min(level.Threshold, l.Threshold(name))
	}
	return level
}
