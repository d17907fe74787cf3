package sidecar

import (
	"context"
	"io"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReloadSignalIsHandledBeforeAndAfterServing guards against a reload signal that ends the
// process because it arrives before the node serves or after it has stopped.
func TestReloadSignalIsHandledBeforeAndAfterServing(t *testing.T) {
	watch := WatchSettings(filepath.Join(t.TempDir(), "node.toml"))
	sendReload := func() {
		t.Helper()
		assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		assert.Equal(t, <-watch.signals, syscall.SIGHUP)
	}
	sendReload()
	n, err := New(Settings{Name: "n", Zone: "z", Service: "s", Target: "127.0.0.1:1", Store: "127.0.0.1:1"}, io.Discard)
	assert.NilError(t, err)
	sendReload()
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	n.reloadSettings(stopped, watch)
	sendReload()
}
