package test

import (
	"context"
	"flag"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/kvstore"
	"github.com/lugspur/lugspur/lab/linear"
)

var linearizabilitySeed = flag.Uint64("linearizability-seed", 1, "seed of the linearizability test's clients and faults")

const (
	writers = 4
	// writerSteps bounds the steps of each client.
	writerSteps = 2000
	// writerTimeout is shorter than the time a node spends on a write, so that clients give
	// up on some writes whose outcome is undecided.
	writerTimeout = 400 * time.Millisecond
	// peerJitter is large enough to reorder messages between nodes.
	peerJitter = 150 * time.Millisecond
	// readTimeout bounds a request after the faults.
	readTimeout = 5 * time.Second
)

// linearizabilityTest is the state of the test.
type linearizabilityTest struct {
	running  *cluster.ProxiedCluster
	workload linear.Workload
	random   *rand.Rand
}

// TestConfigurationIsLinearizable has clients write the same objects through different
// nodes while the store and nodes fail, and checks all answers for linearizability.
func TestConfigurationIsLinearizable(t *testing.T) {
	running := startProxied(t, "-store-requests-per-second", "200")
	h := &linearizabilityTest{running: running, random: rand.New(rand.NewPCG(*linearizabilitySeed, *linearizabilitySeed))}
	h.workload = linear.Workload{
		Objects:        []string{"back", "lonely", "narrow"},
		Clients:        writers,
		Steps:          writerSteps,
		RequestTimeout: writerTimeout,
		Token:          cluster.Token,
		Seed:           *linearizabilitySeed,
		Recorder:       linear.NewRecorder(),
	}
	for _, node := range running.Nodes {
		h.workload.Nodes = append(h.workload.Nodes, &linear.Node{Name: node.Name, Address: node.Addresses.Admin})
	}
	h.runWithFaults(t)
	reader := h.workload.NewClient(writers)
	reader.HTTP.Timeout = readTimeout
	h.converge(t, reader)
	assert.NilError(t, h.workload.ResolveUnknown(t.Context(), reader))
	h.check(t)
}

// startProxied runs the small mesh with two nodes in each zone, connected through fault
// proxies.
func startProxied(t *testing.T, flags ...string) *cluster.ProxiedCluster {
	t.Helper()
	running, err := cluster.StartProxied(t.Context(), cluster.Config{
		Lugspur:      program("lugspur"),
		Lab:          program("lugspur-lab"),
		MeshFile:     meshFile,
		Directory:    logDirectory(t),
		NodesPerZone: 2,
		NodeFlags:    flags,
		Seed:         *linearizabilitySeed,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, running.Stop()) })
	return running
}

// runWithFaults runs the clients until the last fault is cleared.
func (h *linearizabilityTest) runWithFaults(t *testing.T) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- h.workload.Run(ctx) }()
	h.injectFaults(t)
	stop()
	assert.NilError(t, <-done)
}

// injectFaults injects the faults in sequence, for about 5 s. The store hangs and a node
// is frozen for longer than clients wait for an answer.
func (h *linearizabilityTest) injectFaults(t *testing.T) {
	t.Helper()
	dropped := 0.2
	h.controlStore(t, kvstore.ControlRequest{DropProbability: &dropped})
	h.disturbPeers(t, faultproxy.Faults{Jitter: peerJitter, Loss: 0.1})
	victims := h.random.Perm(len(h.running.Nodes))
	h.pause(500)
	h.outage(t, kvstore.OutageHang, 1000)
	h.pause(300)
	h.restart(t, victims[0])
	h.outage(t, kvstore.OutageRefuse, 400)
	h.pause(300)
	h.freeze(victims[1], 1000)
	h.controlStore(t, kvstore.ControlRequest{CutWatches: true})
	h.pause(300)
	h.outage(t, kvstore.OutageHang, 1000)
	h.pause(200)
	h.controlStore(t, kvstore.ControlRequest{Clear: true})
	h.disturbPeers(t, faultproxy.Faults{})
}

// disturbPeers sets the faults of the traffic between nodes.
func (h *linearizabilityTest) disturbPeers(t *testing.T, faults faultproxy.Faults) {
	t.Helper()
	for _, proxy := range h.running.Proxies {
		assert.NilError(t, proxy.SetFaults(faults, faultproxy.Faults{}))
	}
}

func (h *linearizabilityTest) controlStore(t *testing.T, request kvstore.ControlRequest) {
	t.Helper()
	assert.NilError(t, h.running.StoreControl(t.Context(), request))
}

