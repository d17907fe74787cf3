package quarantine

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/leased"
)

// Record is the stored form of a quarantine. Its key contains the request's fingerprint.
type Record struct {
	// Service and Route are those of the last call that a crash interrupted.
	Service string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	// Trials is the number of trial runs so far.
	Trials int `cbor:"3,keyasint,omitempty"`
	// Lifted reports that the quarantine has ended. A missing record does not imply that:
	// leases also expire while the store is unavailable.
	Lifted bool `cbor:"4,keyasint,omitempty"`
	// Epoch is the store epoch in which the record was written. If it is found in a later
	// epoch, the store was restored from a backup, which may lack later writes.
	Epoch store.Epoch `cbor:"5,keyasint,omitempty"`
}

// covers reports whether the other record does not have to be written because this one is
// stored: both are lifted or neither is, and this one counts at least as many trials.
func (r Record) covers(other Record) bool {
	return r.Lifted == other.Lifted && r.Trials >= other.Trials
}

// originalRevision returns the revision of a record's write, in the epoch in which it was written. A
// restored store shows the same number in a later epoch.
func (r Record) originalRevision(shown store.Revision) store.Revision {
	return store.NewRevision(min(r.Epoch, shown.Epoch()), shown.Number())
}

// Bounds of records. Entries beyond them come from another writer.
const (
	// maxNameBytes bounds the names of services and routes.
	maxNameBytes = 1 << 10
	// maxTrials bounds the number of trial runs: at one each maxTrialDelay, they take months.
	maxTrials = 1 << 16
)

// errInvalidRecord means that an entry was not written by a node.
var errInvalidRecord = errors.New("no quarantine record of a node")

// DecodeRecord decodes the stored value of a record. An entry of another writer may have any content
// and must not quarantine a request.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(value, &record); err != nil {
		return Record{}, err
	}
	return record, record.validate()
}

func (r Record) validate() error {
	switch {
	case !r.Lifted && (r.Service == "" || r.Route == ""):
		return fmt.Errorf("%w: service or route is missing", errInvalidRecord)
	case len(r.Service) > maxNameBytes || len(r.Route) > maxNameBytes:
		return fmt.Errorf("%w: service or route is too long", errInvalidRecord)
	case r.Trials < 0 || r.Trials > maxTrials:
		return fmt.Errorf("%w: %d trials", errInvalidRecord, r.Trials)
	case r.Epoch > store.MaxEpoch:
		return fmt.Errorf("%w: epoch %d", errInvalidRecord, r.Epoch)
	}
	return nil
}

// errInvalidKey means that a key is not the usual form of a fingerprint.
var errInvalidKey = errors.New("no fingerprint of a request")

// parseKey returns the fingerprint that a key without its prefix contains.
func parseKey(name string) (fingerprint.Fingerprint, error) {
	hash, err := fingerprint.Parse(name)
	if err == nil && hash.String() != name {
		err = errInvalidKey
	}
	return hash, err
}

// Encode returns the stored value of the record.
func (r Record) Encode() []byte {
	content, err := cbor.Marshal(r)
	if err != nil {
		// Unreachable: all fields of a record can be encoded.
		panic(err)
	}
	return content
}

const (
	// RecordTTL is the lease duration of records, the longest that the store allows.
	RecordTTL = 10 * time.Minute
	// writeTimeout bounds one call to the store, and writeRetryDelay is the time between
	// attempts to write.
	writeTimeout    = 400 * time.Millisecond
	writeRetryDelay = 200 * time.Millisecond
	// claimTimeout bounds the transaction that claims a trial. A request waits for it.
	claimTimeout = 100 * time.Millisecond
	// expireInterval is the time between two removals of expired suspects.
	expireInterval = 10 * time.Second
)

// datedRecord is a record with its original revision, zero if it has not been written yet.
type datedRecord struct {
	Record
	writtenAt store.Revision
}

// recordStore writes quarantine records to the store and tracks those that it holds.
type recordStore struct {
	store  store.Store
	prefix string
	writer *leased.Writer
	// claimWriter writes trial claims, so that they don't wait for other writes.
	claimWriter *leased.Writer
	log         *eventlog.Log
	wake        chan struct{}

	mutex sync.Mutex
	// pending holds the records to be written, and written the records of this node, which it
	// rewrites if they are removed from the store.
	pending map[fingerprint.Fingerprint]datedRecord
	written map[fingerprint.Fingerprint]Record
	// revisions holds the revisions of the records in the node's copy of the store, and
	// records their last known values, of any store epoch.
	revisions map[fingerprint.Fingerprint]store.Revision
	records   map[fingerprint.Fingerprint]datedRecord
	// epoch returns the latest known store epoch, and position the node's position in an order
	// of all nodes.
	epoch    func() store.Epoch
	position func() (int, bool)
}

func newRecordStore(config Config) *recordStore {
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	if config.Position == nil {
		config.Position = func() (int, bool) { return 0, false }
	}
	return &recordStore{
		store:       config.Store,
		prefix:      config.Prefix,
		writer:      leased.NewWriter(config.Store, RecordTTL, config.Now),
		claimWriter: leased.NewWriter(config.Store, RecordTTL, config.Now),
		log:         config.Log,
		wake:        make(chan struct{}, 1),
		pending:     make(map[fingerprint.Fingerprint]datedRecord),
		written:     make(map[fingerprint.Fingerprint]Record),
		revisions:   make(map[fingerprint.Fingerprint]store.Revision),
		records:     make(map[fingerprint.Fingerprint]datedRecord),
		epoch:       config.Epoch,
		position:    config.Position,
	}
}

