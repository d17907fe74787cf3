package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/lab/platformstub"
)

// oddValues are values that no node writes. The address is that of a record that seems to be valid.
func oddValues(address string) map[string][]byte {
	values := map[string][]byte{
		"empty":       {},
		"null":        []byte("null"),
		"no text":     {0xff, 0xfe, 0x00},
		"deep json":   []byte(strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000)),
		"deep cbor":   append(bytes.Repeat([]byte{0x81}, 60_000), 0),
		"long list":   {0x9b, 0x80, 0, 0, 0, 0, 0, 0, 0},
		"long map":    {0xbb, 0x80, 0, 0, 0, 0, 0, 0, 0},
		"long bytes":  {0x5b, 0x80, 0, 0, 0, 0, 0, 0, 0},
		"beyond json": []byte(`{"version":"r99999999999999999999","port":99999,"slots":1e400}`),
		"one MB":      bytes.Repeat([]byte("x"), 1<<20),
	}
	for field, value := range map[int]any{1: "", 2: nil, 4: "127.0.0.1:99999", 5: int64(1 << 62), 6: 300, 7: uint64(1) << 63, 9: -1.0} {
		record := map[int]any{1: "i-odd", 2: "one", 3: "west", 4: address, 5: 16, 6: 1, 7: 9}
		record[field] = value
		values[fmt.Sprint("field ", field)], _ = cbor.Marshal(record)
	}
	return values
}

// oddKeys are keys under the prefixes that nodes read.
func oddKeys(name string) []string {
	keys := []string{"lugspur/" + name}
	for _, prefix := range []string{"homes/", "departures/", "shards/", "quarantine/"} {
		keys = append(keys, "lugspur/"+prefix+name)
	}
	return keys
}

// overwrite writes a value under a key of the store.
func (p *platform) overwrite(key string, value []byte) {
	p.t.Helper()
	entry, err := p.store.Get(context.Background(), key)
	if err != nil {
		entry = store.Entry{}
	}
	_, err = p.store.CompareAndSwap(context.Background(), key, entry.Revision, value, store.NoLease)
	assert.NilError(p.t, err)
}

// writeOddEntries writes odd entries under odd keys of all prefixes, and over the records of nodes.
func (p *platform) writeOddEntries(round int) {
	p.t.Helper()
	number := 0
	for name, value := range oddValues("127.0.0.1:99999") {
		number++
		address := fmt.Sprintf("127.0.%d.%d:8300", round, number)
		for _, key := range append(oddKeys(address), oddKeys("odd %/\x00\xff "+name)...) {
			if name != "one MB" || strings.HasPrefix(key, "lugspur/homes/127") {
				p.overwrite(key, value)
			}
		}
	}
	for _, address := range []string{"127.0.0.1:99999", "127.0.0.1:0", "nonsense", strings.Repeat("9", 180)} {
		record, err := cbor.Marshal(map[int]any{1: "i-odd", 2: "one", 3: "west", 4: address, 5: 16, 6: 1, 7: 9})
		assert.NilError(p.t, err)
		p.overwrite("lugspur/homes/"+address, record)
	}
	for i, value := range oddValues("127.0.0.1:99999") {
		if i == "deep cbor" || i == "empty" || i == "field 5" {
			for _, n := range p.nodes {
				p.overwrite("lugspur/homes/"+n.peers, value)
			}
		}
	}
}

func (p *platform) writeOddConfigurations() {
	p.t.Helper()
	for _, document := range oddValues("") {
		p.overwrite("op/config", document)
	}
}

// TestPlatformFollowsChangesAfterOddEntries changes something after odd entries of each kind. Four of
// the nodes watch the store, the others follow them.
func TestPlatformFollowsChangesAfterOddEntries(t *testing.T) {
	p := startPlatform(t, "west", "west", "west", "east", "east", "east")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := p.startLoad("/read/x", p.nodes...)
	p.stub.SetFaults(platformstub.Faults{OddItems: []json.RawMessage{
		json.RawMessage(`{"key":"lugspur/homes/127.0.0.9:1","value":"YQ","revision":4}`), json.RawMessage(`{"key":"lugspur/homes/127.0.0.9:2","value":"YQ==","revision":"4"}`),
		json.RawMessage(`{"key":5}`), json.RawMessage(`null`), json.RawMessage(`[[[]]]`), json.RawMessage(`9223372036854775808`),
	}})
	p.writeOddEntries(1)
	p.writeOddConfigurations()

	added := p.newNode(len(p.nodes), "east", "one")
	p.nodes = append(p.nodes, added)
	p.start(added)
	assert.NilError(t, added.target.Start(ctx))
	p.awaitReady(added)
	for _, n := range p.nodes {
		p.awaitHomes(n, len(p.nodes))
	}
	for status, count := range load.stopAndCount() {
		assert.Check(t, status == http.StatusOK, "%d requests were answered with %d", count, status)
	}

	p.overwrite("op/config", []byte(fmt.Sprintf(configurationTemplate, 9, addedRoute)))
	for _, n := range p.nodes {
		p.awaitServed(n, "/added/x")
	}

	p.writeOddEntries(2)
	leaving := p.target(1)
	assert.NilError(t, leaving.Drain(ctx))
	time.Sleep(2 * time.Second)
	drained := leaving.RunCount()
	load = p.startLoad("/once/x", p.nodes...)
	time.Sleep(time.Second)
	for status, count := range load.stopAndCount() {
		assert.Check(t, status == http.StatusOK, "%d requests were answered with %d", count, status)
	}
	assert.Equal(t, leaving.RunCount(), drained, "the departure must bind")

	p.writeOddConfigurations()
	for _, i := range []int{1, 2, 5} {
		assert.NilError(t, p.nodes[i].process.Process.Kill())
		<-p.nodes[i].exited
		p.start(p.nodes[i])
		p.awaitReady(p.nodes[i])
		p.awaitServed(p.nodes[i], "/added/x")
		p.awaitHomes(p.nodes[i], len(p.nodes)-1)
	}
	assert.Equal(t, leaving.RunCount(), drained, "the departure must bind the process that started")
	p.overwrite("op/config", []byte(fmt.Sprintf(configurationTemplate, 10, "")))
	for _, n := range p.nodes {
		eventually(t, 10*time.Second, "the route is removed", func() bool { status, _ := p.send(n, "/added/x"); return status == http.StatusNotFound })
		select {
		case err := <-n.exited:
			t.Errorf("%s ended by itself: %v", n.name, err)
		default:
		}
	}
}