// pause sleeps for a random time between half and all of the given one while the
// clients run.
func (h *linearizabilityTest) pause(millis int) {
	time.Sleep(time.Duration(millis/2+h.random.IntN(millis/2)) * time.Millisecond)
}

func (h *linearizabilityTest) outage(t *testing.T, outage kvstore.Outage, millis int) {
	t.Helper()
	none := kvstore.OutageNone
	h.controlStore(t, kvstore.ControlRequest{Outage: &outage})
	h.pause(millis)
	h.controlStore(t, kvstore.ControlRequest{Outage: &none})
}

func (h *linearizabilityTest) restart(t *testing.T, index int) {
	t.Helper()
	node := h.running.Nodes[index]
	node.Kill()
	h.workload.Nodes[index].RecordExit()
	h.pause(400)
	assert.NilError(t, h.running.StartNode(node))
}

func (h *linearizabilityTest) freeze(index, millis int) {
	node := h.running.Nodes[index]
	node.Freeze()
	h.pause(millis)
	node.Resume()
}

// converge waits until every node has reached the store's final revision and returns the
// same versions.
func (h *linearizabilityTest) converge(t *testing.T, client *linear.Client) {
	t.Helper()
	started := time.Now()
	eventually(t, propagationTimeout, "the store's final revision at every node", func() bool {
		return h.converged(t, client)
	})
	t.Logf("converged %s after the last client", time.Since(started).Round(time.Millisecond))
}

// converged reports whether all nodes have applied the store's revision and agree. If the
// revision is the same after the reads, their results are the current versions.
func (h *linearizabilityTest) converged(t *testing.T, client *linear.Client) bool {
	t.Helper()
	since := h.workload.Recorder.Elapsed()
	before := h.storeRevision(t)
	if !h.completeUpTo(t, before) || !h.nodesAgree(t, client) || h.storeRevision(t) != before {
		return false
	}
	h.workload.Recorder.MarkFresh(client.ID, since)
	return true
}

func (h *linearizabilityTest) storeRevision(t *testing.T) int64 {
	t.Helper()
	status, err := h.running.StoreStatus(t.Context())
	assert.NilError(t, err)
	return status.Revision
}

func (h *linearizabilityTest) completeUpTo(t *testing.T, revision int64) bool {
	for _, node := range h.running.Nodes {
		status, err := node.Status(t.Context())
		if err != nil || int64(status.Node.ConfigurationFloor) < revision {
			return false
		}
	}
	return true
}

// nodesAgree reads every object at every node and reports whether all return the same
// version.
func (h *linearizabilityTest) nodesAgree(t *testing.T, client *linear.Client) bool {
	t.Helper()
	versions := map[string]linear.Version{}
	agreed := true
	for _, object := range h.workload.Objects {
		for index, node := range h.workload.Nodes {
			version, answered, err := client.Read(t.Context(), node, object)
			assert.NilError(t, err)
			if index == 0 {
				versions[object] = version
			}
			agreed = agreed && answered && version == versions[object]
		}
	}
	return agreed
}

// check checks the history for linearizability, and that it contains every kind of
// outcome.
func (h *linearizabilityTest) check(t *testing.T) {
	t.Helper()
	recorded := h.workload.Recorder.History()
	checked := linear.Check(recorded)
	outcomes := map[admin.Outcome]int{}
	for _, write := range recorded.Writes {
		outcomes[write.Outcome]++
	}
	status, err := h.running.StoreStatus(t.Context())
	assert.NilError(t, err)
	t.Logf("seed %d: %d writes accepted, %d refused, %d unknown (%d unresolved); %d reads; %d answers dropped; order %s",
		*linearizabilitySeed, outcomes[admin.OutcomeAccepted], outcomes[admin.OutcomeRefused], outcomes[admin.OutcomeUnknown],
		len(recorded.Unresolved()), len(recorded.Reads), status.ResponsesDropped, checked.Linearizability)
	if !checked.OK() {
		h.reportViolations(t, checked)
	}
	assert.Assert(t, outcomes[admin.OutcomeAccepted] > 0 && outcomes[admin.OutcomeRefused] > 0 && outcomes[admin.OutcomeUnknown] > 0 &&
		status.ResponsesDropped > 0, "the faults did not affect the clients, so the test is inconclusive")
}

func (h *linearizabilityTest) reportViolations(t *testing.T, checked linear.Result) {
	t.Helper()
	for _, fault := range checked.Violations {
		t.Error(fault)
	}
	file := filepath.Join(h.running.Config.Directory, "history.html")
	assert.NilError(t, checked.Visualize(file))
	t.Errorf("the history is not linearizable (order %s); see the drawing in %s", checked.Linearizability, file)
}