// enqueue schedules a record to be written as soon as the store accepts it.
func (r *recordStore) enqueue(hash fingerprint.Fingerprint, record Record) {
	r.mutex.Lock()
	r.pending[hash] = datedRecord{Record: record}
	r.written[hash] = record
	r.mutex.Unlock()
	r.signal()
}

func (r *recordStore) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run writes pending records until the context ends.
func (r *recordStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for !r.writePending(ctx) && ctx.Err() == nil {
			pause.For(ctx, writeRetryDelay)
		}
	}
}

// writePending tries to write each pending record once and reports whether all succeeded.
func (r *recordStore) writePending(ctx context.Context) bool {
	r.mutex.Lock()
	batch := make(map[fingerprint.Fingerprint]datedRecord, len(r.pending))
	for hash, record := range r.pending {
		batch[hash] = record
	}
	r.mutex.Unlock()
	complete := true
	for hash, record := range batch {
		if err := r.put(ctx, hash, record); err != nil {
			complete = false
			continue
		}
		r.mutex.Lock()
		if r.pending[hash] == record {
			delete(r.pending, hash)
		}
		r.mutex.Unlock()
	}
	return complete
}

// put writes a record unless the stored one covers it or, if the store lost the record, is newer. A
// lifted record replaces one that is not lifted.
func (r *recordStore) put(ctx context.Context, hash fingerprint.Fingerprint, pending datedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := r.prefix + hash.String()
	entry, err := r.store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		entry = store.Entry{}
	case err != nil:
		return err
	default:
		stored, err := DecodeRecord(entry.Value)
		isNewer := pending.writtenAt != 0 && stored.originalRevision(entry.Revision) > pending.writtenAt
		if err == nil && (isNewer || stored.covers(pending.Record)) {
			return nil
		}
	}
	record := pending.Record
	record.Epoch = r.epoch()
	_, err = r.writer.CompareAndSwap(ctx, key, entry.Revision, record.Encode())
	return err
}

// claimTrial records one more trial in the store. It reports whether this node may run it.
func (r *recordStore) claimTrial(ctx context.Context, hash fingerprint.Fingerprint, record Record) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r.mutex.Lock()
	revision := r.revisions[hash]
	r.mutex.Unlock()
	record.Epoch = r.epoch()
	_, err := r.claimWriter.CompareAndSwap(ctx, r.prefix+hash.String(), revision, record.Encode())
	if err != nil {
		// Another node runs the trial, or the store is unavailable and no node runs it.
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.written[hash] = record
	return true
}

// recordChange is a changed record of the store.
type recordChange struct {
	hash   fingerprint.Fingerprint
	record Record
}

// applyChanges processes changes of the store and returns the changed valid records. Records
// that this node wrote and the store lost are rewritten.
func (r *recordStore) applyChanges(entries []store.Entry, quarantined func(fingerprint.Fingerprint) bool) []recordChange {
	var changes []recordChange
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, entry := range entries {
		name, found := strings.CutPrefix(entry.Key, r.prefix)
		if !found {
			continue
		}
		hash, err := parseKey(name)
		if err != nil {
			r.logRejected(entry, err)
			continue
		}
		if entry.Deleted {
			r.handleRemoved(hash, entry.Revision, quarantined(hash))
			continue
		}
		r.revisions[hash] = entry.Revision
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			r.logRejected(entry, err)
			continue
		}
		known, found := r.records[hash]
		dated := datedRecord{Record: record, writtenAt: record.originalRevision(entry.Revision)}
		if found && dated.writtenAt < known.writtenAt && !record.covers(known.Record) {
			// The store was restored from a backup that lacks later writes.
			r.restoreLost(hash, known)
			continue
		}
		r.records[hash] = dated
		if record.Lifted {
			delete(r.written, hash)
		}
		changes = append(changes, recordChange{hash: hash, record: record})
	}
	return changes
}

// restoreLost rewrites a record that the store lost: immediately if this node wrote it, and
// otherwise after a delay unless another node has done so. The lock is held.
func (r *recordStore) restoreLost(hash fingerprint.Fingerprint, record datedRecord) {
	if _, written := r.written[hash]; written {
		r.pending[hash] = record
		r.signal()
		return
	}
	position, known := r.position()
	if !known {
		return
	}
	time.AfterFunc(epoch.TakeOverDelay(position), func() { r.rewriteIfLost(hash, record) })
}

// rewriteIfLost schedules a write of a record unless a newer one is known. The write has no
// effect if another node has already rewritten the record.
func (r *recordStore) rewriteIfLost(hash fingerprint.Fingerprint, record datedRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.records[hash] != record {
		return
	}
	r.pending[hash] = record
	r.signal()
}

func (r *recordStore) logRejected(entry store.Entry, err error) {
	r.log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error(), Version: uint64(entry.Revision.Number())})
}

// handleRemoved processes the removal of a record whose lease expired or that the store lost.
func (r *recordStore) handleRemoved(hash fingerprint.Fingerprint, revision store.Revision, quarantined bool) {
	previous := r.revisions[hash]
	delete(r.revisions, hash)
	known, found := r.records[hash]
	if found && previous.Epoch() < revision.Epoch() && (quarantined || known.Lifted) {
		r.restoreLost(hash, known)
		return
	}
	delete(r.records, hash)
	record, written := r.written[hash]
	if !written {
		return
	}
	if !quarantined {
		delete(r.written, hash)
		return
	}
	r.pending[hash] = datedRecord{Record: record, writtenAt: known.writtenAt}
	r.signal()
}
