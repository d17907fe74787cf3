package test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/lab/cluster"
)

const meshFile = "testdata/mesh.toml"

// programs is the directory of the compiled programs under test.
var programs string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	var err error
	if programs, err = os.MkdirTemp("", "lugspur-programs-"); err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(programs) }()
	output, err := exec.Command("go", "build", "-o", programs+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		return 1, fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	return m.Run(), nil
}

func program(name string) string { return filepath.Join(programs, name) }

// logDirectory returns a directory that is kept if the test fails.
func logDirectory(t *testing.T) string {
	t.Helper()
	directory, err := os.MkdirTemp("", "lugspur-test-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs are kept in", directory)
			return
		}
		_ = os.RemoveAll(directory)
	})
	return directory
}

// startCluster starts the small mesh and waits until all nodes accept calls,
// including calls with idempotency keys.
func startCluster(t *testing.T, nodesPerZone int, flags ...string) *cluster.Cluster {
	t.Helper()
	if nodesPerZone == 1 {
		// Two nodes are too few for three claim replicas.
		flags = append(flags, "-claims-replicas", "1")
	}
	running, err := cluster.Start(t.Context(), cluster.Config{
		Lugspur:      program("lugspur"),
		Lab:          program("lugspur-lab"),
		MeshFile:     meshFile,
		Directory:    logDirectory(t),
		NodesPerZone: nodesPerZone,
		NodeFlags:    append([]string{"-membership-period-ms", "100"}, flags...),
		Seed:         1,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, running.Stop()) })
	for _, node := range running.Nodes {
		eventually(t, 20*time.Second, "claims at "+node.Name, func() bool {
			return call(t, "POST", node.Addresses.Edge, "/order/order", idempotencyKey(newNonce())).status == 200
		})
	}
	return running
}

// eventually polls until the condition holds and fails after the timeout.
func eventually(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(timeout))
}

// writeObjects writes an object file for the operator's command line.
func writeObjects(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "objects.toml")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

func policyFile(t *testing.T, service, expressions string) string {
	t.Helper()
	return writeObjects(t, fmt.Sprintf("kind = \"policy\"\nname = %q\n\n[spec]\n%s\n", service, expressions))
}

// runCommand runs a command of the operator's command line, which must succeed.
func runCommand(t *testing.T, running *cluster.Cluster, arguments ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	output, err := running.Command(ctx, arguments...)
	assert.NilError(t, err)
	return strings.TrimSpace(output)
}
