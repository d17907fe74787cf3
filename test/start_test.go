package test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/lab/cluster"
)

// startHeld is how long a condition that delays a start lasts in these tests.
const startHeld = time.Second

// setting returns the value of a string setting of the node.
func (n *platformNode) setting(t *testing.T, key string) string {
	t.Helper()
	content, err := os.ReadFile(n.settings)
	assert.NilError(t, err)
	match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(content)
	assert.Assert(t, match != nil, "no setting %s", key)
	return string(match[1])
}

// addPermits adds an address for permit requests to the node's settings.
func (n *platformNode) addPermits(t *testing.T) {
	t.Helper()
	address, err := cluster.FreeAddress()
	assert.NilError(t, err)
	content, err := os.ReadFile(n.settings)
	assert.NilError(t, err)
	content = []byte(strings.Replace(string(content), "[listen]\n", "[listen]\npermits = \""+address+"\"\n", 1))
	assert.NilError(t, os.WriteFile(n.settings, content, 0o600))
}

// logged returns the number of log lines of the event.
func (n *platformNode) logged(t *testing.T, event string) int {
	t.Helper()
	log, err := os.ReadFile(n.log)
	assert.NilError(t, err)
	return strings.Count(string(log), `"msg":"`+event+`"`)
}

// occupy binds the address.
func occupy(t *testing.T, network, address string) io.Closer {
	t.Helper()
	var socket io.Closer
	var err error
	if network == "udp" {
		socket, err = net.ListenPacket("udp4", address)
	} else {
		socket, err = net.Listen("tcp4", address)
	}
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// TestStartEndsAtAddressInUse guards against a node that ends at once if one of its addresses is in
// use when it starts.
func TestStartEndsAtAddressInUse(t *testing.T) {
	addresses := []struct {
		key, network string
		optional     bool
	}{
		{"calls", "tcp", false}, {"peers", "tcp", false}, {"ready", "tcp", false}, {"heartbeats", "tcp", false},
		{"permits", "udp", true}, {"metrics", "tcp", true},
	}
	for _, address := range addresses {
		t.Run(address.key, func(t *testing.T) {
			t.Parallel()
			p := startPlatform(t)
			n := p.newNode(0, "west", "one")
			n.addPermits(t)
			socket := occupy(t, address.network, n.setting(t, address.key))
			p.start(n)
			assert.NilError(t, n.target.Start(t.Context()))
			if address.optional {
				p.awaitReady(n)
				p.awaitServed(n, "/once/x")
			} else {
				time.Sleep(startHeld)
			}
			if address.key != "ready" {
				status, _ := p.get(n.ready + "/ready")
				assert.Equal(t, status == http.StatusOK, address.key != "calls")
			}
			assert.NilError(t, socket.Close())
			awaitEvent(t, n, "start-resumed", 1)
			p.awaitReady(n)
			p.awaitServed(n, "/once/x")
			assert.Equal(t, n.logged(t, "start-delayed"), 1)
			assert.Equal(t, n.logged(t, "start-resumed"), 1)
		})
	}
}

// TestStartEndsAtPortOfOutgoingConnection guards against a node that ends at once if the kernel has
// given one of its ports to an outgoing connection.
func TestStartEndsAtPortOfOutgoingConnection(t *testing.T) {
	p := startPlatform(t)
	n := p.newNode(0, "west", "one")
	local, err := net.ResolveTCPAddr("tcp", n.calls)
	assert.NilError(t, err)
	connection, err := (&net.Dialer{LocalAddr: local}).DialContext(t.Context(), "tcp", p.address)
	assert.NilError(t, err)
	defer connection.Close()
	p.start(n)
	assert.NilError(t, n.target.Start(t.Context()))
	awaitEvent(t, n, "start-delayed", 1)
	assert.NilError(t, connection.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, connection.Close())
	p.awaitServed(n, "/once/x")
}

// TestStopSignalEndsWaitingStart guards against a node that does not obey SIGTERM while it waits for
// an address or for its settings.
func TestStopSignalEndsWaitingStart(t *testing.T) {
	waits := map[string]func(t *testing.T, n *platformNode){
		"address":  func(t *testing.T, n *platformNode) { occupy(t, "tcp", n.calls) },
		"settings": func(t *testing.T, n *platformNode) { assert.NilError(t, os.Remove(n.settings)) },
	}
	for name, wait := range waits {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPlatform(t)
			n := p.newNode(0, "west", "one")
			wait(t, n)
			p.start(n)
			awaitEvent(t, n, "start-delayed", 1)
			assert.NilError(t, n.process.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, <-n.exited)
		})
	}
}

