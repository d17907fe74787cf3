package shed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

// Defaults of TableConfig.
const (
	DefaultExpiry      = 3 * time.Second
	DefaultRefuseShare = 0.75
	DefaultMaxEntries  = 8192
)

// TableConfig configures a Table. A zero field takes its default.
type TableConfig struct {
	// Expiry is how long an entry is valid without a refresh.
	Expiry time.Duration
	// RefuseShare is the share of a service's weight that must refuse a rank, between 0 and 1.
	RefuseShare float64
	// MaxEntries bounds the table; a full table rejects new targets.
	MaxEntries int
}

// Entry is the shed level of one target as reported by its home.
type Entry struct {
	// Service and Target identify the target.
	Service, Target string
	// Origin is the home node that computed the threshold.
	Origin string
	// Threshold is the rank key from which on the home would refuse; None for nothing.
	Threshold uint16
	// Weight is the target's share of the service's calls, in slots; zero counts as 1.
	Weight float64
	// Version orders reports of one target across homes: the origin's clock in
	// milliseconds since 1970. Equal versions are ordered by origin.
	Version uint64
	// Age is the time since the origin created the report, as far as it is known.
	Age time.Duration
}

// Table holds the shed levels of all services known to a node. It is safe for
// concurrent use.
type Table struct {
	config TableConfig

	mu           sync.RWMutex
	services     map[string]*service
	totalWeights map[string]float64
	length       int
}

type service struct {
	targets map[string]storedEntry
	// threshold is the effective threshold until validUntil.
	threshold  uint16
	validUntil time.Time
}

type storedEntry struct {
	Entry
	reportedAt time.Time
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	if config.Expiry <= 0 {
		config.Expiry = DefaultExpiry
	}
	if !(config.RefuseShare > 0 && config.RefuseShare <= 1) {
		config.RefuseShare = DefaultRefuseShare
	}
	if config.MaxEntries <= 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	return &Table{
		config:       config,
		services:     make(map[string]*service),
		totalWeights: make(map[string]float64),
	}
}

// SetWeight sets the total weight of a service's live targets according to the
// configuration, so that targets without a report count as accepting. Without it
// only reported weight counts. Zero removes it; callers do so for deleted services.
func (t *Table) SetWeight(serviceName string, total float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.totalWeights, serviceName)
	if total > 0 {
		t.totalWeights[serviceName] = total
	}
	if s, known := t.services[serviceName]; known {
		t.compute(serviceName, s)
	}
}

// Update merges a report, received from its origin or relayed by another node. It
// returns false if the report is outdated, a duplicate or expired, or if the table
// is full. A duplicate does not extend the expiry.
func (t *Table) Update(entry Entry, now time.Time) bool {
	entry.Threshold = min(entry.Threshold, None)
	if !(entry.Weight > 0) {
		entry.Weight = 1
	}
	reportedAt := now.Add(-max(entry.Age, 0))
	if !now.Before(reportedAt.Add(t.config.Expiry)) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[entry.Service]
	if s != nil {
		t.expire(entry.Service, s, now)
	}
	if !t.accepts(s, entry) {
		return false
	}
	s = t.serviceFor(entry.Service)
	if _, known := s.targets[entry.Target]; !known {
		t.length++
	}
	s.targets[entry.Target] = storedEntry{Entry: entry, reportedAt: reportedAt}
	t.compute(entry.Service, s)
	return true
}

// Threshold returns the effective threshold of a service, None if no shedding
// is known.
func (t *Table) Threshold(serviceName string, now time.Time) uint16 {
	t.mu.RLock()
	s, known := t.services[serviceName]
	if !known {
		t.mu.RUnlock()
		return None
	}
	threshold, valid := s.threshold, now.Before(s.validUntil)
	t.mu.RUnlock()
	if valid {
		return threshold
	}
	return t.refresh(serviceName, now)
}

// Refuses reports whether a call of the given rank to the service should be
// refused instead of forwarded.
func (t *Table) Refuses(serviceName string, rank criticality.Rank, now time.Time) bool {
	return rank.Key() >= t.Threshold(serviceName, now)
}

// Entries returns the live entries with their current age, ordered by service
// and target, for relaying to other nodes.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireAll(now)
	entries := make([]Entry, 0, t.length)
	for _, s := range t.services {
		for _, e := range s.targets {
			entry := e.Entry
			entry.Age = now.Sub(e.reportedAt)
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return entries
}

// Remove removes a target that was deleted or is draining.
func (t *Table) Remove(serviceName, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.services[serviceName]
	if !known {
		return
	}
	t.removeTarget(serviceName, s, target)
	t.compute(serviceName, s)
}

func (t *Table) refresh(serviceName string, now time.Time) uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.services[serviceName]
	if !known {
		return None
	}
	t.expire(serviceName, s, now)
	return s.threshold
}

func (t *Table) accepts(s *service, entry Entry) bool {
	if s != nil {
		if old, known := s.targets[entry.Target]; known {
			return cmp.Or(cmp.Compare(entry.Version, old.Version), cmp.Compare(entry.Origin, old.Origin)) > 0
		}
	}
	return t.length < t.config.MaxEntries
}

func (t *Table) serviceFor(name string) *service {
	s, known := t.services[name]
	if !known {
		s = &service{targets: make(map[string]storedEntry)}
		t.services[name] = s
	}
	return s
}

func (t *Table) expireAll(now time.Time) {
	for name, s := range t.services {
		t.expire(name, s, now)
	}
}

// expire removes the service's entries that were not refreshed in time.
func (t *Table) expire(name string, s *service, now time.Time) {
	if now.Before(s.validUntil) {
		return
	}
	for target, e := range s.targets {
		if !now.Before(e.reportedAt.Add(t.config.Expiry)) {
			t.removeTarget(name, s, target)
		}
	}
	t.compute(name, s)
}

func (t *Table) removeTarget(name string, s *service, target string) {
	if _, known := s.targets[target]; !known {
		return
	}
	delete(s.targets, target)
	t.length--
	if len(s.targets) == 0 {
		delete(t.services, name)
	}
}

// compute sets the service's effective threshold: the smallest one at which
// the refusing targets hold RefuseShare of the weight.
func (t *Table) compute(name string, s *service) {
	s.threshold = None
	s.validUntil = time.Time{}
	targets := make([]storedEntry, 0, len(s.targets))
	total := 0.0
	for _, e := range s.targets {
		targets = append(targets, e)
		total += e.Weight
		expiry := e.reportedAt.Add(t.config.Expiry)
		if s.validUntil.IsZero() || expiry.Before(s.validUntil) {
			s.validUntil = expiry
		}
	}
	slices.SortFunc(targets, func(a, b storedEntry) int { return cmp.Compare(a.Threshold, b.Threshold) })
	total = max(total, t.totalWeights[name])
	refusing := 0.0
	for _, e := range targets {
		refusing += e.Weight
		if refusing >= t.config.RefuseShare*total-weightTolerance {
			s.threshold = e.Threshold
			return
		}
	}
}

// weightTolerance absorbs rounding errors in sums of weights.
const weightTolerance = 1e-9
