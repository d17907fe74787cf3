// Package configfeed applies configurations that arrive in the node's copy of the store.
//
// The version in the document decides which configuration applies, not the order in which the
// store delivers documents: a store that was restored from a backup may deliver an older one
// until the operator has written the newest again.
package configfeed

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
)

// Decode parses a configuration document.
type Decode func([]byte) (*routetable.Configuration, error)

// Feed applies configuration documents to a holder. It is safe for concurrent use.
type Feed struct {
	key    string
	decode Decode
	holder *routetable.Holder
	log    *eventlog.Log
	now    func() time.Time

	mutex     sync.Mutex
	appliedAt time.Time
	// document is the applied document in its encoded form.
	document []byte
	// storedVersion is the version in the copy of the store, zero if there is none or the document
	// there is invalid, as storedInvalid tells.
	storedVersion routetable.Version
	storedInvalid bool
	// onHold is set from Hold until Release. Until then, pending is the newest configuration from
	// the copy of the store, pendingDocument its encoded form and pendingSource its source.
	onHold          bool
	pending         *routetable.Configuration
	pendingSource   string
	pendingDocument []byte
}

// New returns a feed that applies the documents stored under the key to the holder.
func New(key string, decode Decode, holder *routetable.Holder, log *eventlog.Log, now func() time.Time) *Feed {
	return &Feed{key: key, decode: decode, holder: holder, log: log, now: now}
}

// Hold keeps configurations from the copy of the store pending until Release: a starting
// process does not know yet whether its peers hold a newer document. It must be called before
// the feed is used.
func (f *Feed) Hold() { f.onHold = true }

// Release applies the pending configuration. Later ones are applied as they arrive.
func (f *Feed) Release() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onHold = false
	if f.pending != nil {
		f.apply(f.pending, f.pendingDocument, f.pendingSource)
		f.pending, f.pendingDocument = nil, nil
	}
}

// ApplyChanges handles changes of the store; source is the store or the peer that sent them.
func (f *Feed) ApplyChanges(entries []store.Entry, source string) {
	for _, entry := range entries {
		if entry.Key == f.key {
			f.applyEntry(entry, source)
		}
	}
}

func (f *Feed) applyEntry(entry store.Entry, source string) {
	if entry.Deleted {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.storedVersion, f.storedInvalid = 0, false
		return
	}
	configuration := f.parse(entry.Value, source)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.storedInvalid = configuration == nil
	if configuration == nil {
		f.storedVersion = 0
		return
	}
	f.storedVersion = configuration.Version
	if f.onHold {
		f.keepPending(configuration, entry.Value, source)
		return
	}
	f.apply(configuration, entry.Value, source)
}

// keepPending keeps a configuration until Release, unless a newer one is pending.
func (f *Feed) keepPending(configuration *routetable.Configuration, document []byte, source string) {
	if f.pending != nil && configuration.Version <= f.pending.Version {
		return
	}
	f.pending, f.pendingDocument, f.pendingSource = configuration, document, source
}

// parse returns nil for an invalid document, which is logged and otherwise ignored.
func (f *Feed) parse(document []byte, source string) *routetable.Configuration {
	configuration, err := f.decode(document)
	if err != nil {
		f.log.Record(eventlog.Event{Kind: eventlog.ConfigurationRejected, Peer: source, Reason: err.Error()})
		return nil
	}
	return configuration
}

// Offer applies a peer's document if it is newer than the applied one. Hold does not delay it,
// because the peer has already applied it.
func (f *Feed) Offer(document []byte, source string) {
	configuration := f.parse(document, source)
	if configuration == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.apply(configuration, document, source)
}

func (f *Feed) apply(configuration *routetable.Configuration, document []byte, source string) {
	previous := f.holder.Version()
	if !f.holder.Update(configuration) {
		return
	}
	f.appliedAt = f.now()
	f.document = document
	f.log.Record(eventlog.Event{Kind: eventlog.ConfigurationTaken, Peer: source, Version: uint64(configuration.Version),
		Previous: uint64(previous), Count: len(configuration.Routes)})
}

// Version returns the applied version, zero if there is none.
func (f *Feed) Version() uint64 { return uint64(f.holder.Version()) }

// StoredVersion returns the version in the copy of the store, zero if there is none.
func (f *Feed) StoredVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return uint64(f.storedVersion)
}

// storedIsOlder reports whether the copy of the store holds an older document than the applied one. An
// invalid document is not older: the store has not lost the one before.
func (f *Feed) storedIsOlder() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.storedInvalid && f.storedVersion < f.holder.Version()
}

// Encoded returns the applied document in its encoded form.
func (f *Feed) Encoded() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.document
}

// Age returns the time since this node applied the current configuration, zero if there is none.
func (f *Feed) Age() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.appliedAt.IsZero() {
		return 0
	}
	return f.now().Sub(f.appliedAt)
}
