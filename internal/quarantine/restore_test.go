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

// restoredNode is a node whose quarantine is kept by a copy of a store that comes back from
// copies.
type restoredNode struct {
	*Quarantine
	stop context.CancelFunc
}

// slowStore answers after a while.
type slowStore struct{ *memory.Store }

func (s slowStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	time.Sleep(4 * time.Millisecond)
	return s.Store.List(ctx, prefix)
}

func startRestored(held *memory.Store, place int) *restoredNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &restoredNode{stop: cancel}
	n.Quarantine = New(Config{
		Store: held, Prefix: testPrefix, Now: time.Now, Epoch: held.Epoch, Position: func() (int, bool) { return place, true },
		Broadcast: BroadcastConfig{Address: fmt.Sprint(place), Peers: func() []string { return nil }, Send: func(context.Context, string, *Notice) error { return errors.New("no peer") }},
	})
	copied := replica.NewCopy(time.Second, func(entries []store.Entry, _ string) { n.ApplyChanges(entries) }, time.Now)
	keeper := &replica.Syncer{Copy: copied, Store: slowStore{held}, Prefix: testPrefix, Position: func() (int, bool) { return 0, true }, BatchDelay: 800 * time.Millisecond, Now: time.Now}
	go keeper.Run(ctx)
	go n.Run(ctx)
	return n
}

// convict has targets beside a node crash under the request until it is refused.
func (n *restoredNode) convict(hash fingerprint.Fingerprint) {
	for i := range quarantineCrashes {
		n.RecordCrash(fmt.Sprint("i-", i), []Call{{Fingerprint: hash, Service: "s", Route: "r", Crashes: i + 1}})
	}
}

// TestQuarantineSurvivesStoreRestore has the store lose a verdict: the node that wrote it does
// so again, or another one if it is gone, and a node that starts later knows it.
func TestQuarantineSurvivesStoreRestore(t *testing.T) {
	for _, dies := range []bool{false, true} {
		virtualtime.Run(t, func(t *testing.T) {
			held := memory.New(time.Now)
			hash := fingerprint.Fingerprint{1}
			copied := held.Backup()
			nodes := []*restoredNode{startRestored(held, 0), startRestored(held, 1)}
			defer func() {
				for _, n := range nodes {
					n.stop()
				}
				time.Sleep(time.Minute)
			}()
			time.Sleep(time.Second)
			nodes[0].convict(hash)
			time.Sleep(2 * time.Second)
			assert.Assert(t, nodes[1].State(hash).Quarantined)
			if dies {
				nodes[0].stop()
			}
			held.Restore(copied)
			time.Sleep(3 * time.Second)
			nodes = append(nodes, startRestored(held, 2))
			time.Sleep(time.Second)
			assert.Assert(t, nodes[1].State(hash).Quarantined)
			assert.Assert(t, nodes[2].State(hash).Quarantined, "the node that wrote the verdict died: %v", dies)
		})
	}
}

// TestLiftSurvivesStoreRestore has the store come back with the verdict on a request
// that was found to be harmless since.
func TestLiftSurvivesStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		held := memory.New(time.Now)
		hash := fingerprint.Fingerprint{1}
		nodes := []*restoredNode{startRestored(held, 0), startRestored(held, 1)}
		defer func() {
			for _, n := range nodes {
				n.stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(time.Second)
		nodes[0].convict(hash)
		time.Sleep(2 * time.Second)
		copied := held.Backup()
		nodes[0].RecordAnswer(Call{Fingerprint: hash, Service: "s", Route: "r"})
		time.Sleep(2 * time.Second)
		assert.Assert(t, !nodes[1].State(hash).Quarantined)
		held.Restore(copied)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range nodes {
				assert.Assert(t, !n.State(hash).Quarantined, "a request that was released is refused")
			}
		}
		nodes = append(nodes, startRestored(held, 2))
		time.Sleep(time.Second)
		assert.Assert(t, !nodes[2].State(hash).Quarantined)
	})
}
