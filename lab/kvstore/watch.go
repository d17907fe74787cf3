package kvstore

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

const (
	// watchBatchEvents is the maximum number of events of one watch message.
	watchBatchEvents = 500
	// leasePollInterval is the interval at which a watch checks for expired leases.
	leasePollInterval = 50 * time.Millisecond
)

// watchStream is one watch on one connection.
type watchStream struct {
	server         *Server
	span           keyspan.Span
	after          store.Revision
	progressNotify bool
	encoder        *json.Encoder
	flusher        *http.ResponseController
	cut            <-chan struct{}
	lastSent       time.Time
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request wire.WatchRequest
	if !s.admit(w, r, &request) {
		return
	}
	stream := s.newWatchStream(w, request.Create)
	s.counters.watches.Add(1)
	defer s.counters.watches.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	if stream.send(wire.WatchResponse{Header: header(s.store.Revision()), Created: true}) != nil {
		return
	}
	stream.run(r)
}

func (s *Server) newWatchStream(w http.ResponseWriter, create wire.WatchCreateRequest) *watchStream {
	after := store.Revision(create.StartRevision) - 1
	if create.StartRevision <= 0 {
		after = s.store.Revision()
	}
	return &watchStream{
		server:         s,
		span:           span(create.Key, create.RangeEnd),
		after:          after,
		progressNotify: create.ProgressNotify,
		encoder:        json.NewEncoder(w),
		flusher:        http.NewResponseController(w),
		cut:            s.faults.watchCut(),
	}
}

// run sends changes until the client disconnects, the history has been compacted
// or a fault cuts the watch, which aborts the connection.
func (w *watchStream) run(r *http.Request) {
	poll := time.NewTicker(min(leasePollInterval, w.server.config.ProgressInterval))
	defer poll.Stop()
	for {
		faults, faultsChanged := w.server.faults.currentFaults()
		changed := w.server.store.Changed()
		switch faults.Outage {
		case OutageRefuse, OutageUnavailable:
			abort()
		case OutageHang:
			changed = nil
		default:
			more, err := w.sendChanges()
			if err != nil {
				return
			}
			if more {
				continue
			}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-poll.C:
		case <-r.Context().Done():
			return
		case <-w.cut:
			abort()
		case <-w.server.closing:
			abort()
		}
	}
}

// sendChanges sends the changes since the last message and reports whether more may
// be available immediately.
func (w *watchStream) sendChanges() (more bool, err error) {
	batch, err := w.server.store.EventsAfter(w.span, w.after, watchBatchEvents)
	if errors.Is(err, store.ErrCompacted) {
		return false, errors.Join(err, w.sendCompacted())
	}
	if err != nil {
		return false, err
	}
	response := wire.WatchResponse{Header: header(batch.Current)}
	for _, event := range batch.Events {
		response.Events = append(response.Events, wireEvent(event))
	}
	w.after = batch.Through
	switch {
	case len(response.Events) > 0:
		w.server.applyLatency()
		return true, w.send(response)
	case w.progressNotify && time.Since(w.lastSent) >= w.server.config.ProgressInterval:
		return false, w.send(response)
	default:
		return false, nil
	}
}

func (w *watchStream) sendCompacted() error {
	current := w.server.store.Revision()
	return w.send(wire.WatchResponse{
		Header:          header(current),
		Canceled:        true,
		CompactRevision: wire.Int64(current),
		CancelReason:    wire.MessageCompacted,
	})
}

func (w *watchStream) send(response wire.WatchResponse) error {
	w.lastSent = time.Now()
	if err := w.encoder.Encode(wire.WatchMessage{Result: response}); err != nil {
		return err
	}
	return w.flusher.Flush()
}

func wireEvent(event mvcc.Event) wire.Event {
	if event.Deleted {
		return wire.Event{Type: wire.EventDelete, KV: keyValue(event.KeyValue)}
	}
	return wire.Event{KV: keyValue(event.KeyValue)}
}
