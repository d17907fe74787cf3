package linear

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store"
)

// Shares of what a client does, out of all its steps.
const (
	putShare         = 0.45
	deleteShare      = 0.10
	readHistoryShare = 0.10
	// resolveShare is how often a client that has writes of unknown outcome asks
	// for one of them.
	resolveShare = 0.5
)

const (
	// maxPause bounds the pause between two steps of a client.
	maxPause = 20 * time.Millisecond
	// settleRounds is how often Settle asks for a write at most.
	settleRounds = 4
)

// Workload is a number of clients that read and write the same objects at
// random nodes.
type Workload struct {
	Nodes   []*Node
	Objects []string
	Clients int
	// Steps bounds what each client does.
	Steps int
	// RequestTimeout bounds a request; a node may work on a write for longer.
	RequestTimeout time.Duration
	Token          string
	Seed           uint64
	Recorder       *Recorder
}

// Run runs the clients until the context ends or their steps are done. The
// operations that are under way are finished. The error is an answer that
// breaks the API's form.
func (w Workload) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for id := range w.Clients {
		group.Go(func() error { return w.newWorker(id).run(groupCtx) })
	}
	return group.Wait()
}

// NewClient returns a client of the workload, which is not one that Run runs
// if its id is not below Clients.
func (w Workload) NewClient(id int) *Client {
	return &Client{ID: id, HTTP: &http.Client{Timeout: w.RequestTimeout}, Token: w.Token, Recorder: w.Recorder}
}

// worker is one running client.
type worker struct {
	Workload
	client *Client
	random *rand.Rand
	// known is the revision of each object that the worker saw last.
	known   map[string]store.Revision
	unknown []Write
	changes int
}

func (w Workload) newWorker(id int) *worker {
	return &worker{
		Workload: w,
		client:   w.NewClient(id),
		random:   rand.New(rand.NewPCG(w.Seed, uint64(id))),
		known:    map[string]store.Revision{},
	}
}

func (w *worker) run(ctx context.Context) error {
	for range w.Steps {
		if !pause.For(ctx, time.Duration(w.random.Int64N(int64(maxPause)))) {
			return nil
		}
		// What was sent is waited for, so that its outcome is recorded.
		if err := w.step(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) step(ctx context.Context) error {
	node, object := choose(w.random, w.Nodes), choose(w.random, w.Objects)
	if len(w.unknown) > 0 && w.random.Float64() < resolveShare {
		return w.resolve(ctx, node)
	}
	switch draw := w.random.Float64(); {
	case draw < putShare:
		written, err := w.client.Put(ctx, node, object, w.nextChange(), w.known[object])
		return w.after(written, err)
	case draw < putShare+deleteShare && w.known[object] != 0:
		written, err := w.client.Delete(ctx, node, object, w.nextChange(), w.known[object])
		return w.after(written, err)
	case draw > 1-readHistoryShare:
		version, answered, err := w.client.ReadHistory(ctx, node, object)
		return w.seen(object, version, answered, err)
	}
	version, answered, err := w.client.Read(ctx, node, object)
	return w.seen(object, version, answered, err)
}

func choose[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (w *worker) nextChange() string {
	w.changes++
	return fmt.Sprintf("client-%d-change-%d", w.client.ID, w.changes)
}

func (w *worker) seen(object string, version Version, answered bool, err error) error {
	if !answered || err != nil {
		return err
	}
	w.known[object] = version.Revision
	if version.Deleted {
		w.known[object] = 0
	}
	return nil
}

// after notes the outcome of a write.
func (w *worker) after(written Write, err error) error {
	switch {
	case err != nil:
		return err
	case written.Outcome == admin.OutcomeAccepted && written.Deletes:
		w.known[written.Object] = 0
	case written.Outcome == admin.OutcomeAccepted:
		w.known[written.Object] = written.Revision
	case written.Outcome == admin.OutcomeUnknown:
		w.unknown = append(w.unknown, written)
	}
	return nil
}

// resolve asks for the oldest write of unknown outcome. If nobody can tell, it
// becomes the newest.
func (w *worker) resolve(ctx context.Context, node *Node) error {
	asked := w.unknown[0]
	w.unknown = w.unknown[1:]
	outcome, err := w.client.Resolve(ctx, node, asked)
	if outcome == admin.OutcomeUnknown {
		w.unknown = append(w.unknown, asked)
	}
	return err
}

// Settle asks different nodes for the writes of unknown outcome. Those that no
// node can tell stay unknown.
func (w Workload) Settle(ctx context.Context, client *Client) error {
	for round := range settleRounds {
		for index, write := range w.Recorder.History().Unresolved() {
			node := w.Nodes[(round+index)%len(w.Nodes)]
			if _, err := client.Resolve(ctx, node, write); err != nil {
				return err
			}
		}
	}
	return nil
}
