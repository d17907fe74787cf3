package chaos

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/kvstore"
	"github.com/lugspur/lugspur/lab/mesh"
)

const (
	// stopTimeout limits a graceful stop. It is longer than the limit that
	// nodes apply themselves.
	stopTimeout = 40 * time.Second
	// revertTimeout limits the time for ending one fault.
	revertTimeout = 10 * time.Second
	// servingTimeout limits the wait for a node to respond after its start, and
	// servingPollInterval is the interval between status requests.
	servingTimeout      = 10 * time.Second
	servingPollInterval = 50 * time.Millisecond
)

// injector injects faults and ends them. It is safe for concurrent use.
type injector struct {
	cluster   *cluster.ProxiedCluster
	recorder  *recorder
	operators *operators
	callers   *callers

	// mutex guards down and the Process fields of the cluster's nodes.
	mutex sync.Mutex
	// down holds the nodes that are not running or are shutting down.
	down map[string]bool
	// processLocks serializes the faults of each node's process.
	processLocks map[string]*sync.Mutex
}

func newInjector(running *cluster.ProxiedCluster, recorder *recorder, operators *operators, callers *callers) *injector {
	i := &injector{
		cluster:      running,
		recorder:     recorder,
		operators:    operators,
		callers:      callers,
		down:         map[string]bool{},
		processLocks: map[string]*sync.Mutex{},
	}
	for _, node := range running.Nodes {
		i.processLocks[node.Name] = &sync.Mutex{}
	}
	return i
}

// inject injects a fault, waits for its duration and ends it. If the context ends
// first, the fault is ended early, but nodes that were killed or stopped are not
// restarted, and drained targets are not rejoined.
func (i *injector) inject(ctx context.Context, fault Fault) error {
	switch fault.Kind {
	case Kill, Freeze, Stop:
		return i.injectProcess(ctx, fault)
	case PartitionZone, PartitionAll, DropResponses, DropDatagrams:
		return i.injectNetwork(ctx, fault)
	case StoreRefuse, StoreHang, StoreUnavailable, StoreDropResponses:
		return i.injectStore(ctx, fault)
	case Race:
		i.operators.race(ctx, fault.Service, fault.Nodes)
		return nil
	case Drain:
		i.operators.drain(ctx, fault.Target)
		pause.For(ctx, fault.duration())
		i.operators.join(ctx, fault.Target)
		return nil
	case Surge:
		i.callers.setMultiplier(fault.Factor)
		pause.For(ctx, fault.duration())
		i.callers.setMultiplier(1)
		return nil
	}
	return i.injectTarget(ctx, fault)
}

func revertContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), revertTimeout)
}

// networkFaults returns the settings of the proxy in front of a node.
func networkFaults(fault Fault) faultproxy.RouteFaults {
	cut := faultproxy.Faults{Cut: faultproxy.CutBlackhole}
	switch fault.Kind {
	case DropResponses:
		return faultproxy.RouteFaults{ToClient: cut}
	case DropDatagrams:
		return faultproxy.RouteFaults{ToUpstream: faultproxy.Faults{Loss: fault.Factor}}
	}
	return faultproxy.RouteFaults{ToUpstream: cut, ToClient: cut}
}

func (i *injector) injectNetwork(ctx context.Context, fault Fault) error {
	faults := networkFaults(fault)
	var failures []error
	for _, node := range fault.Nodes {
		i.recorder.record(judge.Event{Kind: judge.NetworkFaultBegan, Node: node, Detail: string(fault.Kind)})
		failures = append(failures, i.cluster.Proxies[node].SetFaults(faults.ToUpstream, faults.ToClient))
	}
	pause.For(ctx, fault.duration())
	for _, node := range fault.Nodes {
		i.cluster.Proxies[node].Clear()
		i.recorder.record(judge.Event{Kind: judge.NetworkFaultEnded, Node: node})
	}
	return errors.Join(failures...)
}

func storeControl(fault Fault) kvstore.ControlRequest {
	outages := map[FaultKind]kvstore.Outage{
		StoreRefuse:      kvstore.OutageRefuse,
		StoreHang:        kvstore.OutageHang,
		StoreUnavailable: kvstore.OutageUnavailable,
	}
	if outage, ok := outages[fault.Kind]; ok {
		return kvstore.ControlRequest{Outage: &outage}
	}
	return kvstore.ControlRequest{DropProbability: &fault.Factor}
}

func (i *injector) injectStore(ctx context.Context, fault Fault) error {
	i.recorder.record(judge.Event{Kind: judge.StoreFaultBegan, Detail: string(fault.Kind)})
	failed := i.cluster.StoreControl(ctx, storeControl(fault))
	pause.For(ctx, fault.duration())
	revertCtx, cancel := revertContext(ctx)
	defer cancel()
	cleared := i.cluster.StoreControl(revertCtx, kvstore.ControlRequest{Clear: true})
	i.recorder.record(judge.Event{Kind: judge.StoreFaultEnded})
	return errors.Join(failed, cleared)
}

