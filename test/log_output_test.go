package test

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// graceTime is the grace time in the settings of nodes.
const graceTime = 6 * time.Second

// TestLostLogReaderDoesNotEndNode guards against a node that exits at its next log line, with all its
// requests, because the reader of its standard output has gone, or that outlasts its grace time
// because the reader has stopped reading.
func TestLostLogReaderDoesNotEndNode(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(t *testing.T, reader *os.File)
	}{
		{"closed", func(t *testing.T, reader *os.File) { assert.NilError(t, reader.Close()) }},
		{"blocked", func(*testing.T, *os.File) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startPlatform(t, "west")
			n := p.nodes[0]
			assert.NilError(t, n.process.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, <-n.exited)
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			t.Cleanup(func() { _ = reader.Close() })
			_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
			assert.NilError(t, err)
			p.startWithOutput(n, writer)
			p.awaitReady(n)
			p.awaitServed(n, "/read/x")
			c.lose(t, reader)
			fillLog(t, p, n)
			answered := p.startSlowRequest(n)
			assert.NilError(t, n.process.Process.Signal(syscall.SIGTERM))
			assert.Equal(t, <-answered, http.StatusOK)
			select {
			case err := <-n.exited:
				assert.NilError(t, err)
			case <-time.After(graceTime):
				t.Fatal("the node has not exited within its grace time")
			}
		})
	}
}

// fillLog makes the node log more than a page.
func fillLog(t *testing.T, p *platform, n *platformNode) {
	t.Helper()
	for range 300 {
		assert.NilError(t, n.process.Process.Signal(syscall.SIGHUP))
		status, _ := p.send(n, "/read/x")
		assert.Equal(t, status, http.StatusOK)
	}
}
