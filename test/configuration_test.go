package test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/command"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/kvstore"
)

// propagationTimeout bounds the time until a change is in force at every node.
const propagationTimeout = 8 * time.Second

var backPolicy = resource.ID{Kind: resource.KindPolicy, Name: "back"}

func TestConfiguration(t *testing.T) {
	running := startCluster(t, 2)
	t.Run("a change is in force everywhere", func(t *testing.T) { testChangeReachesAllNodes(t, running) })
	t.Run("one of several concurrent writes wins", func(t *testing.T) { testConcurrentOperators(t, running) })
	t.Run("lost answers of the store", func(t *testing.T) { testLostAnswers(t, running) })
}

func denyCaller(caller string) string { return fmt.Sprintf("admit = 'call.caller != %q'", caller) }

// awaitRefusedEverywhere waits until all nodes refuse the caller.
func awaitRefusedEverywhere(t *testing.T, running *cluster.Cluster, caller string) {
	t.Helper()
	deadline := time.Now().Add(propagationTimeout)
	for _, node := range running.Nodes {
		eventually(t, time.Until(deadline), "policy at "+node.Name, func() bool {
			return call(t, "GET", node.Addresses.Edge, "/back/x", header(callcontext.CallerHeader, caller)).status == 403
		})
	}
}

func testChangeReachesAllNodes(t *testing.T, running *cluster.Cluster) {
	for i := range 4 {
		caller := fmt.Sprintf("banned-%d", i)
		runCommandAt(t, running, running.Nodes[i], "apply", "-f", policyFile(t, "back", denyCaller(caller)))
		awaitRefusedEverywhere(t, running, caller)
	}
}

// runCommandAt runs a command against one node, which must succeed.
func runCommandAt(t *testing.T, running *cluster.Cluster, node *cluster.Node, arguments ...string) {
	t.Helper()
	assert.Equal(t, exitCode(t, running, node, arguments...), command.ExitOK)
}

// exitCode runs a command against one node and returns its exit code.
func exitCode(t *testing.T, running *cluster.Cluster, node *cluster.Node, arguments ...string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	process := exec.CommandContext(ctx, program("lugspur"), append([]string{"-admin", node.Addresses.Admin, "-token", cluster.Token}, arguments...)...)
	output, err := process.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if err != nil {
		t.Logf("exit code %d: %s", exit.ExitCode(), output)
		return exit.ExitCode()
	}
	return 0
}

func newAdminClient(t *testing.T, node *cluster.Node) *adminclient.Client {
	t.Helper()
	client, err := adminclient.New(adminclient.Options{Addresses: []string{node.Addresses.Admin}, Token: cluster.Token})
	assert.NilError(t, err)
	return client
}

func currentRevision(t *testing.T, node *cluster.Node) store.Revision {
	t.Helper()
	object, err := newAdminClient(t, node).Get(t.Context(), backPolicy)
	assert.NilError(t, err)
	return object.Revision
}

func testConcurrentOperators(t *testing.T, running *cluster.Cluster) {
	for round := range 10 {
		var expected store.Revision
		for _, node := range running.Nodes {
			expected = max(expected, currentRevision(t, node))
		}
		results := make([]error, len(running.Nodes))
		var operators sync.WaitGroup
		for i, node := range running.Nodes {
			client := newAdminClient(t, node)
			specification := fmt.Appendf(nil, `{"admit":"call.caller != \"banned-%d-%d\""}`, round, i)
			operators.Go(func() {
				_, results[i] = client.Put(t.Context(), backPolicy, specification, expected)
			})
		}
		operators.Wait()
		winner := -1
		for i, err := range results {
			if err == nil {
				assert.Assert(t, winner < 0, "round %d: nodes %d and %d both accepted", round, winner, i)
				winner = i
				continue
			}
			assert.ErrorIs(t, err, adminclient.ErrConflict)
		}
		assert.Assert(t, winner >= 0, "round %d: no write was accepted", round)
		awaitRefusedEverywhere(t, running, fmt.Sprintf("banned-%d-%d", round, winner))
	}
}

// testLostAnswers drops the store's answers to writes that took effect. The command
// may report success or an unknown outcome; after success the change must be in force.
func testLostAnswers(t *testing.T, running *cluster.Cluster) {
	for _, dropped := range []int{1, 2, 5} {
		caller := fmt.Sprintf("lost-%d", dropped)
		assert.NilError(t, running.StoreControl(t.Context(), kvstore.ControlRequest{DropResponses: &dropped}))
		code := exitCode(t, running, running.Nodes[0], "apply", "-f", policyFile(t, "back", denyCaller(caller)))
		none := 0
		assert.NilError(t, running.StoreControl(t.Context(), kvstore.ControlRequest{DropResponses: &none}))
		assert.Assert(t, code == command.ExitOK || code == command.ExitUnknown, "%d answers dropped: exit code %d", dropped, code)
		if code == command.ExitOK {
			awaitRefusedEverywhere(t, running, caller)
		}
	}
	status, err := running.StoreStatus(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, status.ResponsesDropped > 0, "no answer was dropped, so the test is inconclusive")
}

func TestWritesRequireToken(t *testing.T) {
	running := startCluster(t, 1)
	for name, token := range map[string]string{"none": "", "wrong": "wrong-administration-token"} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), "PUT", "http://"+running.Nodes[0].Addresses.Admin+
				"/v1/policies/back?expected_revision=0", strings.NewReader(`{"admit":"false"}`))
			assert.NilError(t, err)
			request.Header.Set("Authorization", "Bearer "+token)
			request.Header.Set(admin.ChangeIDHeader, admin.NewChangeID())
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Assert(t, response.StatusCode == 401 || response.StatusCode == 403, "status %d", response.StatusCode)
			assert.Assert(t, call(t, "GET", running.Nodes[0].Addresses.Edge, "/back/x").complete("back"))
		})
	}
}
