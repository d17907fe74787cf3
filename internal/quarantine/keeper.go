package quarantine

import (
	"context"
	"errors"
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

// Record is a verdict as it lies in the store, under the request's fingerprint.
type Record struct {
	// Service and Route are those of the call that broke off last.
	Service string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	// Trials is the number of trial runs so far.
	Trials int `cbor:"3,keyasint,omitempty"`
	// Lifted tells that the verdict has ended. A record that is only missing says
	// nothing: leases also run out while the store is away.
	Lifted bool `cbor:"4,keyasint,omitempty"`
	// Epoch is that of the store in which the record was written. A later epoch that holds
	// the record got it out of a copy, and may have lost what was written since.
	Epoch store.Epoch `cbor:"5,keyasint,omitempty"`
}

// says reports whether the record says as much as another one. A verdict that ended goes
// before one that holds.
func (r Record) says(other Record) bool {
	return r.Lifted == other.Lifted && r.Trials >= other.Trials
}

// DecodeRecord reads the value of a record.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	err := cbor.Unmarshal(value, &record)
	return record, err
}

// Encode returns the value of a record.
func (r Record) Encode() []byte {
	content, err := cbor.Marshal(r)
	if err != nil {
		// Records hold only strings and numbers, which always have a form.
		panic(err)
	}
	return content
}

const (
	// RecordTTL is how long a record is kept, the longest that the store allows.
	RecordTTL = 10 * time.Minute
	// writeTimeout bounds one call to the store, and writePause is the time between two
	// tries of a write.
	writeTimeout = 400 * time.Millisecond
	writePause   = 200 * time.Millisecond
	// trialTimeout bounds the transaction of a trial, which a request waits for.
	trialTimeout = 100 * time.Millisecond
	// expirePeriod is the time between two looks for what is no longer remembered.
	expirePeriod = 10 * time.Second
)

// keeper keeps verdicts in the store.
type keeper struct {
	store  store.Store
	prefix string
	writer *leased.Writer
	// claims writes claims of trials, so that these don't wait for other writes.
	claims *leased.Writer
	log    *eventlog.Log
	wake   chan struct{}

	mutex sync.Mutex
	// wanted are records to be written, and own those that this node wrote and that are
	// written again if they disappear.
	wanted map[fingerprint.Fingerprint]Record
	own    map[fingerprint.Fingerprint]Record
	// revisions are those of the records as the node's copy of the store holds them, and
	// records what they said last, in any epoch of the store.
	revisions map[fingerprint.Fingerprint]store.Revision
	records   map[fingerprint.Fingerprint]Record
	// epoch returns the newest epoch of the store that is known, and place the node's own
	// place in an order of all nodes.
	epoch func() store.Epoch
	place func() (int, bool)
}

func newKeeper(config Config) *keeper {
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	if config.Position == nil {
		config.Position = func() (int, bool) { return 0, false }
	}
	return &keeper{
		store:     config.Store,
		prefix:    config.Prefix,
		writer:    leased.NewWriter(config.Store, RecordTTL, config.Now),
		claims:    leased.NewWriter(config.Store, RecordTTL, config.Now),
		log:       config.Log,
		wake:      make(chan struct{}, 1),
		wanted:    make(map[fingerprint.Fingerprint]Record),
		own:       make(map[fingerprint.Fingerprint]Record),
		revisions: make(map[fingerprint.Fingerprint]store.Revision),
		records:   make(map[fingerprint.Fingerprint]Record),
		epoch:     config.Epoch,
		place:     config.Position,
	}
}

// want has a record written as soon as the store takes it.
func (k *keeper) want(hash fingerprint.Fingerprint, record Record) {
	k.mutex.Lock()
	k.wanted[hash] = record
	k.own[hash] = record
	k.mutex.Unlock()
	k.signal()
}

func (k *keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run writes records until the context ends.
func (k *keeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for !k.writeWanted(ctx) && ctx.Err() == nil {
			pause.For(ctx, writePause)
		}
	}
}

