package mvcc_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

const manyEvents = 1000

// model is the reference implementation of the store: its keys after each revision.
type model struct {
	states  map[store.Revision]map[string]string
	current store.Revision
}

func (m *model) commit(to store.Revision, change func(keys map[string]string)) {
	keys := make(map[string]string)
	for key, value := range m.states[m.current] {
		keys[key] = value
	}
	change(keys)
	m.current = to
	m.states[to] = keys
}

func values(view mvcc.View) map[string]string {
	keys := make(map[string]string)
	for _, entry := range view.Entries {
		keys[entry.Key] = string(entry.Value)
	}
	return keys
}

// TestAgainstModel runs random commits and compares the keys at every revision and
// the replayed events with the model.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := mvcc.New(mvcc.Config{})
		expected := &model{states: map[store.Revision]map[string]string{1: {}}, current: 1}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "ba", "c"}).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				remove(t, engine, expected, key)
				continue
			}
			write(t, engine, expected, key, rapid.StringN(0, 3, -1).Draw(t, "value"))
		}
		for revision, keys := range expected.states {
			view, err := engine.Range(keyspan.Prefix(""), revision)
			assert.NilError(t, err)
			assert.DeepEqual(t, values(view), keys)
		}
		replayEvents(t, engine, expected)
	})
}

func write(t *rapid.T, engine *mvcc.Store, expected *model, key, value string) {
	result, err := engine.Commit(mvcc.Transaction{Success: []mvcc.Operation{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, expected.current+1)
	expected.commit(result.Revision, func(keys map[string]string) { keys[key] = value })
}

func remove(t *rapid.T, engine *mvcc.Store, expected *model, prefix string) {
	span := keyspan.Prefix(prefix)
	result, err := engine.Commit(mvcc.Transaction{Success: []mvcc.Operation{{Delete: true, Span: span}}})
	assert.NilError(t, err)
	if !result.Changed {
		assert.Equal(t, result.Revision, expected.current)
		return
	}
	expected.commit(result.Revision, func(keys map[string]string) {
		for key := range keys {
			if span.Contains(key) {
				delete(keys, key)
			}
		}
	})
}

// replayEvents applies the events in small batches to an empty set of keys.
func replayEvents(t *rapid.T, engine *mvcc.Store, expected *model) {
	keys := make(map[string]string)
	after := store.Revision(1)
	for after < expected.current {
		batch, err := engine.EventsAfter(keyspan.Prefix(""), after, 2)
		assert.NilError(t, err)
		assert.Assert(t, batch.Through > after)
		for _, event := range batch.Events {
			if event.Deleted {
				delete(keys, event.Key)
				continue
			}
			keys[event.Key] = string(event.Value)
		}
		after = batch.Through
		assert.DeepEqual(t, keys, expected.states[after])
	}
}

func put(t *testing.T, engine *mvcc.Store, key, value string) store.Revision {
	t.Helper()
	result, err := engine.Commit(mvcc.Transaction{Success: []mvcc.Operation{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
	return result.Revision
}

func TestHistoryIsBounded(t *testing.T) {
	limits := map[string]mvcc.Config{
		"events": {HistoryEvents: 10},
		"bytes":  {HistoryBytes: 100},
	}
	for name, config := range limits {
		t.Run(name, func(t *testing.T) {
			engine := mvcc.New(config)
			var last store.Revision
			for i := range 100 {
				last = put(t, engine, "a", fmt.Sprint(i))
			}
			_, err := engine.EventsAfter(keyspan.Prefix(""), 1, manyEvents)
			assert.ErrorIs(t, err, store.ErrCompacted)
			_, err = engine.Range(keyspan.Prefix(""), 1)
			assert.ErrorIs(t, err, store.ErrCompacted)
			batch, err := engine.EventsAfter(keyspan.Prefix(""), last-5, manyEvents)
			assert.NilError(t, err)
			assert.Equal(t, len(batch.Events), 5)
		})
	}
}

func TestSpaceIsBounded(t *testing.T) {
	engine := mvcc.New(mvcc.Config{MaxValueBytes: 10, MaxTotalBytes: 20, MaxLeases: 1})
	commit := func(key, value string) error {
		_, err := engine.Commit(mvcc.Transaction{Success: []mvcc.Operation{{Key: key, Value: []byte(value)}}})
		return err
	}
	assert.ErrorIs(t, commit("a", "12345678901"), mvcc.ErrValueTooLarge)
	assert.NilError(t, commit("a", "1234567890"))
	assert.ErrorIs(t, commit("b", "1234567890"), mvcc.ErrNoSpace)
	assert.NilError(t, commit("a", "12345"))
	assert.NilError(t, commit("b", "1234567890"))
	_, err := engine.Grant(time.Second)
	assert.NilError(t, err)
	_, err = engine.Grant(time.Second)
	assert.ErrorIs(t, err, mvcc.ErrNoSpace)
}

func TestExpiredLeaseRemovesItsKeysInOneRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := mvcc.New(mvcc.Config{Now: func() time.Time { return now }})
	lease, err := engine.Grant(time.Second)
	assert.NilError(t, err)
	for _, key := range []string{"a", "b"} {
		_, err = engine.Commit(mvcc.Transaction{Success: []mvcc.Operation{{Key: key, Lease: lease}}})
		assert.NilError(t, err)
	}
	before := put(t, engine, "c", "kept")
	now = now.Add(time.Second)
	batch, err := engine.EventsAfter(keyspan.Prefix(""), before, 1)
	assert.NilError(t, err)
	var removed []string
	for _, event := range batch.Events {
		assert.Assert(t, event.Deleted)
		assert.Equal(t, event.ModRevision, before+1)
		removed = append(removed, event.Key)
	}
	sort.Strings(removed)
	assert.DeepEqual(t, removed, []string{"a", "b"})
}
