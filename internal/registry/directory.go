package registry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

// Home is a node with the target beside it, as last known.
type Home struct {
	Record
	// Revision is that of the record.
	Revision store.Revision
	// LapsedAt is when the record disappeared; zero while it is there.
	LapsedAt time.Time
}

// lapsedFor is how long a home is still known after its record disappeared. The
// record of one that lives and reaches the store is back by then.
const lapsedFor = 2500 * time.Millisecond

// Directory is what the records of all nodes say. It is safe for concurrent use.
type Directory struct {
	prefix string
	// own is the address of the node itself.
	own string
	log *eventlog.Log
	now func() time.Time

	mutex     sync.Mutex
	homes     map[string]*Home
	services  atomic.Pointer[map[string][]*Home]
	addresses atomic.Pointer[[]string]
	// place is the node's own among all, negative if it has no record.
	place atomic.Int64
}

// NewDirectory returns a directory of the records under the prefix, for the node
// at the address.
func NewDirectory(prefix, own string, log *eventlog.Log, now func() time.Time) *Directory {
	d := &Directory{prefix: prefix, own: own, log: log, now: now, homes: make(map[string]*Home)}
	d.publish()
	return d
}

// ApplyChanges takes changes of the store in order; keys without the prefix are passed
// over.
func (d *Directory) ApplyChanges(entries []store.Entry, source string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, d.prefix) {
			d.apply(entry, source)
		}
	}
	d.publish()
}

// Run forgets homes that lapsed, until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(lapsedFor / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.expire()
		}
	}
}

func (d *Directory) expire() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, home := range d.homes {
		if d.gone(home) {
			d.publish()
			return
		}
	}
}

func (d *Directory) gone(home *Home) bool {
	return !home.LapsedAt.IsZero() && d.now().Sub(home.LapsedAt) > lapsedFor
}

// Addresses returns those of all nodes that have a record, in the order of their
// places. The result must not be changed.
func (d *Directory) Addresses() []string { return *d.addresses.Load() }

// Place returns the node's own place in an order of all nodes that have a record,
// the same on all nodes that know the same records; false if the node has none.
func (d *Directory) Place() (int, bool) {
	place := d.place.Load()
	return int(place), place >= 0
}

// Homes returns the homes of a service's targets that are not known to leave.
// The result must not be changed.
func (d *Directory) Homes(service string) []*Home { return (*d.services.Load())[service] }

// Count returns the number of homes known.
func (d *Directory) Count() int {
	count := 0
	for _, homes := range *d.services.Load() {
		count += len(homes)
	}
	return count
}

func (d *Directory) apply(entry store.Entry, source string) {
	known := d.homes[entry.Key]
	if entry.Deleted {
		if known != nil {
			d.lapse(known, source)
		}
		return
	}
	if known != nil && entry.Revision <= known.Revision {
		return
	}
	record, err := decodeRecord(entry)
	if err != nil {
		d.log.Record(eventlog.Event{Kind: eventlog.HomeChanged, Peer: entry.Key, Outcome: "unreadable", Reason: err.Error()})
		return
	}
	if known != nil && record.restored(entry.Revision) {
		d.keep(known, &record, entry.Revision, source)
		return
	}
	if known != nil && known.Instance == record.Instance {
		// A target that leaves doesn't come back.
		record.State = max(record.State, known.State)
	}
	d.homes[entry.Key] = &Home{Record: record, Revision: entry.Revision}
	d.log.Record(eventlog.Event{Kind: eventlog.HomeChanged, Peer: record.Address, Service: record.Service, Target: record.Instance,
		Outcome: record.State.String(), Reason: source, Version: uint64(entry.Revision.Number())})
}

// keep goes on with what is known of a home although the store, which came back from a copy,
// tells what was written there before. If that differs, what is known holds until the home
// had time to write it again, as it does for a record that disappeared.
func (d *Directory) keep(known *Home, restored *Record, revision store.Revision, source string) {
	kept := *known
	kept.Revision = revision
	d.homes[d.keyOf(known)] = &kept
	if !known.sameTarget(restored) {
		d.lapse(&kept, source)
	}
}

// lapse notes that a home's record disappeared. The home is replaced, because
// readers hold the old one.
func (d *Directory) lapse(home *Home, source string) {
	if !home.LapsedAt.IsZero() {
		return
	}
	lapsed := *home
	lapsed.LapsedAt = d.now()
	d.homes[d.keyOf(home)] = &lapsed
	d.log.Record(eventlog.Event{Kind: eventlog.HomeChanged, Peer: home.Address, Service: home.Service, Target: home.Instance,
		Outcome: "lapsed", Reason: source, Version: uint64(home.Revision.Number())})
}

func (d *Directory) keyOf(home *Home) string { return d.prefix + home.Address }

// publish builds what readers see and forgets homes that lapsed.
func (d *Directory) publish() {
	services := make(map[string][]*Home)
	addresses := make([]string, 0, len(d.homes))
	for key, home := range d.homes {
		if d.gone(home) {
			delete(d.homes, key)
			continue
		}
		addresses = append(addresses, home.Address)
		if home.State == Ready {
			services[home.Service] = append(services[home.Service], home)
		}
	}
	d.services.Store(&services)
	inOrder(addresses)
	d.addresses.Store(&addresses)
	d.place.Store(int64(slices.Index(addresses, d.own)))
}

// inOrder sorts the addresses by their hashes, so that every node finds the same
// order and no machine's name or zone decides.
func inOrder(addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
}