// writeWanted tries each wanted record once and reports whether none is left.
func (k *keeper) writeWanted(ctx context.Context) bool {
	k.mutex.Lock()
	todo := make(map[fingerprint.Fingerprint]Record, len(k.wanted))
	for hash, record := range k.wanted {
		todo[hash] = record
	}
	k.mutex.Unlock()
	done := true
	for hash, record := range todo {
		if err := k.put(ctx, hash, record); err != nil {
			done = false
			continue
		}
		k.mutex.Lock()
		if k.wanted[hash] == record {
			delete(k.wanted, hash)
		}
		k.mutex.Unlock()
	}
	return done
}

// put writes a record unless one lies there that says as much. A verdict that ended goes
// before one that holds.
func (k *keeper) put(ctx context.Context, hash fingerprint.Fingerprint, record Record) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := k.prefix + hash.String()
	entry, err := k.store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		entry = store.Entry{}
	case err != nil:
		return err
	default:
		there, err := DecodeRecord(entry.Value)
		if err == nil && there.says(record) {
			return nil
		}
	}
	record.Epoch = k.epoch()
	_, err = k.writer.CompareAndSwap(ctx, key, entry.Revision, record.Encode())
	return err
}

// claimTrial notes one more trial in the store. It reports whether this node is the one
// to make it.
func (k *keeper) claimTrial(ctx context.Context, hash fingerprint.Fingerprint, record Record) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	k.mutex.Lock()
	revision := k.revisions[hash]
	k.mutex.Unlock()
	record.Epoch = k.epoch()
	_, err := k.claims.CompareAndSwap(ctx, k.prefix+hash.String(), revision, record.Encode())
	if err != nil {
		// Another node makes it, or the store is away: then nobody does.
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.own[hash] = record
	return true
}

// recordChange is a change of a record in the store.
type recordChange struct {
	hash   fingerprint.Fingerprint
	record Record
}

// change takes changes of the store and returns those that tell a verdict. A record of
// this node's that disappeared is written again.
func (k *keeper) change(entries []store.Entry, holds func(fingerprint.Fingerprint) bool) []recordChange {
	var changes []recordChange
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, entry := range entries {
		name, found := strings.CutPrefix(entry.Key, k.prefix)
		if !found {
			continue
		}
		hash, err := fingerprint.Parse(name)
		if err != nil {
			k.reject(entry, err)
			continue
		}
		if entry.Deleted {
			k.removed(hash, entry.Revision, holds(hash))
			continue
		}
		k.revisions[hash] = entry.Revision
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			k.reject(entry, err)
			continue
		}
		known, found := k.records[hash]
		if found && record.Epoch < entry.Revision.Epoch() && !record.says(known) {
			// The store came back from a copy, which lacks what was written since.
			k.wantAgain(hash, known)
			continue
		}
		k.records[hash] = record
		if record.Lifted {
			delete(k.own, hash)
		}
		changes = append(changes, recordChange{hash: hash, record: record})
	}
	return changes
}

// wantAgain has a record be written again that the store lost, at once if this node wrote it
// and otherwise unless another one does so before. The lock is held.
func (k *keeper) wantAgain(hash fingerprint.Fingerprint, lost Record) {
	if _, own := k.own[hash]; own {
		k.wanted[hash] = lost
		k.signal()
		return
	}
	place, known := k.place()
	if !known {
		return
	}
	time.AfterFunc(epoch.TakeOverDelay(place), func() { k.takeOver(hash, lost) })
}

// takeOver writes a record that is still missing. The write finds out whether it is.
func (k *keeper) takeOver(hash fingerprint.Fingerprint, lost Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.records[hash] != lost {
		return
	}
	k.wanted[hash] = lost
	k.signal()
}

func (k *keeper) reject(entry store.Entry, err error) {
	k.log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error(), Version: uint64(entry.Revision.Number())})
}

// removed takes that a record disappeared, as its lease ran out or the store lost it.
func (k *keeper) removed(hash fingerprint.Fingerprint, revision store.Revision, holds bool) {
	before := k.revisions[hash]
	delete(k.revisions, hash)
	known, found := k.records[hash]
	if found && before.Epoch() < revision.Epoch() && (holds || known.Lifted) {
		k.wantAgain(hash, known)
		return
	}
	delete(k.records, hash)
	record, own := k.own[hash]
	if !own {
		return
	}
	if !holds {
		delete(k.own, hash)
		return
	}
	k.wanted[hash] = record
	k.signal()
}
