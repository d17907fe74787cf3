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

// Home is the last known state of a node and its local target.
type Home struct {
	Record
	// Revision is the store revision of the record.
	Revision store.Revision
	// NoticeSequence is the sequence number of the notice that the home is known from; zero if it
	// is known from the store.
	NoticeSequence uint64
	// LapsedAt is when the record disappeared; zero while it is present.
	LapsedAt time.Time
	// previousProcess is the process that Process replaced by a notice. Late notices of it are
	// ignored.
	previousProcess uint32
}

// lapsedRetention is how long a home is kept after its record disappeared. A live node that
// reaches the store has written it again by then.
const lapsedRetention = 2500 * time.Millisecond

// Directory holds the homes described by the records of all nodes. It is safe for concurrent
// use.
type Directory struct {
	prefix string
	// ownAddress is the address of this node.
	ownAddress string
	log        *eventlog.Log
	now        func() time.Time

	mutex sync.Mutex
	homes map[string]*Home
	// early holds, by key, what notices told of homes without a record. A node that was restarted
	// during an outage of the store may receive them before it has recovered the records.
	early          map[string]*Home
	homesByService atomic.Pointer[map[string][]*Home]
	weights        atomic.Pointer[map[string]int]
	addresses      atomic.Pointer[[]string]
	// position is this node's position among all nodes, negative if it has no record.
	position atomic.Int64
}

// NewDirectory returns a directory of the records under the prefix for the node with the given
// address.
func NewDirectory(prefix, ownAddress string, log *eventlog.Log, now func() time.Time) *Directory {
	d := &Directory{prefix: prefix, ownAddress: ownAddress, log: log, now: now, homes: make(map[string]*Home), early: make(map[string]*Home)}
	d.publish()
	return d
}

// ApplyChanges applies changes of the store in order. Keys without the prefix are ignored.
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

// Sources of notices in logs.
const (
	sourceLocal  = "local target"
	sourceNotice = "notice of its node"
)

// ApplyStart applies a notice of this node or of a peer, and reports whether it was newer than
// what was known. A notice of a home without a stored record takes effect with the record, so that
// notices don't change the number of homes or the ordering of nodes.
func (d *Directory) ApplyStart(notice StartNotice) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	key := d.prefix + notice.Record.Address
	known, source := d.homes[key], sourceNotice
	if notice.Record.Address == d.ownAddress {
		source = sourceLocal
	}
	if known == nil {
		d.keepEarlyNotice(key, &notice)
		return false
	}
	if source == sourceNotice && !notice.supersedes(known) {
		return false
	}
	home := known.withNotice(&notice)
	d.homes[key] = home
	d.logChange(home, source)
	d.publish()
	return true
}

// maxEarlyNotices bounds the notices that are kept for homes without a record. It exceeds the number of nodes
// of a large fleet.
const maxEarlyNotices = 4096

// keepEarlyNotice keeps a notice of a home without a record, unless a newer one is kept.
func (d *Directory) keepEarlyNotice(key string, notice *StartNotice) {
	kept := d.early[key]
	switch {
	case kept == nil && len(d.early) < maxEarlyNotices:
		d.early[key] = (&Home{}).withNotice(notice)
	case kept != nil && notice.supersedes(kept):
		d.early[key] = kept.withNotice(notice)
	}
}

// applyEarlyNotice applies what was kept of a home before its first record, if it is newer.
func (d *Directory) applyEarlyNotice(key string) {
	kept := d.early[key]
	if kept == nil {
		return
	}
	delete(d.early, key)
	notice := StartNotice{Record: kept.Record, Base: kept.Revision, Sequence: kept.NoticeSequence}
	if known := d.homes[key]; notice.supersedes(known) {
		d.homes[key] = known.withNotice(&notice)
		d.logChange(d.homes[key], sourceNotice)
	}
}

// withNotice returns the home after a notice that is newer than it.
func (h *Home) withNotice(notice *StartNotice) *Home {
	updated := &Home{Record: notice.Record, Revision: max(h.Revision, notice.Base), NoticeSequence: notice.Sequence, LapsedAt: h.LapsedAt, previousProcess: h.previousProcess}
	updated.Sequence = notice.Sequence
	if h.Process != notice.Record.Process {
		updated.previousProcess = h.Process
	}
	if h.Instance == updated.Instance {
		// An incarnation that is leaving never becomes ready again.
		updated.State = max(h.State, updated.State)
	}
	return updated
}

// logChange logs the state of a home that a record or a notice changed.
func (d *Directory) logChange(home *Home, source string) {
	d.log.Record(eventlog.Event{Kind: eventlog.HomeChanged, Peer: home.Address, Service: home.Service, Target: home.Instance,
		Outcome: home.State.String(), Reason: source, Version: uint64(home.Revision.Number())})
}

