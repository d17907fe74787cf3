package ratelimit

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// oddAssignments are values that no holder of a shard writes.
func oddAssignments() map[string][]byte {
	encoded := func(elements ...any) []byte {
		content, err := cbor.Marshal(elements)
		if err != nil {
			panic(err)
		}
		return content
	}
	const address = "10.0.0.99:8300"
	return map[string][]byte{
		"empty":                      {},
		"text":                       []byte(`{"address":"10.0.0.99:8300"}`),
		"deep nesting":               bytes.Repeat([]byte{0x81}, 60_000),
		"length of 2^63":             {0x9b, 0x80, 0, 0, 0, 0, 0, 0, 0},
		"port out of range":          encoded("10.0.0.99:99999", "", 1, 0),
		"no address":                 encoded("nonsense", "", 1, 0),
		"datagram port out of range": encoded(address, "10.0.0.99:70000", 1, 0),
		"process beyond its type":    encoded(address, "", uint64(1)<<40, 0),
		"epoch beyond any revision":  encoded(address, "", 1, uint32(1)<<31),
		"fields missing":             encoded(address),
	}
}

func TestOddEntryDoesNotTakeShard(t *testing.T) {
	for name, value := range oddAssignments() {
		t.Run(name, func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				c := newTestCluster(t, 0)
				_, err := c.store.CompareAndSwap(t.Context(), "shards/3", 0, value, store.NoLease)
				assert.NilError(t, err)
				c.size = 4
				for position := range c.size {
					c.nodes = append(c.nodes, c.start(position, 1))
				}
				defer c.shutdown()
				c.awaitAllHeld(shardTTL + 3*time.Second)
			})
		})
	}
}

func TestOverwrittenShardKeepsItsHolder(t *testing.T) {
	for name, value := range oddAssignments() {
		t.Run(name, func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				c := newTestCluster(t, 4)
				defer c.shutdown()
				c.awaitAllHeld(8 * time.Second)
				for range 3 {
					entry, err := c.store.Get(t.Context(), "shards/3")
					assert.NilError(t, err)
					_, err = c.store.CompareAndSwap(t.Context(), "shards/3", entry.Revision, value, store.NoLease)
					assert.NilError(t, err)
					for range 100 {
						time.Sleep(100 * time.Millisecond)
						c.checkSingleHolder()
						counts, _ := c.holders()
						assert.Equal(t, counts[3], 1)
					}
				}
			})
		})
	}
}

func TestShardKeyInAnotherFormIsIgnored(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		c := newTestCluster(t, 1)
		defer c.shutdown()
		c.awaitAllHeld(8 * time.Second)
		value := encode(assignment{Holder: Holder{Address: "10.0.0.99:8300"}, Process: 9})
		for i, key := range []string{"shards/03", "shards/+3", "shards/-0", "shards/3 ", "shards/99", "shards/", "shards/3/3"} {
			c.nodes[0].ApplyChanges([]store.Entry{{Key: key, Value: value, Revision: store.Revision(1000 + i)}})
		}
		holder, known := c.nodes[0].Holder(3)
		assert.Assert(t, known)
		assert.Equal(t, holder.Address, nodeAddress(0))
	})
}
