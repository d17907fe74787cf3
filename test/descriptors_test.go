package test

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestIdleConnectionsDelayNewRequests guards against a node that accepts nothing, until idle
// connections time out, because callers keep more of them open than it may have descriptors.
func TestIdleConnectionsDelayNewRequests(t *testing.T) {
	const descriptors, idle = 128, 400
	for name, settings := range map[string]string{
		"in the settings": "[resources]\ndescriptors = 128\n",
		"unknown":         "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPlatform(t)
			n := p.newNode(0, "west", "one")
			content, err := os.ReadFile(n.settings)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(n.settings, append(content, settings...), 0o600))
			p.start(n)
			assert.NilError(t, n.target.Start(t.Context()))
			p.awaitServed(n, "/once/x")
			limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
			assert.NilError(t, unix.Prlimit(n.process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
			for range idle {
				connection, err := net.DialTimeout("tcp", n.calls, 5*time.Second)
				assert.NilError(t, err)
				defer connection.Close()
			}
			for range 20 {
				request, _ := p.request(n, http.MethodPost, "/once/x")
				request.Close = true
				started := time.Now()
				status, _, _ := doRequest(request)
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, time.Since(started) < 2*time.Second, "answered after %v", time.Since(started))
			}
			status, _ := p.get(n.ready + "/ready")
			assert.Equal(t, status, http.StatusOK)
		})
	}
}
