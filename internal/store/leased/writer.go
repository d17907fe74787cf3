// Package leased writes entries that expire in the store independently of their writer. Each is
// written under a lease that is granted on demand and never renewed.
package leased

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// reuseDivisor bounds the reuse of a lease to duration/reuseDivisor after it was granted, so that
// each entry lasts for nearly the whole duration.
const reuseDivisor = 4

// Writer writes entries under leases of one duration. It is safe for concurrent use.
type Writer struct {
	store    store.Store
	duration time.Duration
	now      func() time.Time

	mutex     sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
}

// NewWriter returns a writer of entries that expire after the duration.
func NewWriter(inner store.Store, duration time.Duration, now func() time.Time) *Writer {
	return &Writer{store: inner, duration: duration, now: now}
}

// CompareAndSwap calls the store's CompareAndSwap with a lease.
func (w *Writer) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte) (store.Revision, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lease == store.NoLease || w.now().Sub(w.grantedAt) > w.duration/reuseDivisor {
		grantedAt := w.now()
		lease, err := w.store.GrantLease(ctx, w.duration)
		if err != nil {
			return 0, err
		}
		w.lease, w.grantedAt = lease, grantedAt
	}
	revision, err := w.store.CompareAndSwap(ctx, key, expected, value, w.lease)
	if errors.Is(err, store.ErrLeaseLost) {
		w.lease = store.NoLease
	}
	return revision, err
}
