package quarantine

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// oddRecords are values that no node writes as a record.
func oddRecords() map[string][]byte {
	encoded := func(field int, value any) []byte {
		fields := map[int]any{1: "s", 2: "r"}
		fields[field] = value
		content, err := cbor.Marshal(fields)
		if err != nil {
			panic(err)
		}
		return content
	}
	return map[string][]byte{
		"empty":                     {},
		"no fields":                 {0xa0},
		"text":                      []byte(`{"service":"s"}`),
		"deep nesting":              bytes.Repeat([]byte{0x81}, 60_000),
		"length of 2^63":            {0xbb, 0x80, 0, 0, 0, 0, 0, 0, 0},
		"no service":                encoded(1, ""),
		"service too long":          encoded(1, strings.Repeat("s", 2000)),
		"no route":                  encoded(2, nil),
		"route too long":            encoded(2, strings.Repeat("r", 2000)),
		"negative trials":           encoded(3, -1),
		"a million trials":          encoded(3, 1<<20),
		"most trials":               encoded(3, int64(math.MaxInt64)),
		"trials beyond their type":  encoded(3, uint64(1<<63)),
		"epoch beyond any revision": encoded(5, uint32(1)<<31),
	}
}

func TestOddRecordQuarantinesNothing(t *testing.T) {
	for name, value := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			q := New(Config{Store: memory.New(time.Now), Prefix: testPrefix, Now: time.Now})
			applied := make(chan struct{})
			go func() {
				defer close(applied)
				q.ApplyChanges([]store.Entry{
					{Key: testPrefix + fingerprintOf(1).String(), Value: value, Revision: 1},
					{Key: testPrefix + fingerprintOf(2).String(), Value: Record{Service: "s", Route: "r", Trials: 3}.Encode(), Revision: 2},
				})
			}()
			select {
			case <-applied:
			case <-time.After(5 * time.Second):
				t.Fatal("the node does not follow its records any more")
			}
			assert.Assert(t, !q.State(fingerprintOf(1)).Quarantined)
			assert.Assert(t, q.State(fingerprintOf(2)).Quarantined)
		})
	}
}

func TestOddRecordDoesNotHideOthersFromOperator(t *testing.T) {
	for name, value := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			kv := memory.New(time.Now)
			valid := Record{Service: "s", Route: "r"}
			for key, content := range map[string][]byte{testPrefix + fingerprintOf(1).String(): value, testPrefix + "odd": value, testPrefix + fingerprintOf(2).String(): valid.Encode()} {
				_, err := kv.CompareAndSwap(t.Context(), key, 0, content, store.NoLease)
				assert.NilError(t, err)
			}
			listed, err := List(t.Context(), kv, testPrefix)
			assert.NilError(t, err)
			assert.DeepEqual(t, listed, []Entry{{Fingerprint: fingerprintOf(2), Record: valid}})
			assert.NilError(t, Lift(t.Context(), kv, testPrefix, fingerprintOf(2)))
		})
	}
}

func TestFingerprintInCapitalsIsNoKey(t *testing.T) {
	q := New(Config{Store: memory.New(time.Now), Prefix: testPrefix, Now: time.Now})
	hash := fingerprint.Fingerprint{0xab}
	q.ApplyChanges([]store.Entry{{Key: testPrefix + strings.ToUpper(hash.String()), Value: Record{Service: "s", Route: "r"}.Encode(), Revision: 1}})
	assert.Assert(t, !q.State(hash).Quarantined)
}
