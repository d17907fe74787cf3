package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/lab/kvstore"
)

const (
	clusterName = "scale"
	// provisionTime is what a node's provision may take, in a group or while the
	// other groups provision theirs.
	provisionTime = 20 * time.Millisecond
)

// member is a node of the fleet.
type member struct {
	config  HollowConfig
	group   int
	address string
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

func hollowName(index int) string { return fmt.Sprintf("hollow-%04d", index) }

// onGroups asks the groups for their share of the configurations, by order, and
// notes the nodes that they answer with.
func (f *fleet) onGroups(ctx context.Context, path string, configs []HollowConfig, request func([]HollowConfig) any) error {
	batches := make([][]HollowConfig, len(f.groups))
	for index, config := range configs {
		batches[index%len(batches)] = append(batches[index%len(batches)], config)
	}
	var mutex sync.Mutex
	calls, ctx := errgroup.WithContext(ctx)
	for index, batch := range batches {
		calls.Go(func() error {
			answered, err := call[[]StartedNode](ctx, f.groups[index], path, request(batch))
			mutex.Lock()
			defer mutex.Unlock()
			for i, node := range answered {
				f.nodes[node.Name] = member{config: batch[i], group: index, address: node.Address}
				f.lives[node.Name] = lifetime{start: time.Now().UnixMicro()}
			}
			return err
		})
	}
	return calls.Wait()
}

// start starts nodes that know the members from the start.
func (f *fleet) start(ctx context.Context, configs []HollowConfig, known []membership.Member) error {
	at := time.Now().Add(time.Duration(len(known)) * provisionTime)
	return f.onGroups(ctx, "/start", configs, func(batch []HollowConfig) any {
		return startRequest{Nodes: batch, Known: known, At: at.UnixMicro()}
	})
}

// startHollows starts that many nodes. They know each other from the start, as
// nodes do that have compared lists; else their joins alone would keep the
// gossip busy for minutes.
func (f *fleet) startHollows(ctx context.Context, count int) error {
	configs := make([]HollowConfig, count)
	for index := range configs {
		configs[index] = f.config(index)
		configs[index].Incarnation = uint64(time.Now().UnixNano())
		configs[index].BootID = uint64(index) + 1
	}
	err := f.onGroups(ctx, "/reserve", configs, func(batch []HollowConfig) any { return batch })
	if err != nil {
		return err
	}
	known := make([]membership.Member, count)
	for index, config := range configs {
		address := f.nodes[config.Name].address
		known[index] = membership.Member{
			Name:        config.Name,
			Zone:        config.Zone,
			Region:      config.Region,
			PeerAddress: address,
			MeshAddress: address,
			Incarnation: config.Incarnation,
			BootID:      config.BootID,
		}
	}
	for _, config := range configs[:min(count, zoneCount)] {
		f.seeds = append(f.seeds, f.nodes[config.Name].address)
	}
	for index := range configs {
		configs[index].Seeds = f.seeds
	}
	return f.start(ctx, configs, known)
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
	config.Incarnation, config.BootID = 0, 0
	config.Seeds = f.seeds
	if _, err := call[[]StartedNode](ctx, f.groups[ended.group], "/start", startRequest{Nodes: []HollowConfig{config}}); err != nil {
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
	const pollInterval = 500 * time.Millisecond
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

// awaitQuiet waits until no hollow node has a membership change to pass on.
func (f *fleet) awaitQuiet(ctx context.Context, limit time.Duration) (time.Duration, error) {
	return f.await(ctx, "end of membership changes", limit, func(state NodeState) bool { return state.Queued == 0 })
}

// awaitMembers waits until every hollow node knows all live nodes and no other.
func (f *fleet) awaitMembers(ctx context.Context, limit time.Duration) (time.Duration, error) {
	others := f.live() - 1
	return f.await(ctx, "membership", limit, func(state NodeState) bool { return state.Present == others })
}
