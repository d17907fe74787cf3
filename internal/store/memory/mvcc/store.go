package mvcc

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
)

// Defaults of limits that are zero in the configuration.
const (
	// DefaultHistoryEvents is the number of changes kept for watches.
	DefaultHistoryEvents = 4096
	// DefaultHistoryBytes bounds the keys and values kept for watches, in bytes.
	DefaultHistoryBytes = 16 << 20
	// DefaultMaxValueBytes bounds one value, in bytes.
	DefaultMaxValueBytes = 1 << 20
	// DefaultMaxTotalBytes bounds all current keys and values, in bytes.
	DefaultMaxTotalBytes = 64 << 20
	// DefaultMaxLeases bounds the number of leases.
	DefaultMaxLeases = 65536
)

const initialRevision store.Revision = 1

// Errors of commits, ranges and leases. After these nothing took effect.
var (
	// ErrValueTooLarge means that a value is larger than MaxValueBytes.
	ErrValueTooLarge = errors.New("value too large")
	// ErrNoSpace means that MaxTotalBytes or MaxLeases would be exceeded.
	ErrNoSpace = errors.New("store is full")
	// ErrFutureRevision means that a revision is newer than the store's newest.
	ErrFutureRevision = errors.New("revision is in the future")
)

// Config holds the settings of a store. Zero fields default to the values above.
type Config struct {
	// Now is the clock for leases; nil means time.Now.
	Now func() time.Time
	// HistoryEvents and HistoryBytes bound the history kept for watches.
	HistoryEvents int
	HistoryBytes  int
	// MaxValueBytes bounds one value, MaxTotalBytes all current keys and values.
	MaxValueBytes int
	MaxTotalBytes int
	// MaxLeases bounds the number of leases.
	MaxLeases int
}

// KeyValue is the state of a key at a revision. The value must not be modified.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision store.Revision
	ModRevision    store.Revision
	Version        int64
	Lease          LeaseID
}

func (k *KeyValue) size() int {
	if k == nil {
		return 0
	}
	return len(k.Key) + len(k.Value)
}

// View is the result of a range at one revision, sorted by key.
type View struct {
	// Current is the newest revision of the store, not that of the range.
	Current store.Revision
	Entries []KeyValue
}

// Store is a multi-version key-value store. It is safe for concurrent use.
type Store struct {
	config Config

	mu           sync.Mutex
	revision     store.Revision
	keys         map[string]*KeyValue
	totalBytes   int
	history      []Event
	historyBytes int
	compacted    store.Revision
	changed      chan struct{}
	leases       map[LeaseID]*lease
	lastLease    LeaseID
	nextExpiry   time.Time
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{
		config:   config.withDefaults(),
		revision: initialRevision,
		keys:     make(map[string]*KeyValue),
		changed:  make(chan struct{}),
		leases:   make(map[LeaseID]*lease),
	}
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.HistoryEvents = orDefault(c.HistoryEvents, DefaultHistoryEvents)
	c.HistoryBytes = orDefault(c.HistoryBytes, DefaultHistoryBytes)
	c.MaxValueBytes = orDefault(c.MaxValueBytes, DefaultMaxValueBytes)
	c.MaxTotalBytes = orDefault(c.MaxTotalBytes, DefaultMaxTotalBytes)
	c.MaxLeases = orDefault(c.MaxLeases, DefaultMaxLeases)
	return c
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// Revision returns the newest revision.
func (s *Store) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.revision
}

// Range returns the keys of a span at a revision; zero means the newest. It
// returns store.ErrCompacted for a revision that is no longer in the history and
// ErrFutureRevision for one that does not exist yet.
func (s *Store) Range(span keyspan.Span, at store.Revision) (View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if at == 0 {
		at = s.revision
	}
	if at > s.revision {
		return View{}, ErrFutureRevision
	}
	if at < s.compacted {
		return View{}, store.ErrCompacted
	}
	return View{Current: s.revision, Entries: s.entriesAt(span, at)}, nil
}

func (s *Store) entriesAt(span keyspan.Span, at store.Revision) []KeyValue {
	if span.End == "" && at == s.revision {
		return s.currentEntry(span.From)
	}
	previousValues := s.changedSince(span, at)
	var entries []KeyValue
	for key, current := range s.keys {
		if _, changed := previousValues[key]; !changed && span.Contains(key) {
			entries = append(entries, *current)
		}
	}
	for _, previous := range previousValues {
		if previous != nil {
			entries = append(entries, *previous)
		}
	}
	slices.SortFunc(entries, func(a, b KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

func (s *Store) currentEntry(key string) []KeyValue {
	if current, found := s.keys[key]; found {
		return []KeyValue{*current}
	}
	return nil
}

// changedSince returns, for each key changed after a revision, its state at that
// revision, or nil if it did not exist.
func (s *Store) changedSince(span keyspan.Span, at store.Revision) map[string]*KeyValue {
	previousValues := make(map[string]*KeyValue)
	for i := len(s.history) - 1; i >= 0 && s.history[i].ModRevision > at; i-- {
		if event := s.history[i]; span.Contains(event.Key) {
			previousValues[event.Key] = event.previous
		}
	}
	return previousValues
}
