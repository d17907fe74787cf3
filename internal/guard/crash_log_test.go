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

// TestLogIdentifiesRequestsOpenAtCrash closes the connections of two attempts of one request
// and of one attempt of another, and then registers a replacement target. The log entries of
// the attempts of one request must have the same fingerprint.
func TestLogIdentifiesRequestsOpenAtCrash(t *testing.T) {
	var output bytes.Buffer
	log := eventlog.New(eventlog.Config{}, "node", &output, time.Now)
	address := startRawTarget(t, func(connection net.Conn, _ *http.Request) { _ = connection.Close() })
	g := newTestGuard(address)
	g.log = log
	other := newCall("c")
	other.URI = "/p/other"
	for _, call := range []*peering.Call{newCall("a"), newCall("b"), other} {
		assert.Equal(t, g.Run(context.Background(), call).Reason, peering.ExchangeBroken)
	}
	next := newTarget(registry.Ready, 2)
	next.ID = "i-2"
	g.SetTarget(next)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	log.Run(ended)
	fingerprints, ends := readCrashLog(t, &output)
	assert.Equal(t, fingerprints["a"], newCall("a").Fingerprint().String())
	assert.Equal(t, fingerprints["a"], fingerprints["b"])
	assert.Assert(t, fingerprints["c"] != fingerprints["a"])
	assert.DeepEqual(t, ends, map[string]int{"i-1": 3})
}

// readCrashLog returns the fingerprints of broken calls by request ID and, for each crashed
// target, the number of its broken calls.
func readCrashLog(t *testing.T, output *bytes.Buffer) (fingerprints map[string]string, ends map[string]int) {
	t.Helper()
	fingerprints, ends = make(map[string]string), make(map[string]int)
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
			fingerprints[line.Request] = line.Fingerprint
		case line.Message == eventlog.TargetEnded.String():
			ends[line.Target] = line.Count
		}
	}
	return fingerprints, ends
}
