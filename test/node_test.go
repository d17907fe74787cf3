package test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/kvstore"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// loadDuring sends load to the edges and calls act after one second. It returns the result
// and the time of the call.
func loadDuring(t *testing.T, running *cluster.Cluster, edges mesh.ZoneAddresses, duration time.Duration, act func()) (*load.Result, time.Time) {
	t.Helper()
	for _, target := range []string{"back-n", "back-s"} { // keeps many calls in flight
		assert.NilError(t, running.SetTargetFaults(t.Context(), target, emulator.Faults{SlowFactor: 25}))
	}
	acted := make(chan time.Time, 1)
	go func() {
		time.Sleep(time.Second)
		at := time.Now()
		act()
		acted <- at
	}()
	result := runLoad(t, running, edges, 120, duration)
	return result, <-acted
}

// edgesWithout returns the edges of all nodes but one.
func edgesWithout(running *cluster.Cluster, without *cluster.Node) mesh.ZoneAddresses {
	edges := mesh.ZoneAddresses{}
	for _, node := range running.Nodes {
		if node != without {
			edges[node.Zone] = append(edges[node.Zone], node.Addresses.Edge)
		}
	}
	return edges
}

// secondNode returns the second node of the first zone, because targets send their own
// calls through the first one.
func secondNode(running *cluster.Cluster) *cluster.Node {
	zone := running.Nodes[0].Zone
	index := slices.IndexFunc(running.Nodes[1:], func(node *cluster.Node) bool { return node.Zone == zone })
	return running.Nodes[index+1]
}

// connectionNotAccepted reports whether a call failed while connecting, so that nothing was
// sent. The system resets a connection that is established while the listener closes: of
// 32,000 dials to closing listeners, 31,981 were refused, 10 failed with "connect: connection
// reset by peer", and one, which does not count here, was reset once established. A run of
// this test met the second kind once, 1.3 s after the stop.
func connectionNotAccepted(failure string) bool {
	return strings.Contains(failure, "connect: connection refused") || strings.Contains(failure, "connect: connection reset by peer")
}

func TestPlannedStopCompletesCalls(t *testing.T) {
	running := startCluster(t, 2)
	stopped := secondNode(running)
	result, at := loadDuring(t, running, running.Edges(), 5*time.Second, stopped.Terminate)
	completed := 0
	for _, sent := range result.History {
		last := sent.Last()
		if sent.Edge == stopped.Addresses.Edge && last.Verdict == load.VerdictComplete {
			completed++
		}
		notAccepted := sent.Edge == stopped.Addresses.Edge && sent.Intended.After(at) && connectionNotAccepted(last.Error)
		if last.Verdict != load.VerdictComplete && last.Verdict != load.VerdictRefused && !notAccepted {
			t.Errorf("%s after the stop: %s", sent.Intended.Sub(at), describe(sent))
		}
	}
	assert.Assert(t, completed > 0, "no call went through the node that stopped")
	assert.NilError(t, stopped.Stop(20*time.Second))
	checkExecutions(t, running, result.History)
}

func TestKilledNodeIsReplaced(t *testing.T) {
	const recovery = 4 * time.Second
	running := startCluster(t, 2)
	killed := secondNode(running)
	result, at := loadDuring(t, running, edgesWithout(running, killed), 8*time.Second, killed.Kill)
	late := 0
	for _, sent := range result.History {
		switch verdict := sent.Verdict(); {
		case sent.Intended.After(at.Add(recovery)):
			late++
			assert.Check(t, verdict == load.VerdictComplete, "%s after the kill: %s", sent.Intended.Sub(at), describe(sent))
		case verdict != load.VerdictComplete && verdict != load.VerdictRefused && !isForwardedFailure(sent):
			t.Errorf("%s after the kill: %s", sent.Intended.Sub(at), describe(sent))
		}
	}
	assert.Assert(t, late > 0)
	checkExecutions(t, running, result.History)
}

// isForwardedFailure reports whether a target answered that one of its own calls had
// failed.
func isForwardedFailure(sent load.Call) bool {
	return sent.Kind == "view" && sent.Last().Verdict == load.VerdictError && sent.Last().Status >= 500
}

func TestNodeStartsFromPeersWhileStoreIsDown(t *testing.T) {
	running := startCluster(t, 1)
	runCommand(t, running, "apply", "-f", policyFile(t, "back", `admit = 'call.method == "GET"'`))
	restarted := running.Nodes[1]
	restarted.Kill()
	refuse := kvstore.OutageRefuse
	assert.NilError(t, running.StoreControl(t.Context(), kvstore.ControlRequest{Outage: &refuse}))
	assert.NilError(t, running.StartNode(restarted))
	eventually(t, 15*time.Second, "readiness without the store", func() bool {
		status, err := restarted.Status(t.Context())
		return err == nil && status.Node.Ready && len(status.Targets) == len(running.Mesh.Targets)
	})
	got := call(t, "GET", restarted.Addresses.Edge, "/front/x")
	assert.Assert(t, got.complete("front", "back"), "%s", got)
	assert.Equal(t, call(t, "POST", restarted.Addresses.Edge, "/back/x").status, 403, "the policy was not received from peers")
	_, err := running.Command(t.Context(), "apply", "-f", policyFile(t, "back", `admit = 'true'`))
	assert.Assert(t, err != nil, "a change was accepted without the store")
	assert.NilError(t, running.StoreControl(t.Context(), kvstore.ControlRequest{Clear: true}))
	eventually(t, 15*time.Second, "changes after the outage", func() bool {
		_, err := running.Command(t.Context(), "apply", "-f", policyFile(t, "back", `admit = 'true'`))
		return err == nil && call(t, "POST", restarted.Addresses.Edge, "/back/x").complete("back")
	})
}

func TestNodeAlone(t *testing.T) {
	var targets struct {
		Targets []struct{ Name, Service, Address string } `json:"targets"`
	}
	directory := logDirectory(t)
	process, err := cluster.Launch("targets", directory+"/targets.log", &targets, program("lugspur-lab"), "targets", "-mesh", meshFile)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, process.Stop(10*time.Second)) })
	var objects strings.Builder
	for _, target := range targets.Targets {
		if target.Service == "back" {
			objects.WriteString("[[object]]\nkind = \"target\"\nname = \"" + target.Name + "\"\n[object.spec]\nservice = \"back\"\nzone = \"alone\"\naddress = \"" +
				target.Address + "\"\nslots = 4\nconnections = 8\n")
		}
	}
	objects.WriteString("[[object]]\nkind = \"service\"\nname = \"back\"\n[object.spec]\n")
	node, err := cluster.StartSingleNode(t.Context(), program("lugspur"), directory, objects.String())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, node.Stop(10*time.Second)) })
	eventually(t, 5*time.Second, "answers of a single node", func() bool {
		return call(t, "GET", node.Addresses.Edge, "/back/x").complete("back")
	})
	key := newNonce()
	eventually(t, 10*time.Second, "claims of a single node", func() bool {
		return call(t, "POST", node.Addresses.Edge, "/back/x", idempotencyKey(key)).complete("back")
	})
	assert.Equal(t, call(t, "POST", node.Addresses.Edge, "/back/x", idempotencyKey(key)).status, 409)
}
