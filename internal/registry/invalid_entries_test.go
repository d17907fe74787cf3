package registry

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

const oddAddress = "10.0.0.2:8300"

// recordFields returns the encoded fields of a valid record, with one replaced.
func recordFields(address string, field int, value any) map[int]any {
	fields := map[int]any{1: "i-2@1785000000000", 2: "s", 3: "z", 4: address, 5: 10, 6: 1, 7: 77}
	fields[field] = value
	return fields
}

// invalidFields are values of a record's fields that name no usable target.
var invalidFields = []struct {
	name  string
	field int
	value any
}{
	{"no instance", 1, ""},
	{"instance of another type", 1, 5},
	{"instance too long", 1, strings.Repeat("i", 300)},
	{"no service", 2, ""},
	{"null service", 2, nil},
	{"service too long", 2, strings.Repeat("s", 300)},
	{"no zone", 3, ""},
	{"zone too long", 3, strings.Repeat("z", 300)},
	{"no slots", 5, 0},
	{"negative slots", 5, -30},
	{"a billion slots", 5, 1_000_000_000},
	{"most slots", 5, int64(math.MaxInt64)},
	{"slots beyond their type", 5, uint64(1 << 63)},
	{"slots as a fraction", 5, 2.5},
	{"unknown state", 6, 9},
	{"state beyond its type", 6, 256},
	{"absent state", 6, 0},
	{"gone state", 6, 3},
	{"process beyond its type", 7, uint64(1) << 40},
	{"epoch beyond that of any revision", 8, uint32(math.MaxUint32)},
	{"negative rate limit", 9, -1.0},
	{"rate limit that is no number", 9, math.NaN()},
	{"infinite rate limit", 9, math.Inf(1)},
	{"rate limit of another type", 9, "6.8"},
	{"sequence beyond its type", 10, []int{1}},
	{"deep nesting", 2, nestedArrays(60_000)},
}

// nestedArrays returns CBOR arrays within each other.
func nestedArrays(depth int) cbor.RawMessage {
	return append(bytes.Repeat([]byte{0x81}, depth), 0x00)
}

func oddEntry(key string, value any, revision store.Revision) store.Entry {
	if raw, isRaw := value.([]byte); isRaw {
		return store.Entry{Key: key, Value: raw, Revision: revision}
	}
	content, err := cbor.Marshal(value)
	if err != nil {
		// Nesting that the encoder refuses.
		content = nestedArrays(60_000)
	}
	return store.Entry{Key: key, Value: content, Revision: revision}
}

func newTestDirectory(now func() time.Time) *Directory {
	d := NewDirectory(homesPrefix, homeAddress, nil, now)
	valid := Record{Instance: "i-1", Service: "s", Zone: "z", Address: homeAddress, Slots: 4, State: Ready}
	d.ApplyChanges([]store.Entry{{Key: homesPrefix + homeAddress, Value: encode(valid), Revision: 1}}, "store")
	return d
}

func TestRecordWithInvalidFieldNamesNoTarget(t *testing.T) {
	for _, c := range invalidFields {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDirectory(time.Now)
			d.ApplyChanges([]store.Entry{oddEntry(homesPrefix+oddAddress, recordFields(oddAddress, c.field, c.value), 2)}, "store")
			assert.Equal(t, len(d.Homes("s")), 1)
			assert.Equal(t, d.Weights()["s"], 4)
			assert.DeepEqual(t, d.Addresses(), []string{homeAddress})
		})
	}
}

func TestRecordWithUnusableAddressNamesNoTarget(t *testing.T) {
	for _, c := range []struct{ name, key, address string }{
		{"port out of range", "10.0.0.2:99999", "10.0.0.2:99999"},
		{"port zero", "10.0.0.2:0", "10.0.0.2:0"},
		{"no port", "10.0.0.2", "10.0.0.2"},
		{"no address", "nonsense", "nonsense"},
		{"address of every interface", "0.0.0.0:8300", "0.0.0.0:8300"},
		{"another key", oddAddress, "10.0.0.3:8300"},
		{"end of the key", "110.0.0.2:8300", oddAddress},
		{"part of a longer key", "x/" + oddAddress, oddAddress},
		{"empty", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDirectory(time.Now)
			d.ApplyChanges([]store.Entry{oddEntry(homesPrefix+c.key, recordFields(c.address, 5, 10), 2)}, "store")
			assert.Equal(t, len(d.Homes("s")), 1)
			assert.DeepEqual(t, d.Addresses(), []string{homeAddress})
		})
	}
}

func TestDrainingRecordWithoutSlotsIsValid(t *testing.T) {
	record := Record{Instance: "i-1", Service: "s", Zone: "z", Address: oddAddress, State: Draining}
	_, err := decodeRecord(store.Entry{Key: homesPrefix + oddAddress, Value: encode(record)}, homesPrefix)
	assert.NilError(t, err)
}

