package etcd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
)

const (
	watchStep = "watch"
	// watchBufferBytes is the initial size of the buffer for one message.
	watchBufferBytes = 4096
)

var (
	errWatchIdle = errors.New("nothing received for too long")
	errClosed    = errors.New("client closed")
)

// Watch implements store.Store. It returns store.ErrUnavailable when the
// connection is lost or idle for too long; the caller watches again from the last
// progress. The service never splits a revision between batches, so the progress
// of a batch is the revision of its last entry.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	keys := keyspan.Prefix(prefix)
	payload, err := json.Marshal(wire.WatchRequest{Create: wire.WatchCreateRequest{
		Key:            []byte(keys.From),
		RangeEnd:       []byte(keys.End),
		StartRevision:  wire.Int64(after + 1),
		ProgressNotify: true,
	}})
	if err != nil {
		return wrap(watchStep, c.endpoint(), err)
	}
	stream := &watchStream{client: c, handler: handler, progress: after}
	var result attemptResult
	for range c.config.Endpoints {
		endpoint := c.endpoint()
		result = stream.attempt(ctx, endpoint, payload)
		result.err = wrap(watchStep, endpoint, result.err)
		if result.failOver {
			c.failOver(endpoint)
		}
		if !result.retry || c.checkUsable(ctx) != nil {
			break
		}
	}
	return result.err
}

// watchStream reads the messages of one watch.
type watchStream struct {
	client   *Client
	handler  func([]store.Entry, store.Revision)
	progress store.Revision
	// idleTimer ends the stream when it expires. It is stopped while the handler
	// runs.
	idleTimer *time.Timer
}

// attempt opens the watch at one endpoint and reads it to its end. Only a watch
// that could not be opened may be retried at the next endpoint at once.
func (w *watchStream) attempt(ctx context.Context, endpoint string, payload []byte) attemptResult {
	if err := w.client.waitForRateLimit(ctx); err != nil {
		return attemptResult{err: err}
	}
	streamContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(w.client.ctx, func() { cancel(errClosed) })()
	w.idleTimer = time.AfterFunc(w.client.config.RequestTimeout, func() { cancel(errWatchIdle) })
	defer w.idleTimer.Stop()

	response, _, err := w.client.send(streamContext, endpoint, wire.PathWatch, payload)
	if err != nil {
		return w.streamError(ctx, streamContext, err, true)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return w.statusResult(ctx, response)
	}
	err = w.read(response.Body)
	if isDefiniteOutcome(err) {
		return attemptResult{err: err}
	}
	return w.streamError(ctx, streamContext, err, false)
}

func (w *watchStream) streamError(ctx, streamContext context.Context, err error, retry bool) attemptResult {
	if cause := context.Cause(streamContext); cause != nil && ctx.Err() == nil {
		err = cause
	}
	return attemptResult{err: withCause(ctx, store.ErrUnavailable, err), failOver: ctx.Err() == nil, retry: retry}
}

func (w *watchStream) statusResult(ctx context.Context, response *http.Response) attemptResult {
	body, err := w.client.readBody(response.Body)
	if err != nil {
		return attemptResult{err: withCause(ctx, store.ErrUnavailable, err), failOver: true, retry: true}
	}
	raw := rawResponse{status: response.StatusCode, header: response.Header, body: body}
	return w.client.classifyStatus(call{step: watchStep}, raw)
}

// read handles messages, one per line, until the stream ends. It always returns
// an error.
func (w *watchStream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	limit := w.client.config.MaxResponseBytes
	lines.Buffer(make([]byte, 0, min(watchBufferBytes, limit)), limit)
	for lines.Scan() {
		w.idleTimer.Stop()
		if err := w.handleLine(lines.Bytes()); err != nil {
			return err
		}
		w.idleTimer.Reset(w.client.config.WatchIdleTimeout)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (w *watchStream) handleLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	var message wire.WatchMessage
	if err := json.Unmarshal(line, &message); err != nil {
		return err
	}
	return w.handleMessage(message)
}

func (w *watchStream) handleMessage(message wire.WatchMessage) error {
	if message.Error != nil {
		return cancelError(message.Error.Message)
	}
	response := message.Result
	if response.CompactRevision > 0 {
		return fmt.Errorf("%w: up to %d", store.ErrCompacted, response.CompactRevision)
	}
	if response.Canceled {
		return cancelError(response.CancelReason)
	}
	if len(response.Events) > 0 {
		w.deliverEvents(response.Events)
		return nil
	}
	if revision := store.Revision(response.Header.Revision); !response.Created && revision >= w.progress {
		w.progress = revision
		w.handler(nil, revision)
	}
	return nil
}

func cancelError(reason string) error {
	if reason == wire.MessageCompacted {
		return store.ErrCompacted
	}
	return errors.New("watch canceled: " + reason)
}

func (w *watchStream) deliverEvents(events []wire.Event) {
	batch := make([]store.Entry, 0, len(events))
	for _, event := range events {
		entry := toEntry(event.KV)
		entry.Deleted = event.Type == wire.EventDelete
		batch = append(batch, entry)
	}
	w.progress = batch[len(batch)-1].Revision
	w.handler(batch, w.progress)
}
