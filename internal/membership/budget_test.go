package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// maxControlBytesPerSecond is the limit of the control traffic that a node sends in total.
const maxControlBytesPerSecond = 4096

// TestSendRateBoundedWithManyUpdates checks that a node with 1000 queued updates, as after the
// loss of a region, stays within the limit for all control traffic.
func TestSendRateBoundedWithManyUpdates(t *testing.T) {
	s := newSimulation(37)
	nodes := startCluster(t, s, 20)
	s.advance((fullRecordPeriods + 20) * DefaultPeriod)
	for _, node := range nodes {
		assert.NilError(t, node.SetPayload(make([]byte, 100)))
		for number := range 1000 {
			node.updates.add(Member{Name: fmt.Sprintf("member-%04d", number), Incarnation: 1_700_000_000_000_000_000, BootID: 1 << 60, State: Dead}, false)
		}
	}
	before := totalBytesSent(nodes)
	const periods = 20
	s.advance(periods * DefaultPeriod)
	sent := float64(totalBytesSent(nodes)-before) / (float64(len(nodes)) * periods * DefaultPeriod.Seconds())
	t.Logf("%.0f bytes per second and node", sent)
	assert.Assert(t, nodes[0].Stats().QueuedUpdates > 100, "the update queue is nearly empty, so the rate was not measured under load")
	assert.Assert(t, sent <= maxControlBytesPerSecond, "%.0f bytes per second", sent)
}

// TestLargestRecordFitsUpdateLimit checks that every valid record fits in the space for updates
// in a datagram. A larger record would never be sent and would block the update queue.
func TestLargestRecordFitsUpdateLimit(t *testing.T) {
	text := func(length int) string { return string(make([]byte, length)) }
	largest := Member{
		Name: text(maxNameLength), Zone: text(maxZoneLength), Region: text(maxZoneLength),
		PeerAddress: text(maxAddressLength), MeshAddress: text(maxAddressLength),
		Incarnation: 1<<64 - 1, BootID: 1<<64 - 1, State: Left,
	}
	assert.Assert(t, encodedSize(largest) <= maxUpdateBytes, "%d bytes", encodedSize(largest))
}
