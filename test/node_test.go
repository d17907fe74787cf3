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

// loadWhile makes load at all the given edges and does something to a node
// after a second.
func loadWhile(t *testing.T, running *cluster.Cluster, edges mesh.ZoneAddresses, duration time.Duration, act func()) (*load.Result, time.Time) {
	t.Helper()
	for _, target := range []string{"back-n", "back-s"} { // so that many calls are in flight
		assert.NilError(t, running.SetTargetFaults(t.Context(), target, emulator.Faults{SlowFactor: 25}))
	}
	acted := make(chan time.Time, 1)
	go func() {
		time.Sleep(time.Second)
		at := time.Now()
		act()
		acted <- at
	}()
	result := sendLoad(t, running, edges, 120, duration)
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

// spare returns the second node of the first zone: targets send their own
// calls through the first one.
func spare(running *cluster.Cluster) *cluster.Node {
	zone := running.Nodes[0].Zone
	index := slices.IndexFunc(running.Nodes[1:], func(node *cluster.Node) bool { return node.Zone == zone })
	return running.Nodes[index+1]
}

// notAccepted reports whether a call ended while it was connecting, so that nothing of it was
// sent. A connection that is made at the moment at which the listener closes is reset by the
// system: of 32,000 dials beside listeners that closed, 31,981 were refused, 10 ended in
// "connect: connection reset by peer", and one, which does not count here, was reset after it
// had been made. A run of this test met the second kind once, 1.3 s after the stop.
func notAccepted(failure string) bool {
	return strings.Contains(failure, "connect: connection refused") || strings.Contains(failure, "connect: connection reset by peer")
}

func TestPlannedStopCutsNoCall(t *testing.T) {
	running := startCluster(t, 2)
	stopped := spare(running)
	result, at := loadWhile(t, running, running.Edges(), 5*time.Second, stopped.Terminate)
	atNode := 0
	for _, made := range result.History {
		last := made.Last()
		if made.Edge == stopped.Addresses.Edge && last.Verdict == load.VerdictComplete {
			atNode++
		}
		turnedAway := made.Edge == stopped.Addresses.Edge && made.Intended.After(at) && notAccepted(last.Error)
		if last.Verdict != load.VerdictComplete && last.Verdict != load.VerdictRefused && !turnedAway {
			t.Errorf("%s after the stop: %s", made.Intended.Sub(at), describe(made))
		}
	}
	assert.Assert(t, atNode > 0, "no call went through the node that stopped")
	assert.NilError(t, stopped.Stop(20*time.Second))
	checkTruth(t, running, result.History)
}

func TestKilledNodeIsReplaced(t *testing.T) {
	const recovery = 4 * time.Second
	running := startCluster(t, 2)
	killed := spare(running)
	result, at := loadWhile(t, running, edgesWithout(running, killed), 8*time.Second, killed.Kill)
	late := 0
	for _, made := range result.History {
		switch verdict := made.Verdict(); {
		case made.Intended.After(at.Add(recovery)):
			late++
			assert.Check(t, verdict == load.VerdictComplete, "%s after the kill: %s", made.Intended.Sub(at), describe(made))
		case verdict != load.VerdictComplete && verdict != load.VerdictRefused && !passedOnFailure(made):
			t.Errorf("%s after the kill: %s", made.Intended.Sub(at), describe(made))
		}
	}
	assert.Assert(t, late > 0)
	checkTruth(t, running, result.History)
}

// passedOnFailure reports whether a target itself has answered that a call of
// its own had failed.
func passedOnFailure(made load.Call) bool {
	return made.Kind == "view" && made.Last().Verdict == load.VerdictError && made.Last().Status >= 500
}

func TestNodeStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	running := startCluster(t, 1)
	operate(t, running, "apply", "-f", policyFile(t, "back", `admit = 'call.method == "GET"'`))
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
	assert.Equal(t, call(t, "POST", restarted.Addresses.Edge, "/back/x").status, 403, "the policy was not learned")
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
	eventually(t, 5*time.Second, "answers of a node alone", func() bool {
		return call(t, "GET", node.Addresses.Edge, "/back/x").complete("back")
	})
	key := newNonce()
	eventually(t, 10*time.Second, "claims of a node alone", func() bool {
		return call(t, "POST", node.Addresses.Edge, "/back/x", idempotencyKey(key)).complete("back")
	})
	assert.Equal(t, call(t, "POST", node.Addresses.Edge, "/back/x", idempotencyKey(key)).status, 409)
}
