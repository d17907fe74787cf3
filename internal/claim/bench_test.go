package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

// claimKeys claims count keys with consecutive numbers, starting with from.
func claimKeys(replica *Replica, req Request, from, count uint64, now time.Time) {
	for i := range count {
		binary.BigEndian.PutUint64(req.Key[:], from+i)
		replica.Handle(req, now)
	}
}

func BenchmarkGrant(b *testing.B) {
	roster := testRoster(b)
	self := roster.Seats[0].Holder.Identity
	replica := NewReplica(self, DefaultCapacity)
	now := time.Now()
	replica.Adopt(roster, now)
	key := uint64(0)
	for b.Loop() {
		// At this rate the table stays full, and one record expires per insert.
		now = now.Add(roster.Retention / (DefaultCapacity - 1))
		claimKeys(replica, Request{To: self, Epoch: 1}, key, 1, now)
		key++
	}
}

// BenchmarkFullReplica reports the memory use per claim of a full table.
func BenchmarkFullReplica(b *testing.B) {
	roster := testRoster(b)
	self := roster.Seats[0].Holder.Identity
	for b.Loop() {
		before := heapInUse()
		replica := NewReplica(self, DefaultCapacity)
		replica.Adopt(roster, time.Now())
		claimKeys(replica, Request{To: self, Epoch: 1}, 0, DefaultCapacity, time.Now())
		b.ReportMetric((heapInUse()-before)/DefaultCapacity, "B/claim")
		runtime.KeepAlive(replica)
	}
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
