package registry

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/leased"
)

// departureWriter writes departures under a lease with a long TTL.
type departureWriter struct {
	epoch  func() store.Epoch
	writer *leased.Writer

	store store.Store
	now   func() time.Time

	// calls serializes the calls to the store.
	calls sync.Mutex

	mutex sync.Mutex
	// written maps each key known to be stored to its entry.
	written map[string]departureEntry
}

// departureEntry is the stored entry of a departure. The revision and the time of the write are zero
// if another process wrote it.
type departureEntry struct {
	epoch     store.Epoch
	revision  store.Revision
	writtenAt time.Time
}

const (
	// departureTTL is how long departures are stored after the last renewal. It exceeds the delay of
	// a departed target's heartbeats.
	departureTTL = 10 * time.Minute
	// departureRenewalAge is the age from which on a departure is renewed if its target still sends
	// heartbeats.
	departureRenewalAge = departureTTL / 2
	// writeTimeout bounds one store call, so that a lost response leaves time for retries.
	writeTimeout    = 400 * time.Millisecond
	writeRetryDelay = 30 * time.Millisecond
)

func newDepartureWriter(kv store.Store, epoch func() store.Epoch, now func() time.Time) *departureWriter {
	return &departureWriter{epoch: epoch, writer: leased.NewWriter(kv, departureTTL, now), store: kv, now: now, written: make(map[string]departureEntry)}
}

// write retries until the departure is known to be stored or the context ends.
func (d *departureWriter) write(ctx context.Context, key string, value []byte) error {
	d.calls.Lock()
	defer d.calls.Unlock()
	if d.isWritten(key) {
		return nil
	}
	var expected store.Revision
	var lastErr error
	for ctx.Err() == nil {
		lastErr = d.tryWrite(ctx, key, expected, value)
		if errors.Is(lastErr, store.ErrConflict) {
			expected, lastErr = d.checkStored(ctx, key, value)
		}
		if lastErr == nil {
			return nil
		}
		pause.For(ctx, writeRetryDelay)
	}
	return errors.Join(ctx.Err(), lastErr)
}

// errOtherValue means that the key holds something else than the departure. All nodes store the
// same value under this key.
var errOtherValue = errors.New("the entry is not the departure")

// checkStored reads the entry after a conflict. The error is nil if another process has stored the
// departure; otherwise the entry is to be replaced at the returned revision.
func (d *departureWriter) checkStored(ctx context.Context, key string, value []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	epoch := d.epoch()
	entry, err := d.store.Get(ctx, key)
	switch {
	case err != nil:
		return 0, err
	case !bytes.Equal(entry.Value, value):
		return entry.Revision, errOtherValue
	}
	d.setWritten(key, departureEntry{epoch: epoch})
	return entry.Revision, nil
}

// tryWrite writes the entry if it has the expected revision.
func (d *departureWriter) tryWrite(ctx context.Context, key string, expected store.Revision, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	epoch, startedAt := d.epoch(), d.now()
	revision, err := d.writer.CompareAndSwap(ctx, key, expected, value)
	if err == nil {
		d.setWritten(key, departureEntry{epoch: epoch, revision: revision, writtenAt: startedAt})
	}
	return err
}

// renew writes a stored departure again if it may expire soon. If that fails, the departure is still
// stored.
func (d *departureWriter) renew(ctx context.Context, key string, value []byte) error {
	d.calls.Lock()
	defer d.calls.Unlock()
	known, found := d.entry(key)
	if !found || d.now().Sub(known.writtenAt) < departureRenewalAge {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if known.revision == 0 {
		entry, err := d.store.Get(ctx, key)
		if err != nil {
			return err
		}
		known.revision = entry.Revision
	}
	err := d.tryWrite(ctx, key, known.revision, value)
	if errors.Is(err, store.ErrConflict) {
		_, err = d.checkStored(ctx, key, value)
	}
	return err
}

// isWritten reports whether the key is known to be stored in the current epoch.
func (d *departureWriter) isWritten(key string) bool {
	known, found := d.entry(key)
	return found && known.epoch == d.epoch()
}

func (d *departureWriter) entry(key string) (departureEntry, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.written[key]
	return known, found
}

func (d *departureWriter) setWritten(key string, entry departureEntry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.written[key] = entry
}

// forget discards what is known of an entry that was removed from the store.
func (d *departureWriter) forget(key string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.written, key)
}
