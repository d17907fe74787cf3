package cluster

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

type readyLine struct {
	Name string `json:"name"`
}

func startShell(t *testing.T, script string) (*Process, readyLine, error) {
	t.Helper()
	var ready readyLine
	log := filepath.Join(t.TempDir(), "log")
	process, err := startProcess("shell", log, &ready, "/bin/sh", "-c", script)
	if err == nil {
		waitForLog(t, log)
		t.Cleanup(func() {
			if process.Running() {
				process.Kill()
			}
			content, err := os.ReadFile(log)
			assert.Check(t, err == nil && strings.Contains(string(content), "to the log"), "%s", content)
		})
	}
	return process, ready, err
}

// waitForLog waits until the script has written to the log, so that a signal can't
// end it before.
func waitForLog(t *testing.T, log string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		content, err := os.ReadFile(log)
		if err != nil || !strings.Contains(string(content), "to the log") {
			return poll.Continue("log %q (%v)", content, err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

func TestProcessStops(t *testing.T) {
	process, ready, err := startShell(t, `echo '{"name":"x"}'; echo to the log; exec cat /dev/zero >/dev/null`)
	assert.NilError(t, err)
	assert.Equal(t, ready.Name, "x")
	assert.Assert(t, process.Running() && process.ID() > 0)
	process.Freeze()
	assert.ErrorContains(t, process.Stop(5*time.Second), "terminated")
	assert.Assert(t, !process.Running())
	assert.ErrorContains(t, process.Stop(time.Second), "terminated", "a process that has ended is stopped again")
}

func TestStopTimeoutKillsProcess(t *testing.T) {
	process, _, err := startShell(t, `trap '' TERM; echo '{"name":"x"}'; echo to the log; while :; do sleep 0.05; done`)
	assert.NilError(t, err)
	assert.ErrorContains(t, process.Stop(100*time.Millisecond), "did not stop")
	<-process.Done()
}

func TestProcessWithoutReadyLine(t *testing.T) {
	for name, script := range map[string]string{"ends": "exit 3", "invalid line": "echo hello; sleep 60"} {
		t.Run(name, func(t *testing.T) {
			_, _, err := startShell(t, script)
			assert.ErrorContains(t, err, "ready line")
		})
	}
	_, err := startProcess("missing", filepath.Join(t.TempDir(), "log"), nil, "/no/such/program")
	assert.ErrorContains(t, err, "missing")
}

func TestFreeAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		addresses, err := freeAddresses()
		assert.NilError(t, err)
		assert.Assert(t, addresses.Edge != addresses.Mesh && addresses.Mesh != addresses.Peer && addresses.Peer != addresses.Admin)
		seen[addresses.Edge] = true
	}
	assert.Assert(t, len(seen) > 1)
}

func TestParseMetrics(t *testing.T) {
	values := parseMetrics([]byte("# HELP a A.\na 1.5\nb{x=\"y\"} 2\nc 3e+06\nbroken\n"))
	assert.Equal(t, values["a"], 1.5)
	assert.Equal(t, values["c"], 3e6)
	assert.Equal(t, values["broken"], 0.0)
}
