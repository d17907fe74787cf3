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

// Probabilities of the operations in each step of a client. The remaining steps
// read an object.
const (
	putProbability         = 0.45
	deleteProbability      = 0.10
	readHistoryProbability = 0.10
	// resolveProbability is the probability that a client with writes of unknown
	// outcome queries the outcome of one of them instead.
	resolveProbability = 0.5
)

const (
	// maxPause limits the random pause before each step of a client.
	maxPause = 20 * time.Millisecond
	// resolveRounds is the maximum number of final queries for the outcome of each
	// unresolved write.
	resolveRounds = 4
)

// Workload configures clients that concurrently read and write the same objects
// at random nodes.
type Workload struct {
	Nodes   []*Node
	Objects []string
	Clients int
	// Steps limits the number of operations of each client.
	Steps int
	// RequestTimeout limits the duration of a request; a node may process a write
	// for longer.
	RequestTimeout time.Duration
	Token          string
	Seed           uint64
	Recorder       *Recorder
}

// Run runs the clients until the context ends or they have completed all steps.
// Operations in progress are completed. Run returns an error if a response
// violates the API.
func (w Workload) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for id := range w.Clients {
		group.Go(func() error { return w.newWorker(id).run(groupCtx) })
	}
	return group.Wait()
}

// NewClient returns a client of the workload. Run uses the IDs below Clients.
func (w Workload) NewClient(id int) *Client {
	return &Client{ID: id, HTTP: &http.Client{Timeout: w.RequestTimeout}, Token: w.Token, Recorder: w.Recorder}
}

// worker is one running client.
type worker struct {
	Workload
	client *Client
	random *rand.Rand
	// revisions holds the last revision of each object that the worker observed;
	// zero if the object was absent.
	revisions   map[string]store.Revision
	unresolved  []Write
	changeCount int
}

func (w Workload) newWorker(id int) *worker {
	return &worker{
		Workload:  w,
		client:    w.NewClient(id),
		random:    rand.New(rand.NewPCG(w.Seed, uint64(id))),
		revisions: map[string]store.Revision{},
	}
}

func (w *worker) run(ctx context.Context) error {
	for range w.Steps {
		if !pause.For(ctx, time.Duration(w.random.Int64N(int64(maxPause)))) {
			return nil
		}
		// A started operation isn't canceled, so that its outcome is recorded.
		if err := w.step(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) step(ctx context.Context) error {
	node, object := choose(w.random, w.Nodes), choose(w.random, w.Objects)
	if len(w.unresolved) > 0 && w.random.Float64() < resolveProbability {
		return w.resolve(ctx, node)
	}
	switch draw := w.random.Float64(); {
	case draw < putProbability:
		written, err := w.client.Put(ctx, node, object, w.nextChangeID(), w.revisions[object])
		return w.recordWrite(written, err)
	case draw < putProbability+deleteProbability && w.revisions[object] != 0:
		written, err := w.client.Delete(ctx, node, object, w.nextChangeID(), w.revisions[object])
		return w.recordWrite(written, err)
	case draw > 1-readHistoryProbability:
		version, answered, err := w.client.ReadHistory(ctx, node, object)
		return w.recordRead(object, version, answered, err)
	}
	version, answered, err := w.client.Read(ctx, node, object)
	return w.recordRead(object, version, answered, err)
}

func choose[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (w *worker) nextChangeID() string {
	w.changeCount++
	return fmt.Sprintf("client-%d-change-%d", w.client.ID, w.changeCount)
}

func (w *worker) recordRead(object string, version Version, answered bool, err error) error {
	if !answered || err != nil {
		return err
	}
	w.revisions[object] = version.Revision
	if version.Deleted {
		w.revisions[object] = 0
	}
	return nil
}

// recordWrite records the outcome of a write.
func (w *worker) recordWrite(written Write, err error) error {
	switch {
	case err != nil:
		return err
	case written.Outcome == admin.OutcomeAccepted && written.Deletes:
		w.revisions[written.Object] = 0
	case written.Outcome == admin.OutcomeAccepted:
		w.revisions[written.Object] = written.Revision
	case written.Outcome == admin.OutcomeUnknown:
		w.unresolved = append(w.unresolved, written)
	}
	return nil
}

// resolve queries the outcome of the first write in the queue of unresolved
// writes. If the outcome is still unknown, the write goes to the end of the queue.
func (w *worker) resolve(ctx context.Context, node *Node) error {
	write := w.unresolved[0]
	w.unresolved = w.unresolved[1:]
	outcome, err := w.client.Resolve(ctx, node, write)
	if outcome == admin.OutcomeUnknown {
		w.unresolved = append(w.unresolved, write)
	}
	return err
}

// ResolveUnknown queries different nodes for the outcome of each unresolved write. Writes
// that no node can resolve stay unknown.
func (w Workload) ResolveUnknown(ctx context.Context, client *Client) error {
	for round := range resolveRounds {
		for index, write := range w.Recorder.History().Unresolved() {
			node := w.Nodes[(round+index)%len(w.Nodes)]
			if _, err := client.Resolve(ctx, node, write); err != nil {
				return err
			}
		}
	}
	return nil
}
