package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/lab/platformstub"
)

func TestPlatformServesAcrossZones(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	for _, n := range p.nodes {
		for range 20 {
			for _, path := range []string{"/read/x", "/once/x"} {
				status, _ := p.send(n, path)
				assert.Equal(t, status, http.StatusOK)
			}
		}
		status, _ := p.send(n, "/none/x")
		assert.Equal(t, status, http.StatusNotFound)
		_, text := p.get(n.metrics + "/metrics")
		assert.Assert(t, strings.Contains(text, `lugspur_requests_total{reason="",route="once",status="200"} 20`), text)
		assert.Assert(t, strings.Contains(text, "lugspur_configuration_version 1"), text)
	}
}

func TestPlatformDrainPersistsAcrossNodeRestart(t *testing.T) {
	p := startPlatform(t, "west", "west")
	ctx := context.Background()
	assert.NilError(t, p.target(0).Drain(ctx))
	drained := p.target(0).RunCount()
	running := p.startLoad("/once/x", p.nodes...)
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, p.nodes[0].process.Process.Kill())
	<-p.nodes[0].exited
	p.target(0).StopHeartbeats()
	p.start(p.nodes[0])
	p.awaitReady(p.nodes[0])
	// A heartbeat from before the drain arrives late.
	late := &platformstub.Target{ID: p.target(0).ID, StartedAt: p.target(0).StartedAt, Service: "one", Address: p.target(0).Address, Control: p.target(0).Control, Zone: "west"}
	lateCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = late.Start(lateCtx)
	time.Sleep(500 * time.Millisecond)
	running.stopAndCount()
	assert.Equal(t, p.target(0).RunCount(), drained, "a drained target got new work")
	assert.NilError(t, p.target(0).Deregister(ctx))
	status, _ := p.send(p.nodes[0], "/read/x")
	assert.Equal(t, status, http.StatusOK, "its node must continue to serve callers")
}

func TestPlatformConfigurationChange(t *testing.T) {
	p := startPlatform(t, "west", "east")
	entry, err := p.store.Get(context.Background(), "op/config")
	assert.NilError(t, err)
	revision := p.configure(entry.Revision, fmt.Sprintf(configurationTemplate, 9, addedRoute))
	for _, n := range p.nodes {
		p.awaitServed(n, "/added/x")
	}
	// An invalid configuration changes nothing.
	p.configure(revision, `{"version":"r10","resources":[{"resource-type":"routes","metadata":{"name":"x"},"spec":{"host":""}}]}`)
	time.Sleep(700 * time.Millisecond)
	for _, n := range p.nodes {
		status, _ := p.send(n, "/added/x")
		assert.Equal(t, status, http.StatusOK)
	}
}

func TestPlatformKilledNode(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	running := p.startLoad("/read/x", p.nodes[0], p.nodes[2])
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, p.nodes[1].process.Process.Kill())
	time.Sleep(1500 * time.Millisecond)
	statuses := running.stopAndCount()
	total, served := 0, statuses[http.StatusOK]
	for _, count := range statuses {
		total += count
	}
	assert.Assert(t, total-served <= 3, "statuses %v", statuses)
	for id, runs := range p.target(1).Runs() {
		assert.Assert(t, runs == 1, "%s ran %d times at one target", id, runs)
	}
}

