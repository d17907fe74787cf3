package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/lugspur/lugspur/lab/kvstore"
)

const (
	clusterName = "scale"
	// controlTimeout bounds one request to a group's control.
	controlTimeout = time.Minute
	// maxControlBytes bounds an answer of a group's control.
	maxControlBytes = 256 << 20
)

// member is a node of the fleet.
type member struct {
	config  HollowConfig
	group   int
	address string
	real    bool
}

// fleet is the store, the hollow nodes in their groups, and the real nodes.
type fleet struct {
	store  *kvstore.Process
	groups []string
	seeds  []string
	// periodMillis is the time between two heartbeats; zero is the default.
	periodMillis int
	nodes        map[string]member
	lives        map[string]lifetime
	reals        []*realNode
}

func newFleet(store *kvstore.Process, groups []string) *fleet {
	return &fleet{store: store, groups: groups, nodes: map[string]member{}, lives: map[string]lifetime{}}
}

// call asks a group's control.
func call[Answer any](ctx context.Context, address, path string, request any) (Answer, error) {
	var answer Answer
	failed := oops.In("scale").With("step", path).With("peer", address)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	encoded, err := json.Marshal(request)
	if err != nil {
		return answer, failed.Wrap(err)
	}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return answer, failed.Wrap(err)
	}
	response, err := http.DefaultClient.Do(message)
	if err != nil {
		return answer, failed.Wrap(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	if err == nil {
		err = json.Unmarshal(content, &answer)
	}
	return answer, failed.Wrap(err)
}

// callAll asks all groups at once and returns their answers in order.
func callAll[Answer any](ctx context.Context, f *fleet, path string, request any) ([]Answer, error) {
	answers := make([]Answer, len(f.groups))
	calls, ctx := errgroup.WithContext(ctx)
	for index, address := range f.groups {
		calls.Go(func() error {
			answer, err := call[Answer](ctx, address, path, request)
			answers[index] = answer
			return err
		})
	}
	return answers, calls.Wait()
}

func hollowName(index int) string { return fmt.Sprintf("hollow-%04d", index) }

// start starts the nodes of the configurations, spread over the groups by
// their order.
func (f *fleet) start(ctx context.Context, configs []HollowConfig) error {
	batches := make([][]HollowConfig, len(f.groups))
	for index, config := range configs {
		batches[index%len(batches)] = append(batches[index%len(batches)], config)
	}
	var mutex sync.Mutex
	calls, ctx := errgroup.WithContext(ctx)
	for index, batch := range batches {
		calls.Go(func() error {
			started, err := call[[]StartedNode](ctx, f.groups[index], "/start", batch)
			mutex.Lock()
			defer mutex.Unlock()
			for i, node := range started {
				f.nodes[node.Name] = member{config: batch[i], group: index, address: node.Address}
				f.lives[node.Name] = lifetime{start: time.Now().UnixMicro()}
			}
			return err
		})
	}
	return calls.Wait()
}

// startHollows starts that many nodes: one alone, the first of each other zone,
// and the rest, which have the ones before as seeds.
func (f *fleet) startHollows(ctx context.Context, count int) error {
	started := 0
	for _, end := range []int{1, min(count, zoneCount), count} {
		var configs []HollowConfig
		for index := started; index < end; index++ {
			configs = append(configs, f.config(index))
		}
		if err := f.start(ctx, configs); err != nil {
			return err
		}
		for index := started; index < min(end, zoneCount); index++ {
			f.seeds = append(f.seeds, f.nodes[hollowName(index)].address)
		}
		started = end
	}
	return nil
}

func (f *fleet) config(index int) HollowConfig {
	return HollowConfig{
		Name:         hollowName(index),
		Zone:         zoneOf(index),
		Region:       regionOf(index),
		Cluster:      clusterName,
		Seeds:        f.seeds,
		Store:        f.store.Address(),
		PeriodMillis: f.periodMillis,
	}
}

// write changes a target through a node.
func (f *fleet) write(ctx context.Context, node string, targetIndex, warmup int) (written, error) {
	return call[written](ctx, f.groups[f.nodes[node].group], "/write", writeRequest{
		Node:     node,
		Object:   target(targetIndex, warmup),
		ChangeID: fmt.Sprintf("change-%d-%d", targetIndex, warmup),
	})
}

// kill ends a hollow node without a word and returns when.
func (f *fleet) kill(ctx context.Context, node string) (int64, error) {
	return f.end(ctx, node, "/kill")
}

// leave ends a hollow node as planned.
func (f *fleet) leave(ctx context.Context, node string) (int64, error) {
	return f.end(ctx, node, "/leave")
}

func (f *fleet) end(ctx context.Context, node, path string) (int64, error) {
	ended, err := call[stopped](ctx, f.groups[f.nodes[node].group], path, node)
	if err != nil {
		return 0, err
	}
	life := f.lives[node]
	life.end = ended.At
	f.lives[node] = life
	return ended.At, nil
}

// restart starts a node that has ended again, at its address.
func (f *fleet) restart(ctx context.Context, node string) error {
	ended := f.nodes[node]
	config := ended.config
	config.Listen = ended.address
	config.Seeds = f.seeds
	if _, err := call[[]StartedNode](ctx, f.groups[ended.group], "/start", []HollowConfig{config}); err != nil {
		return err
	}
	f.lives[node] = lifetime{start: time.Now().UnixMicro()}
	return nil
}

// live returns how many nodes run, the real ones included.
func (f *fleet) live() int {
	count := len(f.reals)
	for _, life := range f.lives {
		if life.end == 0 {
			count++
		}
	}
	return count
}

// observations returns what the nodes noted since the last time.
func (f *fleet) observations(ctx context.Context) (Observations, error) {
	all := newObservations()
	parts, err := callAll[Observations](ctx, f, "/observations", none{})
	for _, part := range parts {
		all.merge(part)
	}
	return all, err
}

// states returns the states of all hollow nodes by name.
func (f *fleet) states(ctx context.Context, collect bool) (map[string]NodeState, []ProcessState, error) {
	parts, err := callAll[ProcessState](ctx, f, "/state", stateRequest{Collect: collect})
	states := map[string]NodeState{}
	for _, part := range parts {
		for _, state := range part.Nodes {
			states[state.Name] = state
		}
	}
	return states, parts, err
}

var errNotReached = errors.New("the nodes did not get there in time")

// await polls until the condition holds for the state of every hollow node and
// returns how long that took.
func (f *fleet) await(ctx context.Context, what string, limit time.Duration, holds func(NodeState) bool) (time.Duration, error) {
	const pollInterval = 200 * time.Millisecond
	started := time.Now()
	for {
		states, _, err := f.states(ctx, false)
		if err != nil {
			return 0, err
		}
		lagging := 0
		for _, state := range states {
			if !holds(state) {
				lagging++
			}
		}
		if lagging == 0 {
			return time.Since(started), nil
		}
		if time.Since(started) > limit {
			return time.Since(started), oops.In("scale").With("step", what).With("lagging", lagging).
				Wrapf(errNotReached, "%s: %d of %d nodes lag", what, lagging, len(states))
		}
		if err := pause(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}

// awaitReady waits until every hollow node has a configuration.
func (f *fleet) awaitReady(ctx context.Context, limit time.Duration) error {
	_, err := f.await(ctx, "configuration", limit, func(state NodeState) bool { return state.Ready })
	return err
}

// awaitMembers waits until every hollow node knows all live nodes and no other.
func (f *fleet) awaitMembers(ctx context.Context, limit time.Duration) (time.Duration, error) {
	others := f.live() - 1
	return f.await(ctx, "membership", limit, func(state NodeState) bool { return state.Present == others })
}