// TestStartEndsAtPartlyWrittenSettings guards against a node that ends at once if its settings are
// not whole when it starts.
func TestStartEndsAtPartlyWrittenSettings(t *testing.T) {
	parts := map[string]func(whole string) string{
		"missing":       func(string) string { return "" },
		"empty":         func(string) string { return "" },
		"inside a key":  func(whole string) string { return whole[:strings.Index(whole, "heartbeats")+5] },
		"inside a text": func(whole string) string { return whole[:strings.Index(whole, "ready = ")+12] },
		"between lines": func(whole string) string { return whole[:strings.Index(whole, "ready = ")] },
	}
	for name, cut := range parts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPlatform(t)
			n := p.newNode(0, "west", "one")
			whole, err := os.ReadFile(n.settings)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(n.settings, []byte(cut(string(whole))), 0o600))
			if name == "missing" {
				assert.NilError(t, os.Remove(n.settings))
			}
			p.start(n)
			awaitEvent(t, n, "start-delayed", 1)
			assert.NilError(t, os.WriteFile(n.settings, whole, 0o600))
			p.awaitReady(n)
			assert.Equal(t, n.logged(t, "start-delayed"), 1)
			assert.Equal(t, n.logged(t, "start-resumed"), 1)
		})
	}
}

// TestStartReportsInvalidSettings guards against a node that waits for a settings file that is whole
// but wrong.
func TestStartReportsInvalidSettings(t *testing.T) {
	p := startPlatform(t)
	n := p.newNode(0, "west", "one")
	content := "zone = \"z\"\nstore = \"nowhere\"\n[listen]\ncalls = \"127.0.0.1:1\"\n"
	assert.NilError(t, os.WriteFile(n.settings, []byte(content), 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, program("lugspur-sidecar"), "run", "-f", n.settings)
	output, err := command.CombinedOutput()
	assert.Assert(t, err != nil)
	assert.Equal(t, command.ProcessState.ExitCode(), 1)
	for _, key := range []string{"name", "store", "listen.peers", "listen.ready"} {
		assert.Assert(t, strings.Contains(string(output), key), "%s", output)
	}
}

// TestSignalsAtExitEndNodeBySignal guards against a node that a signal ends between the end of its
// planned stop and its exit.
func TestSignalsAtExitEndNodeBySignal(t *testing.T) {
	p := startPlatform(t)
	n := p.newNode(0, "west", "one")
	assert.NilError(t, os.Remove(n.settings))
	const starts = 40
	for i := range starts {
		p.start(n)
		awaitEvent(t, n, "start-delayed", i+1)
		for n.process.Process.Signal(syscall.SIGTERM) == nil && n.process.Process.Signal(syscall.SIGHUP) == nil {
		}
		assert.NilError(t, <-n.exited, "start %d of %d", i+1, starts)
	}
}

// TestNodeDoesNotRegisterBeforePeersReachIt guards against a record that sends peers to a node whose
// address is not open yet.
func TestNodeDoesNotRegisterBeforePeersReachIt(t *testing.T) {
	p := startPlatform(t, "west")
	n := p.nodes[0]
	peers := n.setting(t, "peers")
	revision := func() store.Revision {
		entry, err := p.store.Get(t.Context(), "lugspur/homes/"+peers)
		assert.NilError(t, err)
		return entry.Revision
	}
	assert.NilError(t, n.process.Process.Kill())
	<-n.exited
	held := occupy(t, "tcp", peers)
	before := revision()
	p.start(n)
	time.Sleep(2 * startHeld)
	assert.Equal(t, revision(), before)
	assert.NilError(t, held.Close())
	eventually(t, 10*time.Second, "the record names the process", func() bool { return revision() != before })
	p.awaitServed(n, "/read/x")
}