// TestPlatformStoreDown has the store refuse all requests while nodes serve, one restarts and
// a target requests a drain. The restarted node gets configuration and homes from its peer
// and serves its callers through it; it must not use its own target, because only the store
// can show that no drain of it was acknowledged.
func TestPlatformStoreDown(t *testing.T) {
	p := startPlatform(t, "west", "west")
	p.stub.SetFaults(platformstub.Faults{Down: true})
	running := p.startLoad("/once/x", p.nodes...)
	time.Sleep(time.Second)
	assert.DeepEqual(t, statusesOf(running.stopAndCount()), []int{http.StatusOK})
	assert.Assert(t, p.target(0).Drain(context.Background()) != nil, "a drain that is not durable must not be acknowledged")
	assert.NilError(t, p.nodes[1].process.Process.Kill())
	<-p.nodes[1].exited
	before := p.target(1).RunCount()
	p.start(p.nodes[1])
	p.awaitReady(p.nodes[1])
	time.Sleep(time.Second)
	for range 20 {
		p.send(p.nodes[1], "/read/x")
		p.send(p.nodes[0], "/read/x")
	}
	assert.Equal(t, p.target(1).RunCount(), before, "a node must not use its target before it has read the acknowledged drains")
	p.stub.SetFaults(platformstub.Faults{})
	p.awaitServed(p.nodes[1], "/read/x")
	assert.NilError(t, p.target(0).Drain(context.Background()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.send(p.nodes[0], "/read/x")
		if p.target(1).RunCount() == before {
			return poll.Continue("its target receives no requests")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func statusesOf(statuses map[int]int) []int {
	keys := make([]int, 0, len(statuses))
	for status := range statuses {
		keys = append(keys, status)
	}
	return keys
}

func TestPlatformPlannedStopCompletesRequests(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	for _, n := range p.nodes {
		n.target.ServiceTime = 50 * time.Millisecond
	}
	running := p.startLoad("/once/x", p.nodes...)
	time.Sleep(300 * time.Millisecond)
	stopped := p.nodes[0]
	assert.NilError(t, stopped.process.Process.Signal(syscall.SIGTERM))
	status, _ := p.get(stopped.ready + "/ready")
	for status == http.StatusOK {
		status, _ = p.get(stopped.ready + "/ready")
	}
	assert.Equal(t, status, http.StatusServiceUnavailable)
	time.Sleep(time.Second)
	assert.DeepEqual(t, statusesOf(running.stopAndCount()), []int{http.StatusOK})
	assert.NilError(t, <-stopped.exited)
}

// TestPlatformPolicyReload changes the policies of a running node, with a signal and then
// without one. An invalid file changes nothing.
func TestPlatformPolicyReload(t *testing.T) {
	p := startPlatform(t, "west", "west")
	n := p.nodes[0]
	original, err := os.ReadFile(n.settings)
	assert.NilError(t, err)
	write := func(policies string) {
		assert.NilError(t, os.WriteFile(n.settings, append(original[:len(original):len(original)], policies...), 0o600))
	}
	awaitStatus := func(path string, expected int) {
		t.Helper()
		eventually(t, 20*time.Second, path, func() bool {
			status, _ := p.send(n, path)
			return status == expected
		})
	}
	write("\n[policies.repeatable]\nadmit = 'call.path != \"/read/closed\"'\n")
	assert.NilError(t, n.process.Process.Signal(syscall.SIGHUP))
	awaitStatus("/read/closed", http.StatusForbidden)
	awaitStatus("/read/open", http.StatusOK)

	write("\n[policies.repeatable]\nadmit = 'call.nothing'\n")
	assert.NilError(t, n.process.Process.Signal(syscall.SIGHUP))
	eventually(t, 20*time.Second, "the fault is logged", func() bool {
		log, err := os.ReadFile(n.log)
		return err == nil && strings.Contains(string(log), "policies.repeatable")
	})
	awaitStatus("/read/closed", http.StatusForbidden)

	write("")
	awaitStatus("/read/closed", http.StatusOK)
}

func TestPlatformReportsInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(path, []byte("zone = \"z\"\nstore = \"nowhere\"\nunknown = 1\n[stop]\ngrace-seconds = -1\n"), 0o600))
	output, err := exec.Command(program("lugspur-sidecar"), "check", "-f", path).CombinedOutput()
	assert.Assert(t, err != nil)
	for _, key := range []string{"name", "store", "listen.calls", "stop.grace-seconds"} {
		assert.Assert(t, strings.Contains(string(output), key), "%s", output)
	}
	assert.Assert(t, !strings.Contains(string(output), "unknown"), "%s", output)
}
