package shortage

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/shed"
)

const (
	// relayAge is the age from which reports are no longer added to replies. Newer ones of the same
	// home follow every 100 ms.
	relayAge = 500 * time.Millisecond
	// minNewer is how much newer a report must be than the known one of the same home. Transit times
	// aren't counted, so a copy that was relayed more often appears newer; without the margin, copies
	// that circulate between nodes would stay young. It is half of the interval at which homes create
	// reports.
	minNewer = 50 * time.Millisecond
	// coveredShare is the share of the weight of a service's homes whose reports show its whole state. It
	// is that which must refuse a rank.
	coveredShare = shed.DefaultRefuseShare
	// maxHomes is the maximum number of homes with a report.
	maxHomes = 1024
)

// Table holds the newest report of each home, and the threshold of each service that results from
// them. It is safe for concurrent use; a nil *Table holds no reports.
type Table struct {
	service, home string
	now           func() time.Time
	// active is set while there may be a report.
	active     atomic.Bool
	thresholds *shed.Table

	mutex   sync.Mutex
	reports map[string]storedReport
	// weights is the total weight of the homes of each service, and covered the services of which
	// homes with coveredShare of it have reported within MaxAge.
	weights map[string]int
	covered map[string]bool
	// shortUntil is the time until which the local home reports its threshold.
	shortUntil time.Time
	version    uint64
	counts     Counts
}

// storedReport is a report with the time of its creation; Age is not set.
type storedReport struct {
	Report
	createdAt time.Time
}

// Counts are the numbers of reports by kind.
type Counts struct {
	// Own are the reports that the local home created, Relayed the reports of other homes that were
	// added to replies, and Ignored the received ones that are invalid, expired, heavier than their
	// service, of a service without
	// homes, or beyond the maximum number of homes.
	Own, Relayed, Ignored uint64
}

// New returns a table without reports for the node with the given address, the home of a target of
// the service.
func New(service, home string, now func() time.Time) *Table {
	return &Table{
		service:    service,
		home:       home,
		now:        now,
		thresholds: shed.NewTable(shed.TableConfig{Expiry: MaxAge}),
		reports:    make(map[string]storedReport),
		weights:    make(map[string]int),
		covered:    make(map[string]bool),
	}
}

// SetHomes sets the total weight of a service's homes according to the directory; zero if it has
// none. Reports on services without homes are ignored and removed.
func (t *Table) SetHomes(service string, totalWeight int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.weights, service)
	if totalWeight > 0 {
		t.weights[service] = totalWeight
	} else {
		t.removeReports(service)
	}
	t.thresholds.SetWeight(service, float64(totalWeight))
	t.updateCovered()
}

func (t *Table) removeReports(service string) {
	for home, r := range t.reports {
		if r.Service == service {
			delete(t.reports, home)
			t.thresholds.Remove(service, home)
		}
	}
}

