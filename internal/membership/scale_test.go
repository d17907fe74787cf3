package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bytesPerPeriod returns the average number of bytes that a node sends per period in a cluster
// without changes.
func bytesPerPeriod(t testing.TB, count, payload int) float64 {
	s := newSimulation(19)
	nodes := startCluster(t, s, count)
	for _, node := range nodes {
		assert.NilError(t, node.SetPayload(make([]byte, payload)))
	}
	s.advance((fullRecordPeriods + 20) * DefaultPeriod)
	before := totalBytesSent(nodes)
	const periods = 60
	s.advance(periods * DefaultPeriod)
	return float64(totalBytesSent(nodes)-before) / float64(count*periods)
}

func TestBytesPerPeriodIndependentOfClusterSize(t *testing.T) {
	small, large := bytesPerPeriod(t, 20, 100), bytesPerPeriod(t, 200, 100)
	t.Logf("bytes per node and period: %.1f at 20 nodes, %.1f at 200", small, large)
	assert.Assert(t, large < 1.05*small, "%.1f at 20 nodes, %.1f at 200", small, large)
}

// BenchmarkLargeCluster measures a cluster of the intended maximum size in virtual time: the
// heap per node, the time until all nodes have detected a crash, and the time until the lists
// converge after a partition between a third of the nodes and the rest. Convergence takes
// 13.0 s, or 41.3 s if datagrams carry no digests; detection takes 8.5 s, or 8.2 s without
// digests.
func BenchmarkLargeCluster(b *testing.B) {
	const count = 820
	for b.Loop() {
		s := newSimulation(24)
		nodes := startCluster(b, s, count)
		s.advance(fullRecordPeriods * DefaultPeriod)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.HeapAlloc)/count, "heap-bytes/node")
		nodes[count-1].crash()
		elapsed, _ := s.advanceUntil(time.Minute, s.converged)
		b.ReportMetric(elapsed.Seconds(), "crash-seconds")
		s.partitioned = func(from, to *simulatedNode) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
		s.advance(2 * time.Minute)
		s.partitioned = func(_, _ *simulatedNode) bool { return false }
		before := totalBytesSent(nodes)
		elapsed, _ = s.advanceUntil(5*time.Minute, s.converged)
		b.ReportMetric(elapsed.Seconds(), "heal-seconds")
		b.ReportMetric(float64(totalBytesSent(nodes)-before)/count/elapsed.Seconds(), "heal-bytes/node/s")
	}
}

func totalBytesSent(nodes []*simulatedNode) (total uint64) {
	for _, node := range nodes {
		total += node.Stats().BytesSent
	}
	return total
}

func BenchmarkBytesPerPeriod(b *testing.B) {
	for _, count := range []int{20, 200, 820} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerPeriod(b, count, 100), "bytes/node/period")
			}
		})
	}
}
