// Package pressure tells where a request's whole chain of calls lacks room. The
// shed thresholds that homes report on their replies are kept by route; a route
// whose requests make further calls is held to the thresholds of those as well.
// Which calls a route's requests make is learned from the calls themselves.
// Thresholds thus travel up a chain with the answers, and a request can be
// refused where it begins, before any work is spent on it.
package pressure

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/shed"
)

const (
	// expiry is how long a home's threshold holds without another report.
	expiry = 1500 * time.Millisecond
	// repeatAfter is how long an unchanged report need not be taken again.
	repeatAfter = 200 * time.Millisecond
	// maxRoutes bounds the routes whose calls are remembered.
	maxRoutes = 1024
	// maxCalls bounds the routes remembered below one route.
	maxCalls = 32
)

// Levels are the thresholds that a node knows. It is safe for concurrent use.
type Levels struct {
	table   *shed.Table
	now     func() time.Time
	version atomic.Uint64

	mutex   sync.Mutex
	calls   map[string]map[string]CallStats
	reports map[reportKey]report
	told    map[string]toldOfRoute
}

// CallStats is what is known of the calls of one route that a request of another
// route makes.
type CallStats struct {
	// Count is the most calls that one request was seen to make.
	Count int
	// Scarce tells that so many repetitions could hardly be paid for by this node.
	Scarce bool
}

type reportKey struct{ route, home string }

type report struct {
	threshold uint16
	at        time.Time
}

// Level is what is known of a route, or of the calls that its requests make.
type Level struct {
	// Threshold is the rank key from which on requests are to be refused;
	// shed.None refuses nothing.
	Threshold uint16
	// Calls is the number of calls that one request leads to, those further down
	// included.
	Calls int
	// RetryBudgetLow tells that these calls could hardly be paid for out of the retry budgets
	// if the request were repeated.
	RetryBudgetLow bool
}

// toldOfRoute is what homes told of a route.
type toldOfRoute struct {
	calls int
	// scarceAt is when one told last that repetitions are scarce.
	scarceAt time.Time
}

// New returns levels that refuse nothing.
func New(now func() time.Time) *Levels {
	return &Levels{
		table:   shed.NewTable(shed.TableConfig{Expiry: expiry}),
		now:     now,
		calls:   make(map[string]map[string]CallStats),
		reports: make(map[reportKey]report),
		told:    make(map[string]toldOfRoute),
	}
}

// RecordCalls notes that a request of the route makes calls of the other route, and how
// many that one has made so far.
func (l *Levels) RecordCalls(route, called string, seen CallStats) {
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
	if found || len(calls) < maxCalls {
		calls[called] = CallStats{Count: max(known.Count, seen.Count), Scarce: seen.Scarce}
	}
}

// ExpectedCalls returns how many calls of the other route a request of the route makes,
// zero if that is not known.
func (l *Levels) ExpectedCalls(route, called string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls[route][called].Count
}

// Report notes what a home told for calls of the route. The weight is the
// home's part of the room, in calls at once.
func (l *Levels) Report(route, home string, level Level, weight int) {
	now := l.now()
	threshold := level.Threshold
	key := reportKey{route: route, home: home}
	l.mutex.Lock()
	l.note(route, level, now)
	last, known := l.reports[key]
	if known && last.threshold == threshold && now.Sub(last.at) < repeatAfter {
		l.mutex.Unlock()
		return
	}
	if len(l.reports) >= shed.DefaultMaxEntries {
		clear(l.reports)
	}
	l.reports[key] = report{threshold: threshold, at: now}
	l.mutex.Unlock()
	l.table.Update(shed.Entry{
		Service:   route,
		Target:    home,
		Threshold: threshold,
		Weight:    float64(weight),
		Version:   l.version.Add(1),
	}, now)
}

// Remove forgets the thresholds that a home told for any route, because it takes
// no more calls. Its last ones would count as room.
func (l *Levels) Remove(home string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key := range l.reports {
		if key.home == home {
			delete(l.reports, key)
			l.table.Remove(key.route, home)
		}
	}
}

// note keeps what was told of a route's calls.
func (l *Levels) note(route string, level Level, now time.Time) {
	known, found := l.told[route]
	if !found && len(l.told) >= maxRoutes {
		return
	}
	if level.Calls > 0 {
		known.calls = level.Calls
	}
	if level.RetryBudgetLow {
		known.scarceAt = now
	}
	l.told[route] = known
}

// Calls returns how many calls a request of the route leads to, zero if it makes
// none or if nobody told.
func (l *Levels) Calls(route string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.told[route].calls
}

// RetryBudgetLow reports whether the calls of a repeated request of the route could
// hardly be paid for, as a home told lately.
func (l *Levels) RetryBudgetLow(route string) bool {
	now := l.now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.scarce(route, now)
}

func (l *Levels) scarce(route string, now time.Time) bool {
	at := l.told[route].scarceAt
	return !at.IsZero() && now.Sub(at) < expiry
}

// Threshold returns the rank key from which on requests of the route are to be
// refused; shed.None refuses nothing.
func (l *Levels) Threshold(route string) uint16 { return l.table.Threshold(route, l.now()) }

// Downstream returns what holds for the calls that the route's requests make: the
// lowest threshold, their number, and whether repetitions of any are scarce.
func (l *Levels) Downstream(route string) Level {
	now := l.now()
	level := Level{Threshold: shed.None}
	l.mutex.Lock()
	called := make([]string, 0, len(l.calls[route]))
	for name, calls := range l.calls[route] {
		called = append(called, name)
		level.Calls += calls.Count * (1 + l.told[name].calls)
		level.RetryBudgetLow = level.RetryBudgetLow || calls.Scarce || l.scarce(name, now)
	}
	l.mutex.Unlock()
	for _, name := range called {
		level.Threshold = min(level.Threshold, l.Threshold(name))
	}
	return level
}
