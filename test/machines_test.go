package test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/machinelist"
)

// startCountingServer starts a target that counts its calls.
func startCountingServer(t *testing.T) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

// TestMachineListDrainsTargets checks that a target on a machine that the platform's list
// reports as leaving gets no new calls, also while the list is unavailable afterwards.
func TestMachineListDrainsTargets(t *testing.T) {
	list := machinelist.New(time.Now, 0)
	var down atomic.Bool
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			http.Error(w, "out of order", http.StatusServiceUnavailable)
			return
		}
		list.Handler().ServeHTTP(w, r)
	}))
	defer platform.Close()

	var objects strings.Builder
	objects.WriteString("[[object]]\nkind = \"service\"\nname = \"s\"\n[object.spec]\n")
	counts := map[string]*atomic.Int64{}
	for _, machine := range []string{"m1", "m2"} {
		address, calls := startCountingServer(t)
		counts[machine] = calls
		objects.WriteString("[[object]]\nkind = \"target\"\nname = \"on-" + machine + "\"\n[object.spec]\nservice = \"s\"\nzone = \"" + cluster.SingleNodeZone +
			"\"\nmachine = \"" + machine + "\"\naddress = \"" + address + "\"\nslots = 4\nconnections = 8\n")
	}
	node, err := cluster.StartSingleNode(t.Context(), program("lugspur"), logDirectory(t), objects.String(),
		"-machine-list-address", strings.TrimPrefix(platform.URL, "http://"), "-machine-list-poll-ms", "50")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, node.Stop(20*time.Second)) })
	send := func() { assert.Equal(t, call(t, "GET", node.Addresses.Edge, "/s/x").status, http.StatusOK) }
	eventually(t, 5*time.Second, "calls at both machines", func() bool {
		send()
		return counts["m1"].Load() > 0 && counts["m2"].Load() > 0
	})

	assert.NilError(t, list.Control(machinelist.ControlRequest{Machines: &[]machinelist.Machine{
		{Name: "m1", Address: "127.0.0.1", Zone: cluster.SingleNodeZone, State: machinelist.StateLeaving},
		{Name: "m2", Address: "127.0.0.1", Zone: cluster.SingleNodeZone, State: machinelist.StateLive},
	}}))
	eventually(t, 5*time.Second, "the drain by the machine list", func() bool {
		status, err := node.Status(t.Context())
		assert.NilError(t, err)
		return status.Targets[0].Draining && status.Targets[0].DrainSources[0] == "machine-list"
	})
	down.Store(true)
	before := counts["m1"].Load()
	for range 50 {
		send()
	}
	assert.Equal(t, counts["m1"].Load(), before)
}
