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
	calls   map[string]map[string]bool
	reports map[reportKey]report
	repeats map[string]repeatReport
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
	// Repeats is the part of the arrivals that are repetitions, in percent.
	Repeats int
}

// repeatReport is the part of repetitions that was told last.
type repeatReport struct {
	percent int
	at      time.Time
}

// New returns levels that refuse nothing.
func New(now func() time.Time) *Levels {
	return &Levels{
		table:   shed.NewTable(shed.TableConfig{Expiry: expiry}),
		now:     now,
		calls:   make(map[string]map[string]bool),
		reports: make(map[reportKey]report),
		repeats: make(map[string]repeatReport),
	}
}

// Learn notes that requests of the route make calls of the other route.
func (l *Levels) Learn(route, called string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	calls := l.calls[route]
	if calls == nil {
		if len(l.calls) >= maxRoutes {
			return
		}
		calls = make(map[string]bool)
		l.calls[route] = calls
	}
	if len(calls) < maxCalls {
		calls[called] = true
	}
}

// Report notes what a home told for calls of the route. The weight is the
// home's part of the room, in calls at once.
func (l *Levels) Report(route, home string, level Level, weight int) {
	now := l.now()
	threshold := level.Threshold
	key := reportKey{route: route, home: home}
	l.mutex.Lock()
	l.noteRepeats(route, level.Repeats, now)
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

// noteRepeats keeps the highest part of repetitions told lately.
func (l *Levels) noteRepeats(route string, percent int, now time.Time) {
	last, known := l.repeats[route]
	if known && percent < last.percent && now.Sub(last.at) < expiry {
		return
	}
	if !known && len(l.repeats) >= maxRoutes {
		return
	}
	l.repeats[route] = repeatReport{percent: percent, at: now}
}

// Repeats returns the part of the arrivals that are repetitions, in percent, at
// the services that requests of the route reach.
func (l *Levels) Repeats(route string) int {
	now := l.now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last := l.repeats[route]
	if now.Sub(last.at) >= expiry {
		return 0
	}
	return last.percent
}

// Threshold returns the rank key from which on requests of the route are to be
// refused; shed.None refuses nothing.
func (l *Levels) Threshold(route string) uint16 { return l.table.Threshold(route, l.now()) }

// Below returns the lowest threshold and the highest part of repetitions of the
// calls that the route's requests make.
func (l *Levels) Below(route string) Level {
	l.mutex.Lock()
	called := make([]string, 0, len(l.calls[route]))
	for name := range l.calls[route] {
		called = append(called, name)
	}
	l.mutex.Unlock()
	level := Level{Threshold: shed.None}
	for _, name := range called {
		level.Threshold = min(level.Threshold, l.Threshold(name))
		level.Repeats = max(level.Repeats, l.Repeats(name))
	}
	return level
}
