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
	errWatchSilent = errors.New("nothing received for too long")
	errClosed      = errors.New("client closed")
)

// Watch implements store.Store. It returns store.ErrUnavailable when the
// connection is lost or silent; the caller watches again from the last
// progress. The batches that the service sends hold whole revisions, so the
// progress of a batch is the revision of its last entry.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	span := keyspan.Prefix(prefix)
	payload, err := json.Marshal(wire.WatchRequest{Create: wire.WatchCreateRequest{
		Key:            []byte(span.From),
		RangeEnd:       []byte(span.End),
		StartRevision:  wire.Int64(after + 1),
		ProgressNotify: true,
	}})
	if err != nil {
		return wrap(watchStep, c.endpoint(), err)
	}
	stream := &watchStream{client: c, handler: handler, progress: after}
	var last verdict
	for range c.config.Endpoints {
		endpoint := c.endpoint()
		last = stream.attempt(ctx, endpoint, payload)
		last.err = wrap(watchStep, endpoint, last.err)
		if last.leave {
			c.leave(endpoint)
		}
		if !last.again || c.usable(ctx) != nil {
			break
		}
	}
	return last.err
}

// watchStream reads one watch.
type watchStream struct {
	client   *Client
	handler  func([]store.Entry, store.Revision)
	progress store.Revision
	// silence ends the stream when it is not reset in time. It does not run
	// while the handler does.
	silence *time.Timer
}

// attempt opens the watch at one endpoint and reads it to its end. Only a
// watch that was not opened may go to the next endpoint at once.
func (w *watchStream) attempt(ctx context.Context, endpoint string, payload []byte) verdict {
	if err := w.client.awaitTurn(ctx); err != nil {
		return verdict{err: err}
	}
	streamContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(w.client.lifetime, func() { cancel(errClosed) })()
	w.silence = time.AfterFunc(w.client.config.RequestTimeout, func() { cancel(errWatchSilent) })
	defer w.silence.Stop()

	response, _, err := w.client.send(streamContext, endpoint, wire.PathWatch, payload)
	if err != nil {
		return w.interrupted(ctx, streamContext, err, true)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return w.refused(ctx, response)
	}
	err = w.read(response.Body)
	if isOutcome(err) {
		return verdict{err: err}
	}
	return w.interrupted(ctx, streamContext, err, false)
}

func (w *watchStream) interrupted(ctx, streamContext context.Context, err error, again bool) verdict {
	if cause := context.Cause(streamContext); cause != nil && ctx.Err() == nil {
		err = cause
	}
	return verdict{err: becauseOf(ctx, store.ErrUnavailable, err), leave: ctx.Err() == nil, again: again}
}

func (w *watchStream) refused(ctx context.Context, response *http.Response) verdict {
	body, err := w.client.readBody(response.Body)
	if err != nil {
		return verdict{err: becauseOf(ctx, store.ErrUnavailable, err), leave: true, again: true}
	}
	answer := reply{status: response.StatusCode, header: response.Header, body: body}
	return w.client.refusal(call{step: watchStep}, answer)
}

// read handles messages, one a line, until the stream ends; it always returns
// an error.
func (w *watchStream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	limit := w.client.config.MaxResponseBytes
	lines.Buffer(make([]byte, 0, min(watchBufferBytes, limit)), limit)
	for lines.Scan() {
		w.silence.Stop()
		if err := w.handleLine(lines.Bytes()); err != nil {
			return err
		}
		w.silence.Reset(w.client.config.WatchIdleTimeout)
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
	return w.handle(message)
}

func (w *watchStream) handle(message wire.WatchMessage) error {
	if message.Error != nil {
		return ended(message.Error.Message)
	}
	response := message.Result
	if response.CompactRevision > 0 {
		return fmt.Errorf("%w: up to %d", store.ErrCompacted, response.CompactRevision)
	}
	if response.Canceled {
		return ended(response.CancelReason)
	}
	if len(response.Events) > 0 {
		w.deliver(response.Events)
		return nil
	}
	if revision := store.Revision(response.Header.Revision); !response.Created && revision >= w.progress {
		w.progress = revision
		w.handler(nil, revision)
	}
	return nil
}

func ended(reason string) error {
	if reason == wire.MessageCompacted {
		return store.ErrCompacted
	}
	return errors.New("watch canceled: " + reason)
}

func (w *watchStream) deliver(events []wire.Event) {
	batch := make([]store.Entry, 0, len(events))
	for _, event := range events {
		entry := entryOf(event.KV)
		entry.Deleted = event.Type == wire.EventDelete
		batch = append(batch, entry)
	}
	w.progress = batch[len(batch)-1].Revision
	w.handler(batch, w.progress)
}
