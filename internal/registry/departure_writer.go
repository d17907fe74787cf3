package registry

import (
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

	mutex sync.Mutex
	// written maps each key known to be stored to the store epoch of its write.
	written map[string]store.Epoch
}

const (
	// departureTTL is how long departures are stored. It exceeds the time for which a departed
	// target may still send heartbeats.
	departureTTL = 10 * time.Minute
	// writeTimeout bounds one store call, so that a lost response leaves time for retries.
	writeTimeout    = 400 * time.Millisecond
	writeRetryDelay = 30 * time.Millisecond
)

func newDepartureWriter(kv store.Store, epoch func() store.Epoch, now func() time.Time) *departureWriter {
	return &departureWriter{epoch: epoch, writer: leased.NewWriter(kv, departureTTL, now), written: make(map[string]store.Epoch)}
}

// write retries until the departure is known to be stored or the context ends.
func (d *departureWriter) write(ctx context.Context, key string, value []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if epoch, found := d.written[key]; found && epoch == d.epoch() {
		return nil
	}
	var lastErr error
	for ctx.Err() == nil {
		epoch := d.epoch()
		lastErr = d.tryWrite(ctx, key, value)
		if lastErr == nil {
			d.written[key] = epoch
			return nil
		}
		pause.For(ctx, writeRetryDelay)
	}
	return errors.Join(ctx.Err(), lastErr)
}

func (d *departureWriter) tryWrite(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := d.writer.CompareAndSwap(ctx, key, 0, value)
	if errors.Is(err, store.ErrConflict) {
		// All writers store the same value under this key.
		return nil
	}
	return err
}