func targetFaults(fault Fault) emulator.Faults {
	switch fault.Kind {
	case TargetSlow, SlowService:
		return emulator.Faults{SlowFactor: fault.Factor}
	case TargetTruncate:
		return emulator.Faults{TruncateRate: fault.Factor}
	case TargetReset:
		return emulator.Faults{ResetRate: fault.Factor}
	case TargetFreeze:
		return emulator.Faults{FreezeAnswers: true}
	case TargetDown:
		return emulator.Faults{Down: true}
	}
	idle := 0.0
	return emulator.Faults{LoadOverride: &idle, HealthOverride: emulator.Healthy, IgnoreCancellation: true, SlowFactor: fault.Factor}
}

func (i *injector) injectTarget(ctx context.Context, fault Fault) error {
	targets := []string{fault.Target}
	if fault.Kind == SlowService {
		targets = targetsOf(i.cluster.Mesh, fault.Service)
	}
	var failures []error
	for _, target := range targets {
		i.recorder.record(judge.Event{Kind: judge.TargetFaultBegan, Target: target, Detail: string(fault.Kind)})
		failures = append(failures, i.cluster.SetTargetFaults(ctx, target, targetFaults(fault)))
	}
	pause.For(ctx, fault.duration())
	revertCtx, cancel := revertContext(ctx)
	defer cancel()
	for _, target := range targets {
		failures = append(failures, i.cluster.SetTargetFaults(revertCtx, target, emulator.Faults{}))
		i.recorder.record(judge.Event{Kind: judge.TargetFaultEnded, Target: target})
	}
	return errors.Join(failures...)
}

func targetsOf(m *mesh.Mesh, service string) []string {
	var names []string
	for _, target := range m.TargetsOf(service) {
		names = append(names, target.Name)
	}
	return names
}

func (i *injector) injectProcess(ctx context.Context, fault Fault) error {
	name := fault.Nodes[0]
	i.processLocks[name].Lock()
	defer i.processLocks[name].Unlock()
	if ctx.Err() != nil {
		return nil
	}
	node := i.cluster.Nodes[slices.IndexFunc(i.cluster.Nodes, func(n *cluster.Node) bool { return n.Name == name })]
	switch fault.Kind {
	case Freeze:
		i.freeze(ctx, node, fault.duration())
		return nil
	case Kill:
		i.recorder.record(judge.Event{Kind: judge.NodeKilled, Node: name})
		i.processOf(node).Kill()
		return errors.Join(i.redirectMesh(ctx, node, true), i.restart(ctx, node, fault.duration()))
	}
	i.awaitServing(ctx, node)
	redirected := i.redirectMesh(ctx, node, true)
	i.stop(node)
	return errors.Join(redirected, i.restart(ctx, node, fault.duration()))
}

func (i *injector) processOf(node *cluster.Node) *cluster.Process {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return node.Process
}

func (i *injector) freeze(ctx context.Context, node *cluster.Node, length time.Duration) {
	process := i.processOf(node)
	i.recorder.record(judge.Event{Kind: judge.NodeFrozen, Node: node.Name})
	process.Freeze()
	pause.For(ctx, length)
	process.Resume()
	i.recorder.record(judge.Event{Kind: judge.NodeResumed, Node: node.Name})
}

// awaitServing waits until a node responds to status requests. A node that was
// just started does not handle signals before that.
func (i *injector) awaitServing(ctx context.Context, node *cluster.Node) {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	for {
		if _, err := node.Status(ctx); err == nil || !pause.For(ctx, servingPollInterval) {
			return
		}
	}
}

func (i *injector) stop(node *cluster.Node) {
	i.recorder.record(judge.Event{Kind: judge.StopRequested, Node: node.Name, Edge: node.Addresses.Edge})
	ended := judge.Event{Kind: judge.StopEnded, Node: node.Name}
	if err := i.processOf(node).Stop(stopTimeout); err != nil {
		ended.Detail = err.Error()
	}
	i.recorder.record(ended)
}

// restart starts a new process of the node after a delay.
func (i *injector) restart(ctx context.Context, node *cluster.Node, after time.Duration) error {
	if !pause.For(ctx, after) {
		return nil
	}
	i.mutex.Lock()
	i.recorder.record(judge.Event{Kind: judge.NodeStarted, Node: node.Name})
	err := i.cluster.StartNode(node)
	i.mutex.Unlock()
	if err != nil {
		return err
	}
	return i.redirectMesh(ctx, node, false)
}

// redirectMesh records whether a node is down and directs the downstream calls of
// the targets in its zone to a node that is up. If all nodes of the zone are
// down, it leaves the targets unchanged.
func (i *injector) redirectMesh(ctx context.Context, node *cluster.Node, down bool) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.down[node.Name] = down
	for _, candidate := range i.cluster.Nodes {
		if candidate.Zone == node.Zone && !i.down[candidate.Name] {
			return i.cluster.SetMeshAddresses(ctx, map[string]string{node.Zone: candidate.Addresses.Mesh})
		}
	}
	return nil
}
