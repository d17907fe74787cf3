package guard

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

// TestTheLogTellsWhichRequestsWereOpenWhenATargetEnded has a target break off two tries
// of one request and one of another before a new one takes its place: the lines of the
// tries name what they have in common.
func TestTheLogTellsWhichRequestsWereOpenWhenATargetEnded(t *testing.T) {
	var output bytes.Buffer
	log := eventlog.New(eventlog.Config{}, "node", &output, time.Now)
	address := rawTarget(t, func(connection net.Conn, _ *http.Request) { _ = connection.Close() })
	g := guardOf(address)
	g.log = log
	other := call("c")
	other.URI = "/p/other"
	for _, sent := range []*peering.Call{call("a"), call("b"), other} {
		assert.Equal(t, g.Run(context.Background(), sent).Reason, peering.ExchangeBroken)
	}
	next := target(registry.Ready, 2)
	next.ID = "i-2"
	g.SetTarget(next)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	log.Run(ended)
	prints, ends := readEnds(t, &output)
	assert.Equal(t, prints["a"], call("a").Fingerprint().String())
	assert.Equal(t, prints["a"], prints["b"])
	assert.Assert(t, prints["c"] != prints["a"])
	assert.DeepEqual(t, ends, map[string]int{"i-1": 3})
}

// readEnds returns the fingerprints of calls that broke off, by their ids, and for each
// target that ended the calls that broke off at it.
func readEnds(t *testing.T, output *bytes.Buffer) (prints map[string]string, ends map[string]int) {
	t.Helper()
	prints, ends = make(map[string]string), make(map[string]int)
	lines := json.NewDecoder(output)
	for lines.More() {
		var line struct {
			Message     string `json:"msg"`
			Request     string `json:"request"`
			Target      string `json:"target"`
			Fingerprint string `json:"fingerprint"`
			Count       int    `json:"count"`
		}
		assert.NilError(t, lines.Decode(&line))
		switch {
		case line.Message == eventlog.CallFailed.String() && line.Fingerprint != "":
			prints[line.Request] = line.Fingerprint
		case line.Message == eventlog.TargetEnded.String():
			ends[line.Target] = line.Count
		}
	}
	return prints, ends
}
