// Package configfeed brings configurations into force as they come into the
// node's copy of the store.
//
// The document's own version decides what is in force, never the order in which
// the store tells documents: a store that came back from a copy may tell an older
// one until the operator has written the newest again.
package configfeed

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
)

// Decode reads a configuration document.
type Decode func([]byte) (*routetable.Configuration, error)

// Feed takes configuration documents. It is safe for concurrent use.
type Feed struct {
	key    string
	decode Decode
	holder *routetable.Holder
	log    *eventlog.Log
	now    func() time.Time

	mutex   sync.Mutex
	takenAt time.Time
	// newest is the document in force.
	newest []byte
	// stored is the version that the copy of the store holds, zero if it holds none.
	stored routetable.Version
	// held tells that what the copy of the store says waits, and waiting is what it said
	// last, from source.
	held    bool
	waiting *routetable.Configuration
	source  string
	written []byte
}

// New returns a feed that puts what it finds under the key into the holder.
func New(key string, decode Decode, holder *routetable.Holder, log *eventlog.Log, now func() time.Time) *Feed {
	return &Feed{key: key, decode: decode, holder: holder, log: log, now: now}
}

// Hold has what the copy of the store says wait until Release: a process that starts does
// not know yet whether its peers hold a newer document. It is called before the feed is used.
func (f *Feed) Hold() { f.held = true }

// Release puts in force what waits.
func (f *Feed) Release() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.held = false
	if f.waiting != nil {
		f.take(f.waiting, f.written, f.source)
		f.waiting, f.written = nil, nil
	}
}

// ApplyChanges takes changes of the store that a source told.
func (f *Feed) ApplyChanges(entries []store.Entry, source string) {
	for _, entry := range entries {
		if entry.Key == f.key {
			f.change(entry, source)
		}
	}
}

func (f *Feed) change(entry store.Entry, source string) {
	if entry.Deleted {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.stored = 0
		return
	}
	configuration := f.read(entry.Value, source)
	if configuration == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stored = configuration.Version
	if f.held {
		f.waiting, f.written, f.source = configuration, entry.Value, source
		return
	}
	f.take(configuration, entry.Value, source)
}

// read returns nil for a document that can't be read, which leaves things as they are.
func (f *Feed) read(document []byte, source string) *routetable.Configuration {
	configuration, err := f.decode(document)
	if err != nil {
		f.log.Record(eventlog.Event{Kind: eventlog.ConfigurationRejected, Peer: source, Reason: err.Error()})
		return nil
	}
	return configuration
}

// Offer puts a document in force if it is newer than the one in force. It comes from a peer
// that had it in force, so that it doesn't wait.
func (f *Feed) Offer(document []byte, source string) {
	configuration := f.read(document, source)
	if configuration == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.take(configuration, document, source)
}

func (f *Feed) take(configuration *routetable.Configuration, document []byte, source string) {
	previous := f.holder.Version()
	if !f.holder.Update(configuration) {
		return
	}
	f.takenAt = f.now()
	f.newest = document
	f.log.Record(eventlog.Event{Kind: eventlog.ConfigurationTaken, Peer: source, Version: uint64(configuration.Version),
		Previous: uint64(previous), Count: len(configuration.Routes)})
}

// Version returns the version in force, zero if there is none.
func (f *Feed) Version() uint64 { return uint64(f.holder.Version()) }

// Stored returns the version that the copy of the store holds, zero if it holds none.
func (f *Feed) Stored() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return uint64(f.stored)
}

// Newest returns the document in force as it was written.
func (f *Feed) Newest() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.newest
}

// Age returns how long the configuration has been in force here, zero if there is
// none.
func (f *Feed) Age() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.takenAt.IsZero() {
		return 0
	}
	return f.now().Sub(f.takenAt)
}
