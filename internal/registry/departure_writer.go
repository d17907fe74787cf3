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

// departureWriter writes departures under a long lease.
type departureWriter struct {
	epoch  func() store.Epoch
	writer *leased.Writer

	mutex sync.Mutex
	// written are the keys that are known to be there, with the epoch of the store.
	written map[string]store.Epoch
}

const (
	// departureTTL is how long a departure is remembered. No target that left
	// sends heartbeats for so long.
	departureTTL = 10 * time.Minute
	// writeTimeout bounds one call, so that a lost answer leaves time for others.
	writeTimeout = 400 * time.Millisecond
	writePause   = 30 * time.Millisecond
)

func newDepartureWriter(target store.Store, epoch func() store.Epoch, now func() time.Time) *departureWriter {
	return &departureWriter{epoch: epoch, writer: leased.NewWriter(target, departureTTL, now), written: make(map[string]store.Epoch)}
}

// write writes the departure until it is known to be there or the context ends.
func (d *departureWriter) write(ctx context.Context, key string, value []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if epoch, found := d.written[key]; found && epoch == d.epoch() {
		return nil
	}
	var failure error
	for ctx.Err() == nil {
		epoch := d.epoch()
		failure = d.try(ctx, key, value)
		if failure == nil {
			d.written[key] = epoch
			return nil
		}
		pause.For(ctx, writePause)
	}
	return errors.Join(ctx.Err(), failure)
}

func (d *departureWriter) try(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := d.writer.CompareAndSwap(ctx, key, 0, value)
	if errors.Is(err, store.ErrConflict) {
		// Nobody writes anything else under the key.
		return nil
	}
	return err
}