// SetLocal creates a report of the local home. It is called at every update of the home's threshold,
// and creates none unless the home refuses ranks or did so within MaxAge.
func (t *Table) SetLocal(threshold uint16, weight int) {
	if t == nil {
		return
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeExpired(now)
	if threshold < shed.None {
		t.shortUntil = now.Add(MaxAge)
	}
	defer t.updateCovered()
	if weight <= 0 || !now.Before(t.shortUntil) {
		return
	}
	t.counts.Own++
	t.store(storedReport{Report{Service: t.service, Home: t.home, Threshold: threshold, Weight: weight}, now}, now)
}

// Merge stores the reports received with a reply that are newer than the known ones.
func (t *Table) Merge(reports []Report) {
	if t == nil || len(reports) == 0 {
		return
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stored := false
	for _, r := range reports {
		stored = t.merge(r, now) || stored
	}
	if stored {
		t.updateCovered()
	}
}

// merge reports whether the report was stored.
func (t *Table) merge(r Report, now time.Time) bool {
	if r.Home == t.home {
		return false
	}
	known, found := t.reports[r.Home]
	if !r.Valid() || t.weights[r.Service] == 0 || r.Weight > t.weights[r.Service] || !found && len(t.reports) >= maxHomes {
		t.counts.Ignored++
		return false
	}
	received := storedReport{r, now.Add(-r.Age)}
	received.Age = 0
	if found && received.createdAt.Sub(known.createdAt) < minNewer {
		return false
	}
	if found && known.Service != r.Service {
		t.thresholds.Remove(known.Service, r.Home)
	}
	t.store(received, now)
	return true
}

// store replaces the report of a home and updates the threshold of the service.
func (t *Table) store(r storedReport, now time.Time) {
	t.reports[r.Home] = r
	t.active.Store(true)
	if t.weights[r.Service] == 0 {
		return
	}
	t.version++
	t.thresholds.Update(shed.Entry{Service: r.Service, Target: r.Home, Threshold: r.Threshold, Weight: float64(r.Weight), Version: t.version, Age: now.Sub(r.createdAt)}, now)
}

func (t *Table) removeExpired(now time.Time) {
	for home, r := range t.reports {
		if now.Sub(r.createdAt) >= MaxAge {
			delete(t.reports, home)
		}
	}
	t.active.Store(len(t.reports) > 0)
}

// updateCovered determines the covered services. Expired reports count until the next update of the
// local threshold removes them.
func (t *Table) updateCovered() {
	clear(t.covered)
	if len(t.reports) == 0 {
		return
	}
	reported := make(map[string]int)
	for _, r := range t.reports {
		reported[r.Service] += r.Weight
	}
	for service, weight := range reported {
		t.covered[service] = float64(weight) >= coveredShare*float64(t.weights[service])
	}
}

// Coverage reports whether homes of the service have reported recently, and whether their reports show
// its whole state: homes with three quarters of the weight have reported, whether they refuse ranks or
// have stopped to.
func (t *Table) Coverage(service string) (reported, whole bool) {
	if !t.Active() {
		return false, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	covered, reported := t.covered[service]
	return reported, covered && t.weights[service] > 0
}

// Active reports whether there may be a service with a threshold.
func (t *Table) Active() bool { return t != nil && t.active.Load() }

// Append appends the reports that a reply carries: the local home's, then the newest of the others,
// at most MaxReports.
func (t *Table) Append(buffer []Report) []Report {
	if !t.Active() {
		return buffer
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var chosen [MaxReports]storedReport
	count := 0
	for _, r := range t.reports {
		if now.Sub(r.createdAt) < relayAge {
			count = t.insert(chosen[:], count, r)
		}
	}
	buffer = slices.Grow(buffer, count)
	for _, r := range chosen[:count] {
		if r.Home != t.home {
			t.counts.Relayed++
		}
		// Another report may have been stored since now was read.
		r.Age = max(now.Sub(r.createdAt), 0)
		buffer = append(buffer, r.Report)
	}
	return buffer
}

// insert inserts a report into the first count ones, which are ordered by precedence, and returns
// their new number. The last one is dropped if there is no space.
func (t *Table) insert(chosen []storedReport, count int, r storedReport) int {
	position := count
	for position > 0 && t.precedes(&r, &chosen[position-1]) {
		position--
	}
	if position == len(chosen) {
		return count
	}
	count = min(count+1, len(chosen))
	copy(chosen[position+1:count], chosen[position:count-1])
	chosen[position] = r
	return count
}

func (t *Table) precedes(a, b *storedReport) bool {
	if a.Home == t.home || b.Home == t.home {
		return a.Home == t.home
	}
	return a.createdAt.After(b.createdAt)
}

// Threshold returns the lowest rank key of the service that homes with three quarters of the total
// weight refuse; shed.None if they refuse none.
func (t *Table) Threshold(service string) uint16 {
	if !t.Active() {
		return shed.None
	}
	return t.thresholds.Threshold(service, t.now())
}

// Thresholds calls visit with the threshold of each service that has homes.
func (t *Table) Thresholds(visit func(service string, threshold uint16)) {
	t.mutex.Lock()
	services := make([]string, 0, len(t.weights))
	for service := range t.weights {
		services = append(services, service)
	}
	t.mutex.Unlock()
	for _, service := range services {
		visit(service, t.Threshold(service))
	}
}

// Counts returns the numbers of reports so far.
func (t *Table) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts
}
