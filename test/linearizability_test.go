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
	// writerSteps bounds what each client does.
	writerSteps = 2000
	// writerTimeout is shorter than a node works on a write, so that clients
	// give up on some whose outcome is open.
	writerTimeout = 400 * time.Millisecond
	// peerJitter lets messages between nodes overtake each other.
	peerJitter = 150 * time.Millisecond
	// askTimeout bounds a question after the faults.
	askTimeout = 5 * time.Second
)

// history is the linearizability test's state.
type history struct {
	running  *cluster.ProxiedCluster
	workload linear.Workload
	random   *rand.Rand
}

// TestConfigurationIsLinearizable has clients write the same objects through
// different nodes while the store and nodes fail, and checks everything that
// the clients were told.
func TestConfigurationIsLinearizable(t *testing.T) {
	running := startProxied(t, "-store-requests-per-second", "200")
	h := &history{running: running, random: rand.New(rand.NewPCG(*linearizabilitySeed, *linearizabilitySeed))}
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
	asking := h.workload.NewClient(writers)
	asking.HTTP.Timeout = askTimeout
	h.converge(t, asking)
	assert.NilError(t, h.workload.Settle(t.Context(), asking))
	h.check(t)
}

// startProxied runs the small mesh with two nodes in each zone, whose traffic
// with each other can be disturbed.
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

// runWithFaults runs the clients until the last fault is mended.
func (h *history) runWithFaults(t *testing.T) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- h.workload.Run(ctx) }()
	h.fail(t)
	stop()
	assert.NilError(t, <-ended)
}

// fail makes the faults, one after the other, for about 5 s. The store hangs and
// a node is frozen for longer than clients wait for an answer.
func (h *history) fail(t *testing.T) {
	t.Helper()
	dropped := 0.2
	h.control(t, kvstore.ControlRequest{DropProbability: &dropped})
	h.disturbPeers(t, faultproxy.Faults{Jitter: peerJitter, Loss: 0.1})
	victims := h.random.Perm(len(h.running.Nodes))
	h.wait(500)
	h.outage(t, kvstore.OutageHang, 1000)
	h.wait(300)
	h.restart(t, victims[0])
	h.outage(t, kvstore.OutageRefuse, 400)
	h.wait(300)
	h.freeze(victims[1], 1000)
	h.control(t, kvstore.ControlRequest{CutWatches: true})
	h.wait(300)
	h.outage(t, kvstore.OutageHang, 1000)
	h.wait(200)
	h.control(t, kvstore.ControlRequest{Clear: true})
	h.disturbPeers(t, faultproxy.Faults{})
}

// disturbPeers changes what happens to the traffic between nodes.
func (h *history) disturbPeers(t *testing.T, faults faultproxy.Faults) {
	t.Helper()
	for _, proxy := range h.running.Proxies {
		assert.NilError(t, proxy.SetFaults(faults, faultproxy.Faults{}))
	}
}

func (h *history) control(t *testing.T, request kvstore.ControlRequest) {
	t.Helper()
	assert.NilError(t, h.running.StoreControl(t.Context(), request))
}

// wait lets the clients go on for between half and all of the time.
func (h *history) wait(millis int) {
	time.Sleep(time.Duration(millis/2+h.random.IntN(millis/2)) * time.Millisecond)
}

func (h *history) outage(t *testing.T, outage kvstore.Outage, millis int) {
	t.Helper()
	none := kvstore.OutageNone
	h.control(t, kvstore.ControlRequest{Outage: &outage})
	h.wait(millis)
	h.control(t, kvstore.ControlRequest{Outage: &none})
}

func (h *history) restart(t *testing.T, index int) {
	t.Helper()
	node := h.running.Nodes[index]
	node.Kill()
	h.workload.Nodes[index].Ended()
	h.wait(400)
	assert.NilError(t, h.running.StartNode(node))
}

func (h *history) freeze(index, millis int) {
	node := h.running.Nodes[index]
	node.Freeze()
	h.wait(millis)
	node.Resume()
}

// converge waits until every node holds the store's final revision and shows
// the same versions.
func (h *history) converge(t *testing.T, client *linear.Client) {
	t.Helper()
	started := time.Now()
	eventually(t, inForce, "the store's final revision at every node", func() bool {
		return h.converged(t, client)
	})
	t.Logf("converged %s after the last client", time.Since(started).Round(time.Millisecond))
}

// converged reports whether all nodes have what the store holds. If it holds
// no more after the reads than before, they show the versions in force.
func (h *history) converged(t *testing.T, client *linear.Client) bool {
	t.Helper()
	since := h.workload.Recorder.Now()
	before := h.storeRevision(t)
	if !h.completeUpTo(t, before) || !h.agree(t, client) || h.storeRevision(t) != before {
		return false
	}
	h.workload.Recorder.MarkFresh(client.ID, since)
	return true
}

func (h *history) storeRevision(t *testing.T) int64 {
	t.Helper()
	status, err := h.running.StoreStatus(t.Context())
	assert.NilError(t, err)
	return status.Revision
}

func (h *history) completeUpTo(t *testing.T, revision int64) bool {
	for _, node := range h.running.Nodes {
		status, err := node.Status(t.Context())
		if err != nil || int64(status.Node.ConfigurationFloor) < revision {
			return false
		}
	}
	return true
}

// agree reads every object at every node and reports whether all show the same.
func (h *history) agree(t *testing.T, client *linear.Client) bool {
	t.Helper()
	shown := map[string]linear.Version{}
	agreed := true
	for _, object := range h.workload.Objects {
		for index, node := range h.workload.Nodes {
			version, answered, err := client.Read(t.Context(), node, object)
			assert.NilError(t, err)
			if index == 0 {
				shown[object] = version
			}
			agreed = agreed && answered && version == shown[object]
		}
	}
	return agreed
}

// check checks the history, and that it has what proves something.
func (h *history) check(t *testing.T) {
	t.Helper()
	recorded := h.workload.Recorder.History()
	checked := linear.Check(recorded)
	count := map[admin.Outcome]int{}
	for _, write := range recorded.Writes {
		count[write.Outcome]++
	}
	status, err := h.running.StoreStatus(t.Context())
	assert.NilError(t, err)
	t.Logf("seed %d: %d writes accepted, %d refused, %d unknown (%d still); %d reads; %d answers dropped; order %s",
		*linearizabilitySeed, count[admin.OutcomeAccepted], count[admin.OutcomeRefused], count[admin.OutcomeUnknown],
		len(recorded.Unresolved()), len(recorded.Reads), status.AnswersDropped, checked.Order)
	if !checked.OK() {
		h.keep(t, checked)
	}
	assert.Assert(t, count[admin.OutcomeAccepted] > 0 && count[admin.OutcomeRefused] > 0 && count[admin.OutcomeUnknown] > 0 &&
		status.AnswersDropped > 0, "the faults and clients did not meet, which proves nothing")
}

func (h *history) keep(t *testing.T, checked linear.Result) {
	t.Helper()
	for _, fault := range checked.Faults {
		t.Error(fault)
	}
	file := filepath.Join(h.running.Config.Directory, "history.html")
	assert.NilError(t, checked.Visualize(file))
	t.Errorf("the history is not linearizable (order %s); it is drawn in %s", checked.Order, file)
}
