package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/cluster"
)

// TestHangupStopsNodeAsPlanned guards against a node that exits at once on SIGHUP, with the calls in
// flight, or during a planned stop.
func TestHangupStopsNodeAsPlanned(t *testing.T) {
	for _, order := range []struct {
		name    string
		signals []func(*cluster.Process)
	}{
		{"hangup", []func(*cluster.Process){(*cluster.Process).Hangup}},
		{"stop, hangup", []func(*cluster.Process){(*cluster.Process).Terminate, (*cluster.Process).Hangup}},
		{"hangup, stop, hangup", []func(*cluster.Process){(*cluster.Process).Hangup, (*cluster.Process).Terminate, (*cluster.Process).Hangup}},
	} {
		t.Run(order.name, func(t *testing.T) {
			t.Parallel()
			node, err := cluster.StartSingleNode(t.Context(), program("lugspur"), logDirectory(t), "[[object]]\nkind = \"service\"\nname = \"back\"\n[object.spec]\n")
			assert.NilError(t, err)
			for _, send := range order.signals {
				send(node.Process)
			}
			eventually(t, 20*time.Second, "the node exits", func() bool { return !node.Running() })
			assert.NilError(t, node.Stop(time.Second), "the node must exit by itself")
		})
	}
}