// Run removes homes whose record has lapsed, until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(lapsedRetention / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.removeExpired()
		}
	}
}

func (d *Directory) removeExpired() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, home := range d.homes {
		if d.expired(home) {
			d.publish()
			return
		}
	}
}

func (d *Directory) expired(home *Home) bool {
	return !home.LapsedAt.IsZero() && d.now().Sub(home.LapsedAt) > lapsedRetention
}

// Addresses returns the addresses of all nodes with a record, ordered by position. The result must
// not be modified.
func (d *Directory) Addresses() []string { return *d.addresses.Load() }

// Position returns this node's position in an ordering of all nodes with a record; false if it has
// none. Nodes with the same records use the same ordering.
func (d *Directory) Position() (int, bool) {
	position := d.position.Load()
	return int(position), position >= 0
}

// Homes returns the homes of a service whose targets are not known to be leaving. The result
// must not be modified.
func (d *Directory) Homes(service string) []*Home { return (*d.homesByService.Load())[service] }

// Weights returns the total number of slots of each service's homes. The result must not be
// modified.
func (d *Directory) Weights() map[string]int { return *d.weights.Load() }

// Count returns the number of homes with a ready target.
func (d *Directory) Count() int {
	count := 0
	for _, homes := range *d.homesByService.Load() {
		count += len(homes)
	}
	return count
}

func (d *Directory) apply(entry store.Entry, source string) {
	known := d.homes[entry.Key]
	if entry.Deleted {
		if known != nil {
			d.markLapsed(known, source)
		}
		return
	}
	if known != nil && entry.Revision <= known.Revision {
		return
	}
	record, err := decodeRecord(entry, d.prefix)
	if err != nil {
		d.log.Record(eventlog.Event{Kind: eventlog.HomeChanged, Peer: entry.Key, Outcome: "unreadable", Reason: err.Error()})
		if known != nil {
			// Its node writes the record again if it is alive.
			d.markLapsed(known, source)
		}
		return
	}
	if known != nil && record.restored(entry.Revision) {
		d.keepKnown(known, &record, entry.Revision, source)
		return
	}
	if known != nil && known.hasLaterChange(&record) {
		d.markStored(known, entry.Revision)
		return
	}
	if known != nil && known.Instance == record.Instance {
		// An incarnation that is leaving never becomes ready again.
		record.State = max(record.State, known.State)
	}
	home := &Home{Record: record, Revision: entry.Revision}
	d.homes[entry.Key] = home
	d.logChange(home, source)
	d.applyEarlyNotice(entry.Key)
}

// hasLaterChange reports whether the home is known from a later change of the same process than the one
// in the record. A late write or one that the store did not confirm can show an earlier change.
func (h *Home) hasLaterChange(record *Record) bool {
	return h.Process == record.Process && record.Sequence > 0 && h.Sequence > record.Sequence
}

// markStored records that the home's record is stored at a revision.
func (d *Directory) markStored(known *Home, revision store.Revision) {
	stored := *known
	stored.Revision, stored.LapsedAt = revision, time.Time{}
	d.homes[d.keyOf(known)] = &stored
}

// keepKnown keeps the known state of a home when the store was restored from a backup and shows
// an older record. If the two differ, the known state is kept until the home has had time to
// write it again, as for a record that disappeared.
func (d *Directory) keepKnown(known *Home, restored *Record, revision store.Revision, source string) {
	kept := *known
	kept.Revision = revision
	d.homes[d.keyOf(known)] = &kept
	if !known.equivalent(restored) {
		d.markLapsed(&kept, source)
	}
}

// markLapsed marks a home whose record disappeared. It replaces the home instead of changing
// it, because readers hold the old one.
func (d *Directory) markLapsed(home *Home, source string) {
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

// publish rebuilds the indexes that readers use and removes homes whose record has lapsed for
// too long.
func (d *Directory) publish() {
	homesByService := make(map[string][]*Home)
	weights := make(map[string]int)
	addresses := make([]string, 0, len(d.homes))
	for key, home := range d.homes {
		if d.expired(home) {
			delete(d.homes, key)
			continue
		}
		addresses = append(addresses, home.Address)
		if home.State == Ready {
			homesByService[home.Service] = append(homesByService[home.Service], home)
			weights[home.Service] += home.Slots
		}
	}
	d.homesByService.Store(&homesByService)
	d.weights.Store(&weights)
	sortByHash(addresses)
	d.addresses.Store(&addresses)
	d.position.Store(int64(slices.Index(addresses, d.ownAddress)))
}

// sortByHash sorts addresses by hash, so that all nodes use the same ordering and it does not
// depend on the naming of machines or on zones.
func sortByHash(addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
}