func TestInvalidDepartureBindsNoTarget(t *testing.T) {
	valid := map[int]any{1: "i-1@1785000000000", 2: homeAddress}
	for _, c := range []struct {
		name, key string
		value     any
	}{
		{"another key", "odd", valid},
		{"end of the key", "x-i-1@1785000000000", valid},
		{"no address", "i-1@1785000000000", map[int]any{1: "i-1@1785000000000"}},
		{"port out of range", "i-1@1785000000000", map[int]any{1: "i-1@1785000000000", 2: "10.0.0.1:99999"}},
		{"no target", "", map[int]any{2: homeAddress}},
		{"target of another type", "i-1@1785000000000", map[int]any{1: 5, 2: homeAddress}},
		{"name too long", strings.Repeat("i", 300), map[int]any{1: strings.Repeat("i", 300), 2: homeAddress}},
		{"deep nesting", "i-1@1785000000000", []byte(nestedArrays(60_000))},
		{"length of 2^63", "i-1@1785000000000", []byte{0xbb, 0x80, 0, 0, 0, 0, 0, 0, 0}},
		{"empty", "i-1@1785000000000", []byte{}},
		{"text", "i-1@1785000000000", []byte(`{"instance":"i-1"}`)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistrar(RegistrarConfig{Address: homeAddress, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix}, Stores{}, nil, time.Now)
			r.recoverFrom([]store.Entry{oddEntry(departuresPrefix+c.key, c.value, 1)})
			assert.NilError(t, r.Heartbeat(t.Context(), startedHeartbeat("i-1", 1785000000000, 1)))
			r.ApplyChanges([]store.Entry{oddEntry(departuresPrefix+c.key, c.value, 2)})
			assert.Equal(t, r.Target().State, Ready)
		})
	}
}

// overwrite writes an odd entry under a key of the store.
func (f *testFleet) overwrite(key string, value []byte) {
	f.t.Helper()
	entry, err := f.kv.Get(f.t.Context(), key)
	if err != nil {
		entry = store.Entry{}
	}
	_, err = f.kv.CompareAndSwap(f.t.Context(), key, entry.Revision, value, store.NoLease)
	assert.NilError(f.t, err)
}

func TestOverwrittenRecordOfLiveNodeIsRewritten(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := f.startHomes()
		defer f.stopAll(nodes...)
		for range 3 {
			f.overwrite(homesPrefix+homeAddress, nestedArrays(60_000))
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range nodes {
					assert.Equal(t, len(n.directory.Homes("s")), 3)
				}
			}
			entry, err := f.kv.Get(t.Context(), homesPrefix+homeAddress)
			assert.NilError(t, err)
			_, err = decodeRecord(entry, homesPrefix)
			assert.NilError(t, err, "the node writes its record again")
			assert.Assert(t, entry.Lease != store.NoLease)
		}
	})
}

func TestOverwrittenRecordOfEndedNodeIsRemoved(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := f.startHomes()
		defer f.stopAll(nodes[1:]...)
		nodes[0].stop()
		f.overwrite(homesPrefix+homeAddress, nil)
		time.Sleep(2*leaseTTL + lapsedRetention)
		assert.Equal(t, len(nodes[1].directory.Homes("s")), 2)
		assert.Equal(t, len(nodes[1].directory.Addresses()), 2)
	})
}

const departedKey = departuresPrefix + "i-0@1000"

// awaitDeparture waits until the store holds the departure of i-0.
func (f *testFleet) awaitDeparture(limit time.Duration) {
	f.t.Helper()
	var err error
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var entry store.Entry
		if entry, err = f.kv.Get(f.t.Context(), departedKey); err == nil {
			if _, err = decodeDeparture(entry, departuresPrefix); err == nil {
				return
			}
		}
	}
	f.t.Fatalf("no departure is stored after %s: %v", limit, err)
}

func TestOddEntryUnderKeyOfDepartureIsNotAcknowledged(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("{}"), nestedArrays(60_000), encode(Departure{Instance: "i-9", Address: oddAddress})} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newTestFleet(t)
			nodes := f.startHomes()
			defer func() { f.stopAll(nodes...) }()
			f.overwrite(departedKey, value)
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 3)))
			f.awaitDeparture(time.Millisecond)
		})
	}
}

func TestOverwrittenDepartureIsRewritten(t *testing.T) {
	for _, nodeEnds := range []bool{false, true} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newTestFleet(t)
			nodes := f.startHomes()
			defer func() { f.stopAll(nodes...) }()
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 3)))
			time.Sleep(2 * time.Second)
			if nodeEnds {
				nodes[0].stop()
			}
			f.overwrite(departedKey, []byte{0xff})
			f.awaitDeparture(4 * time.Second)
			nodes[0].stop()
			nodes[0] = f.start(1)
			time.Sleep(time.Second)
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), startedHeartbeat("i-0", 1000, 4)))
			time.Sleep(time.Second)
			assert.Equal(t, nodes[0].Target().State, Draining)
		})
	}
}
