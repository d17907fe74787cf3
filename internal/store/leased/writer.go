// Package leased writes entries that the store forgets some time after their writer, each
// under a lease that is granted when it is needed and never renewed.
package leased

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// reusedPart is the part of a lease's time after which no more entries are written under
// it, so that each lasts for nearly all of the time that it was meant to.
const reusedPart = 4

// Writer writes entries under leases of one duration. It is safe for concurrent use.
type Writer struct {
	store    store.Store
	duration time.Duration
	now      func() time.Time

	mutex   sync.Mutex
	lease   store.LeaseID
	granted time.Time
}

// NewWriter returns a writer of entries that last for the duration.
func NewWriter(target store.Store, duration time.Duration, now func() time.Time) *Writer {
	return &Writer{store: target, duration: duration, now: now}
}

// CompareAndSwap writes the key as the store's method of this name does, under a lease.
func (w *Writer) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte) (store.Revision, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lease == store.NoLease || w.now().Sub(w.granted) > w.duration/reusedPart {
		granted := w.now()
		lease, err := w.store.GrantLease(ctx, w.duration)
		if err != nil {
			return 0, err
		}
		w.lease, w.granted = lease, granted
	}
	revision, err := w.store.CompareAndSwap(ctx, key, expected, value, w.lease)
	if errors.Is(err, store.ErrLeaseLost) {
		w.lease = store.NoLease
	}
	return revision, err
}
