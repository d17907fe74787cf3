package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// restoredNode is a node with a quarantine and its local copy of a store that is restored
// from backups.
type restoredNode struct {
	*Quarantine
	stop context.CancelFunc
}

// slowStore delays the answers to List.
type slowStore struct{ *memory.Store }

func (s slowStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	time.Sleep(4 * time.Millisecond)
	return s.Store.List(ctx, prefix)
}

func startRestoredNode(memoryStore *memory.Store, position int) *restoredNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &restoredNode{stop: cancel}
	n.Quarantine = New(Config{
		Store: memoryStore, Prefix: testPrefix, Now: time.Now, Epoch: memoryStore.Epoch, Position: func() (int, bool) { return position, true },
		Broadcast: BroadcastConfig{Address: fmt.Sprint(position), Peers: func() []string { return nil }, Send: func(context.Context, string, *Notice) error { return errors.New("no peer") }},
	})
	storeCopy := replica.NewCopy(time.Second, func(entries []store.Entry, _ string) { n.ApplyChanges(entries) }, time.Now)
	syncer := &replica.Syncer{Copy: storeCopy, Store: slowStore{memoryStore}, Prefix: testPrefix, Position: func() (int, bool) { return 0, true }, BatchDelay: 800 * time.Millisecond, Now: time.Now}
	go syncer.Run(ctx)
	go n.Run(ctx)
	return n
}

// quarantineRequest reports crashes of the node's target until the request is quarantined.
func (n *restoredNode) quarantineRequest(hash fingerprint.Fingerprint) {
	for i := range quarantineCrashes {
		n.RecordCrash(fmt.Sprint("i-", i), []Call{{Fingerprint: hash, Service: "s", Route: "r", Crashes: i + 1}})
	}
}

// TestQuarantineSurvivesStoreRestore checks that a quarantine continues if its record is lost
// because the store is restored from an older backup: the node that wrote the record rewrites
// it, or another node if that one has stopped, and a node that starts later finds the record.
func TestQuarantineSurvivesStoreRestore(t *testing.T) {
	for _, writerStops := range []bool{false, true} {
		virtualtime.Run(t, func(t *testing.T) {
			memoryStore := memory.New(time.Now)
			hash := fingerprint.Fingerprint{1}
			backup := memoryStore.Backup()
			nodes := []*restoredNode{startRestoredNode(memoryStore, 0), startRestoredNode(memoryStore, 1)}
			defer func() {
				for _, n := range nodes {
					n.stop()
				}
				time.Sleep(time.Minute)
			}()
			time.Sleep(time.Second)
			nodes[0].quarantineRequest(hash)
			time.Sleep(2 * time.Second)
			assert.Assert(t, nodes[1].State(hash).Quarantined)
			if writerStops {
				nodes[0].stop()
			}
			memoryStore.Restore(backup)
			time.Sleep(3 * time.Second)
			nodes = append(nodes, startRestoredNode(memoryStore, 2))
			time.Sleep(time.Second)
			assert.Assert(t, nodes[1].State(hash).Quarantined)
			assert.Assert(t, nodes[2].State(hash).Quarantined, "the node that wrote the record stopped: %v", writerStops)
		})
	}
}

// TestLiftSurvivesStoreRestore checks that a request that was cleared after a backup is not
// quarantined again by its old record when the store is restored from that backup.
func TestLiftSurvivesStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		memoryStore := memory.New(time.Now)
		hash := fingerprint.Fingerprint{1}
		nodes := []*restoredNode{startRestoredNode(memoryStore, 0), startRestoredNode(memoryStore, 1)}
		defer func() {
			for _, n := range nodes {
				n.stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(time.Second)
		nodes[0].quarantineRequest(hash)
		time.Sleep(2 * time.Second)
		backup := memoryStore.Backup()
		nodes[0].RecordAnswer(Call{Fingerprint: hash, Service: "s", Route: "r"})
		time.Sleep(2 * time.Second)
		assert.Assert(t, !nodes[1].State(hash).Quarantined)
		memoryStore.Restore(backup)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range nodes {
				assert.Assert(t, !n.State(hash).Quarantined, "a cleared request is quarantined again")
			}
		}
		nodes = append(nodes, startRestoredNode(memoryStore, 2))
		time.Sleep(time.Second)
		assert.Assert(t, !nodes[2].State(hash).Quarantined)
	})
}

// TestLiftAfterStoreRestoreHolds guards against an operator's lift that is undone: after the store was
// restored from a backup, nodes took the lifted record for that of the backup and wrote the
// quarantine again.
func TestLiftAfterStoreRestoreHolds(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		memoryStore := memory.New(time.Now)
		hash := fingerprint.Fingerprint{1}
		nodes := []*restoredNode{startRestoredNode(memoryStore, 0), startRestoredNode(memoryStore, 1)}
		defer func() {
			for _, n := range nodes {
				n.stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(time.Second)
		nodes[0].quarantineRequest(hash)
		time.Sleep(2 * time.Second)
		memoryStore.Restore(memoryStore.Backup())
		time.Sleep(3 * time.Second)
		assert.NilError(t, Lift(t.Context(), memoryStore, testPrefix, hash))
		time.Sleep(2 * time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				assert.Assert(t, !n.State(hash).Quarantined, "a lifted request is quarantined again")
			}
		}
	})
}

// TestRestoredRecordIsJudgedByItsAge guards against a quarantine that is lifted or set again by an
// older record, when the store returns from a backup.
func TestRestoredRecordIsJudgedByItsAge(t *testing.T) {
	quarantined := Record{Service: "s", Route: "r"}
	lifted := Record{Service: "s", Route: "r", Lifted: true}
	hash := fingerprint.Fingerprint{1}
	entry := func(record Record, epoch store.Epoch, number int64) store.Entry {
		return store.Entry{Key: testPrefix + hash.String(), Revision: store.NewRevision(epoch, number), Value: record.Encode()}
	}
	cases := []struct {
		name        string
		changes     []store.Entry
		quarantined bool
		// rewritten means that the node writes the record that it knows again.
		rewritten bool
	}{
		{"lifted before the backup, not received before the restore", []store.Entry{entry(quarantined, 0, 5), entry(lifted, 1, 7)}, false, false},
		{"quarantined again after the backup", []store.Entry{entry(lifted, 0, 7), entry(quarantined, 0, 9), entry(lifted, 1, 7)}, true, true},
		{"lifted after the backup", []store.Entry{entry(quarantined, 0, 5), entry(lifted, 0, 7), entry(quarantined, 1, 5)}, false, true},
		{"lifted by an operator after the restore", []store.Entry{entry(quarantined, 0, 5), entry(quarantined, 1, 5), entry(lifted, 1, 8)}, false, false},
		{"quarantined before the backup, not received before the restore", []store.Entry{entry(lifted, 0, 5), entry(quarantined, 1, 7)}, true, false},
	}
	for _, c := range cases {
		q := New(Config{Store: memory.New(time.Now), Prefix: testPrefix, Now: time.Now})
		for _, change := range c.changes {
			q.ApplyChanges([]store.Entry{change})
			// The node that wrote the record rewrites it without a delay.
			q.records.written[hash] = Record{}
		}
		assert.Check(t, q.State(hash).Quarantined == c.quarantined, c.name)
		_, rewritten := q.records.pending[hash]
		assert.Check(t, rewritten == c.rewritten, "%s: rewritten %v", c.name, rewritten)
	}
}
